#include "lycheelanding/forwarding/eventlog.h"

#include <fmt/format.h>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <iterator>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

/// Buffered bytes above which lines are dropped.
constexpr std::size_t maxBufferedBytes = 64UL * 1024;
/// Bytes per write: a pipe that polls as writable accepts this many without blocking.
constexpr std::size_t maxWriteBytes = 4096;
/// Lines about single requests per second: about twice the peak request rate for which an entry is designed.
constexpr std::size_t maxRequestLinesPerSecond = 200;

void appendEscaped(std::string &line, std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (static_cast<unsigned char>(character) < firstPrintable) {
            line += ' ';
        } else {
            line += character;
        }
    }
}

} // namespace

EventLog::EventLog(int descriptor, std::string process) : m_descriptor(descriptor), m_process(std::move(process)) { }

bool EventLog::isOverRate(LogImportance importance)
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    if (second != m_second) {
        m_second = second;
        m_linesInSecond = 0;
    }
    return ++m_linesInSecond > maxRequestLinesPerSecond && importance == LogImportance::Request;
}

void EventLog::write(LogImportance importance, std::string_view event, std::initializer_list<LogField> fields)
{
    if (isOverRate(importance) || m_buffer.size() >= maxBufferedBytes) {
        ++m_dropped;
        return;
    }
    const auto time
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    fmt::format_to(std::back_inserter(m_buffer), R"({{"time":{},"process":"{}","event":"{}")", time.count(), m_process,
                   event);
    for (const auto &field : fields) {
        fmt::format_to(std::back_inserter(m_buffer), R"(,"{}":)", field.name);
        if (field.isNumber) {
            m_buffer.append(field.value);
            continue;
        }
        m_buffer += '"';
        appendEscaped(m_buffer, field.value);
        m_buffer += '"';
    }
    if (m_dropped != m_droppedReported) {
        fmt::format_to(std::back_inserter(m_buffer), R"(,"droppedLines":{})", m_dropped);
        m_droppedReported = m_dropped;
    }
    m_buffer.append("}\n");
}

void EventLog::flush()
{
    while (!m_buffer.empty()) {
        pollfd state{m_descriptor, POLLOUT, 0};
        if (::poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0) {
            return;
        }
        const auto written = ::write(m_descriptor, m_buffer.data(), std::min(m_buffer.size(), maxWriteBytes));
        if (written <= 0) {
            return;
        }
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace lycheelanding::forwarding
