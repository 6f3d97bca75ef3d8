#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace lycheelanding::forwarding {

/// One field of a log line: text or a number.
struct LogField
{
    LogField(std::string_view fieldName, std::string_view text) : name(fieldName), value(text) { }
    LogField(std::string_view fieldName, const std::string &text) : name(fieldName), value(text) { }
    LogField(std::string_view fieldName, const char *text) : name(fieldName), value(text) { }
    LogField(std::string_view fieldName, std::int64_t number)
        : name(fieldName), value(std::to_string(number)), isNumber(true)
    { }

    std::string_view name;
    std::string value;
    bool isNumber = false;
};

enum class LogImportance : std::uint8_t {
    /// A decision about one request: dropped first under load.
    Request,
    /// A change of the process's state.
    State,
};

/// Writes one JSON object per line to a file descriptor and never blocks on its reader: lines that do not fit in the
/// buffer are dropped and counted. Used on one thread.
class EventLog
{
public:
    EventLog(int descriptor, std::string process);

    void write(LogImportance importance, std::string_view event, std::initializer_list<LogField> fields);
    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

private:
    bool isOverRate(LogImportance importance);

    const int m_descriptor;
    const std::string m_process;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
    std::int64_t m_second = 0;
    std::size_t m_linesInSecond = 0;
};

} // namespace lycheelanding::forwarding
