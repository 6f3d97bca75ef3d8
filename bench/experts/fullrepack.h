#pragma once

#include "lycheelanding/decisions/experts/expertplanner.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace lycheelanding::bench::experts {

/// Fills an empty layer of `map`. Each expert has one replica; while slots are free, the expert with the most tokens
/// per replica gets a further one. The replicas with the most tokens are placed first, each on the least loaded rank.
void packLayer(decisions::experts::ExpertMap &map, std::size_t layer, std::span<const double> tokens);

/// Baseline policy that repacks the whole map in every period, regardless of the bytes that this loads.
class FullRepack
{
public:
    FullRepack(const decisions::experts::MapShape &shape, std::uint64_t bytesPerExpert, core::Duration period);

    void observe(const decisions::experts::ExpertCounts &counts);
    void moveStarted(std::uint64_t bytes, core::TimePoint now);
    void moveEnded() { m_isMoveInProgress = false; }

    std::string_view name() const { return "repack"; }
    decisions::experts::Plan plan(const decisions::experts::ExpertMap &current,
                                  const std::vector<core::RankIndex> &available, core::TimePoint now) const;

private:
    decisions::experts::MapShape m_shape;
    std::uint64_t m_bytesPerExpert;
    core::Duration m_period;
    /// Tokens of each layer's experts since the last move; from before that move if no counts have arrived since.
    std::vector<std::vector<double>> m_tokens;
    /// Layers whose tokens are from before the last move; their next counts replace these.
    std::vector<bool> m_isSumOutdated;
    std::optional<core::TimePoint> m_lastMove;
    bool m_isMoveInProgress = false;
};

} // namespace lycheelanding::bench::experts
