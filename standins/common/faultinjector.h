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
    Up,
    /// Calls have their connections closed without an answer and do nothing.
    Down,
    /// Calls are done at once and answered after the delay.
    Slow,
    /// Calls wait, and are done when the mode changes.
    Stall,
    /// Calls are answered with 500 and do nothing.
    FailFast,
    /// Writes are done and have their connections closed without an answer.
    LoseAnswers,
};

enum class CallKind : std::uint8_t {
    Read,
    Write,
};

/// The mode in which a stand-in answers, set by its control interface. Thread-safe.
class FaultInjector
{
public:
    using Handler = std::function<http::HttpResponse()>;

    explicit FaultInjector(asio::io_context &context) : m_context(context) { }

    /// {"mode", "delayMs", "count"}; `count` bounds the answers that are lost. Throws std::invalid_argument when the
    /// mode is unknown.
    void configure(const Json &control);
    /// Does `handler` as the mode says, and answers `delay` later than the mode says.
    void answer(const http::HttpExchangePointer &exchange, CallKind kind, Handler handler,
                std::chrono::milliseconds delay = std::chrono::milliseconds(0));
    /// Calls `start` when the mode lets the exchange go on; its answer is then up to the caller.
    void admit(const http::HttpExchangePointer &exchange, std::function<void()> start);
    FaultMode mode() const;

private:
    struct Fault
    {
        FaultMode mode = FaultMode::Up;
        std::chrono::milliseconds delay{0};
    };

    /// The verdict on one call; takes one from the count of lost answers.
    Fault nextFault(CallKind kind);
    void enqueueStalled(std::function<void()> retry);
    void respondLater(const http::HttpExchangePointer &exchange, http::HttpResponse response,
                      std::chrono::milliseconds delay);

    asio::io_context &m_context;
    mutable std::mutex m_mutex;
    FaultMode m_mode = FaultMode::Up;
    std::chrono::milliseconds m_delay{0};
    std::uint64_t m_answersToLose = 0;
    /// What waits for the end of a stall.
    std::vector<std::function<void()>> m_stalledCalls;
};

} // namespace lycheelanding::standins::common
