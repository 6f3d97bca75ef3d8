#pragma once

#include "lycheelanding/core/clock.h"

#include <cstddef>
#include <deque>

/// Who is admitted, who waits and who is refused before a request is sent anywhere.
namespace lycheelanding::decisions::admission {

struct LimiterSettings
{
    double initialLimit = 16.0;
    double minLimit = 1.0;
    double maxLimit = 1024.0;
    /// First-token latency, as a multiple of the lowest one lately, above which the limit falls.
    double tolerance = 2.0;
    double decreaseFactor = 0.95;
    /// Growth for each first token that arrives in time while the limit is in use, divided by the limit.
    double increase = 1.0;
    /// Shortest time between two decreases.
    core::Duration minDecreaseInterval = std::chrono::milliseconds(250);
    /// Time after which a lowest latency is forgotten.
    core::Duration baselineWindow = std::chrono::seconds(20);
};

/// Adaptive limit of one entry's requests in flight at one backend server: additive increase, multiplicative
/// decrease, led by the first-token latency against its lowest smoothed value.
class ConcurrencyLimiter
{
public:
    explicit ConcurrencyLimiter(LimiterSettings settings);

    /// Takes over new settings; the limit stays where it is, within the new bounds.
    void configure(const LimiterSettings &settings);
    void requestSent() { ++m_inFlight; }
    void firstToken(core::Duration latency, core::TimePoint now);
    /// The request ended; `overloaded` when it was refused or timed out because the backend server had too much to do.
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
    /// Smoothed latencies that may yet become the lowest of the window, rising from front to back.
    std::deque<Baseline> m_baselines;
    core::TimePoint m_lastDecrease;
};

} // namespace lycheelanding::decisions::admission
