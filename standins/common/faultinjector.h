#pragma once

#include "common/httphelpers.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <mutex>
#include <vector>

namespace lycheelanding::standins::common {

enum class FaultMode : std::uint8_t {
    /// Calls are executed and answered normally.
    Up,
    /// Connections are closed without an answer; calls are not executed.
    Down,
    /// Calls are executed at once and answered after the delay.
    Slow,
    /// Calls are queued and handled again when the mode is next set.
    Stall,
    /// Calls are answered with 500 and not executed.
    FailFast,
    /// Writes are executed, and their connections closed without an answer; reads are answered normally.
    LoseAnswers,
};

enum class CallKind : std::uint8_t {
    Read,
    Write,
};

/// Injects faults into the calls of a stand-in, in the mode set through its control interface. Thread-safe.
class FaultInjector
{
public:
    using Handler = std::function<http::HttpResponse()>;

    explicit FaultInjector(asio::io_context &context) : m_context(context) { }

    /// Sets the mode from {"mode", "delayMs", "count"} and retries stalled calls. `count` is the number of answers to
    /// lose, by default all. Throws std::invalid_argument for an unknown mode.
    void configure(const Json &control);
    /// Executes `handler` and answers the exchange as the mode requires; `delay` adds to the delay of the mode.
    void answer(const http::HttpExchangePointer &exchange, CallKind kind, Handler handler,
                std::chrono::milliseconds delay = std::chrono::milliseconds(0));
    /// Calls `start`, which answers the exchange itself, unless the mode closes, rejects or stalls the call.
    void admit(const http::HttpExchangePointer &exchange, std::function<void()> start);
    FaultMode mode() const;

private:
    struct Fault
    {
        FaultMode mode = FaultMode::Up;
        std::chrono::milliseconds delay{0};
    };

    /// The fault for one call; with LoseAnswers, a write decrements the number of answers left to lose.
    Fault nextFault(CallKind kind);
    void enqueueStalled(std::function<void()> retry);
    void respondLater(const http::HttpExchangePointer &exchange, http::HttpResponse response,
                      std::chrono::milliseconds delay);

    asio::io_context &m_context;
    mutable std::mutex m_mutex;
    FaultMode m_mode = FaultMode::Up;
    std::chrono::milliseconds m_delay{0};
    std::uint64_t m_answersToLose = 0;
    /// Calls to retry when the mode is next set.
    std::vector<std::function<void()>> m_stalledCalls;
};

} // namespace lycheelanding::standins::common
