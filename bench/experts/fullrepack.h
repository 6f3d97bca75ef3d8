#pragma once

#include "lycheelanding/decisions/experts/expertplanner.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace lycheelanding::bench::experts {

/// Fills a layer of `map` from nothing: one replica each, further ones for the expert with the most tokens per
/// replica while slots are free, then the largest replicas first onto the least loaded rank.
void packLayer(decisions::experts::ExpertMap &map, std::size_t layer, std::span<const double> tokens);

/// Packs the whole map anew in every period, whatever that loads.
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
    /// Tokens of each layer since the last move; the newest known ones where none have come since.
    std::vector<std::vector<double>> m_tokens;
    std::vector<bool> m_isSumOutdated;
    std::optional<core::TimePoint> m_lastMove;
    bool m_isMoveInProgress = false;
};

} // namespace lycheelanding::bench::experts
