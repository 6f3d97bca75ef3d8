#pragma once

#include "lycheelanding/decisions/experts/expertplanner.h"
#include "lycheelanding/forwarding/forwardingconfiguration.h"
#include "lycheelanding/rankgroups/demandaverage.h"
#include "lycheelanding/rankgroups/rankreport.h"

#include <optional>
#include <vector>

namespace lycheelanding::rankgroups {

/// Plans the expert map of one group from the counts of its ranks.
class GroupPlanner
{
public:
    GroupPlanner(const forwarding::ModelShape &shape, std::size_t ranks);

    /// Choices since the start of a rank; a rank that started anew counts from there.
    void countsRead(core::RankIndex rank, const ChoiceCounts &counts, core::TimePoint now);
    /// The map to switch to, if that is worth its cost now. Each rank loads at most the spare experts of a layer.
    std::optional<decisions::experts::Move> plan(const decisions::experts::ExpertMap &current, core::TimePoint now);
    void switchStarted(const decisions::experts::Move &move, core::TimePoint now);
    void switchEnded() { m_planner.moveEnded(); }

    /// Whether the demand of all layers has been steady for some windows.
    bool isDemandSettled() const;

    const decisions::experts::MapShape &shape() const { return m_shape; }

private:
    void observeWindow(core::TimePoint now);

    const forwarding::ModelShape m_model;
    const decisions::experts::MapShape m_shape;
    decisions::experts::ExpertPlanner m_planner;
    /// Last counts of each rank, and those at the beginning of the window.
    std::vector<ChoiceCounts> m_latestCounts;
    std::vector<ChoiceCounts> m_countsAtWindowStart;
    std::optional<core::TimePoint> m_windowStartTime;
    /// By layer.
    std::vector<DemandAverage> m_demand;
};

/// `next` without the layers in which a rank would load more than `spareSlots` experts.
decisions::experts::ExpertMap revertOverloadedLayers(const decisions::experts::ExpertMap &current,
                                                     const decisions::experts::ExpertMap &next, std::size_t spareSlots);

} // namespace lycheelanding::rankgroups
