#include "lycheelanding/decisions/mapswitch/steppace.h"

#include <algorithm>
#include <chrono>

namespace lycheelanding::decisions::mapswitch {

namespace {

/// A group that has not stepped for this long is idle or held, and may step at any time.
constexpr std::chrono::seconds maxStepDuration{1};
constexpr std::chrono::milliseconds minStepDuration{10};

} // namespace

void StepPace::stepRead(core::StepNumber step, core::TimePoint earlierReadAt, core::TimePoint now)
{
    if (step == m_step) {
        m_beganAfter = std::max(m_beganAfter, earlierReadAt);
    }
    if (step <= m_step) {
        return;
    }
    const auto elapsed = now - m_readAt;
    const auto steps = static_cast<core::Duration::rep>(step.number() - m_step.number());
    const bool isKnown = m_step > core::StepNumber() && elapsed < maxStepDuration;
    m_duration = isKnown ? std::optional(std::max<core::Duration>(elapsed / steps, minStepDuration)) : std::nullopt;
    m_step = step;
    m_readAt = now;
    m_beganAfter = earlierReadAt;
}

std::optional<std::uint64_t> StepPace::stepsWithin(core::Duration leadTime, core::TimePoint now) const
{
    if (!m_duration || now - m_readAt >= maxStepDuration) {
        return std::nullopt;
    }
    const auto untilNextStep = std::max(*m_duration - (now - m_beganAfter), core::Duration::zero());
    if (leadTime < untilNextStep) {
        return 0;
    }
    return static_cast<std::uint64_t>((leadTime - untilNextStep) / *m_duration) + 1;
}

} // namespace lycheelanding::decisions::mapswitch
