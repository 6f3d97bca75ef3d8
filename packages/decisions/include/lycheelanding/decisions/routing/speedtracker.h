#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lycheelanding::decisions::routing {

/// Compares the speed of the backend servers by their time between tokens (inter-token latency).
class SpeedTracker
{
public:
    void setServers(const std::vector<core::VmId> &vms);
    /// `gap` is the time between two tokens of one answer.
    void tokenGap(const core::VmId &vm, core::Duration gap, core::TimePoint now);

    /// How many times slower than the median of all the backend server is; at least 1. Small differences count as 1,
    /// and the value decays to 1 without new samples.
    double slowness(const core::VmId &vm, core::TimePoint now) const;

private:
    struct Speed
    {
        double gapSeconds = 0.0;
        std::uint32_t samples = 0;
        core::TimePoint lastSample;
    };

    void updateMedian(core::TimePoint now);

    std::map<core::VmId, Speed> m_speeds;
    double m_medianSeconds = 0.0;
    core::TimePoint m_medianAt;
};

} // namespace lycheelanding::decisions::routing
