#include "lycheelanding/decisions/routing/speedtracker.h"

#include <algorithm>
#include <cmath>

namespace lycheelanding::decisions::routing {

namespace {

// Weight of a new sample in the exponential moving average of the time between tokens.
constexpr double sampleWeight = 0.05;
constexpr std::uint32_t minSamples = 20;
constexpr double maxSlowness = 16.0;
// Smaller factors are treated as noise caused by different batch sizes.
constexpr double noiseFactor = 1.3;
constexpr core::Duration medianPeriod = std::chrono::milliseconds(100);
// Without new samples the slowness of a backend server decays to normal, so that it gets requests again.
constexpr double decayHalfLifeSeconds = 5.0;

} // namespace

void SpeedTracker::setServers(const std::vector<core::VmId> &vms)
{
    std::map<core::VmId, Speed> speeds;
    for (const auto &vm : vms) {
        const auto known = m_speeds.find(vm);
        speeds[vm] = known == m_speeds.end() ? Speed() : known->second;
    }
    m_speeds = std::move(speeds);
}

void SpeedTracker::tokenGap(const core::VmId &vm, core::Duration gap, core::TimePoint now)
{
    const auto found = m_speeds.find(vm);
    if (found == m_speeds.end()) {
        return;
    }
    Speed &speed = found->second;
    const double seconds = std::chrono::duration<double>(gap).count();
    speed.gapSeconds = speed.samples == 0 ? seconds : speed.gapSeconds + sampleWeight * (seconds - speed.gapSeconds);
    ++speed.samples;
    speed.lastSample = now;
    if (now - m_medianAt >= medianPeriod) {
        updateMedian(now);
    }
}

double SpeedTracker::slowness(const core::VmId &vm, core::TimePoint now) const
{
    const auto found = m_speeds.find(vm);
    if (found == m_speeds.end() || found->second.samples < minSamples || m_medianSeconds <= 0.0) {
        return 1.0;
    }
    const double factor = std::min(found->second.gapSeconds / m_medianSeconds, maxSlowness);
    if (factor < noiseFactor) {
        return 1.0;
    }
    const double age = std::chrono::duration<double>(now - found->second.lastSample).count();
    return 1.0 + (factor - 1.0) * std::exp2(-age / decayHalfLifeSeconds);
}

void SpeedTracker::updateMedian(core::TimePoint now)
{
    std::vector<double> gaps;
    for (const auto &[vm, speed] : m_speeds) {
        if (speed.samples >= minSamples) {
            gaps.push_back(speed.gapSeconds);
        }
    }
    m_medianAt = now;
    if (gaps.empty()) {
        return;
    }
    const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
    std::nth_element(gaps.begin(), middle, gaps.end());
    m_medianSeconds = *middle;
}

} // namespace lycheelanding::decisions::routing
