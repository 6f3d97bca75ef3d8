#include "lycheelanding/decisions/mapswitch/answertimes.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::decisions::mapswitch {

namespace {

// Weights of a new time, as in RFC 6298.
constexpr int meanDivisor = 8;
constexpr int deviationDivisor = 4;
constexpr int deviationsInTimeout = 4;

} // namespace

void AnswerTimes::record(core::Duration time)
{
    if (!std::exchange(m_hasTimes, true)) {
        m_mean = time;
        m_deviation = time / 2;
        return;
    }
    const auto difference = time - m_mean;
    m_deviation += (std::chrono::abs(difference) - m_deviation) / deviationDivisor;
    m_mean += difference / meanDivisor;
}

core::Duration AnswerTimes::timeout(core::Duration min, core::Duration max) const
{
    return std::clamp(m_mean + deviationsInTimeout * m_deviation, min, max);
}

} // namespace lycheelanding::decisions::mapswitch
