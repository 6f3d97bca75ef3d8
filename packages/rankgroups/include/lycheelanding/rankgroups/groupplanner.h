#pragma once

#include "lycheelanding/decisions/experts/expertplanner.h"
#include "lycheelanding/forwarding/forwardingconfiguration.h"
#include "lycheelanding/rankgroups/demandaverage.h"
#include "lycheelanding/rankgroups/rankreport.h"

#include <optional>
#include <vector>

namespace lycheelanding::rankgroups {

/// Plans the expert map of one group from the expert counts of its ranks.
class GroupPlanner
{
public:
    GroupPlanner(const forwarding::ModelShape &shape, std::size_t ranks);

    /// Adds the counts of a rank, which are totals since the rank started. Decreased counts mean that it restarted.
    /// Ranks may report at any interval: a window ends when each of them has reported in it, or after 1.5 s.
    void countsRead(core::RankIndex rank, const ChoiceCounts &counts, core::TimePoint now);
    /// The map to switch to if its benefit exceeds its cost now. A rank loads at most as many experts per layer as it
    /// has spare slots.
    std::optional<decisions::experts::Move> plan(const decisions::experts::ExpertMap &current, core::TimePoint now);
    void switchStarted(const decisions::experts::Move &move, core::TimePoint now);
    void switchEnded() { m_planner.moveEnded(); }

    /// Whether the average demand of every layer is settled (see DemandAverage).
    bool isDemandSettled() const;

    const decisions::experts::MapShape &shape() const { return m_shape; }

private:
    void observeWindow(core::TimePoint now);

    const forwarding::ModelShape m_model;
    const decisions::experts::MapShape m_shape;
    decisions::experts::ExpertPlanner m_planner;
    /// Last counts of each rank, and its counts at the start of the current window.
    std::vector<ChoiceCounts> m_latestCounts;
    std::vector<ChoiceCounts> m_countsAtWindowStart;
    /// By rank, whether it has reported in the current window.
    std::vector<bool> m_isReported;
    std::optional<core::TimePoint> m_windowStartTime;
    /// By layer.
    std::vector<DemandAverage> m_demand;
};

/// Copy of `next` in which a layer is as in `current` if some rank would have to load more than `spareSlots` experts
/// for it.
decisions::experts::ExpertMap revertOverloadedLayers(const decisions::experts::ExpertMap &current,
                                                     const decisions::experts::ExpertMap &next, std::size_t spareSlots);

} // namespace lycheelanding::rankgroups
