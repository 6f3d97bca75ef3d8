#pragma once

#include "lycheelanding/core/clock.h"

#include <cstddef>
#include <deque>

/// Admission control: whether a request is admitted, queued or refused, before it is sent to a backend server.
namespace lycheelanding::decisions::admission {

struct LimiterSettings
{
    double initialLimit = 16.0;
    double minLimit = 1.0;
    double maxLimit = 1024.0;
    /// The limit decreases when the smoothed first-token latency exceeds this multiple of its minimum within
    /// baselineWindow.
    double tolerance = 2.0;
    /// The limit is multiplied by this factor at each decrease.
    double decreaseFactor = 0.95;
    /// Each first token with an acceptable latency raises the limit by increase / limit, provided that most of the
    /// limit is in use.
    double increase = 1.0;
    core::Duration minDecreaseInterval = std::chrono::milliseconds(250);
    /// Length of the window over which the minimum latency is taken.
    core::Duration baselineWindow = std::chrono::seconds(20);
};

/// Adaptive limit of the requests that one entry has in flight at one backend server. Additive increase, multiplicative
/// decrease (AIMD), driven by the smoothed first-token latency relative to its recent minimum.
class ConcurrencyLimiter
{
public:
    explicit ConcurrencyLimiter(LimiterSettings settings);

    /// Replaces the settings; the current limit is clamped to the new bounds.
    void configure(const LimiterSettings &settings);
    void requestSent() { ++m_inFlight; }
    /// The first token of a request has arrived; `latency` is its first-token latency.
    void firstToken(core::Duration latency, core::TimePoint now);
    /// A request has ended; `overloaded` if it was refused or timed out because the backend server was overloaded.
    void requestEnded(bool overloaded, core::TimePoint now);

    std::size_t limit() const { return static_cast<std::size_t>(m_limit); }
    std::size_t inFlight() const { return m_inFlight; }
    bool hasCapacity() const { return m_inFlight < limit(); }

private:
    struct Baseline
    {
        core::TimePoint expiresAt;
        double seconds = 0.0;
    };

    void decreaseLimit(core::TimePoint now);
    void updateBaseline(core::TimePoint now);

    LimiterSettings m_settings;
    double m_limit;
    std::size_t m_inFlight = 0;
    double m_smoothedSeconds = 0.0;
    std::size_t m_samples = 0;
    /// Sliding-window minimum: smoothed latencies that can still become the minimum, ascending from front to back.
    std::deque<Baseline> m_baselines;
    core::TimePoint m_lastDecrease;
};

} // namespace lycheelanding::decisions::admission
