#pragma once

#include "lycheelanding/decisions/experts/expertmap.h"
#include "lycheelanding/decisions/experts/plannersettings.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace lycheelanding::bench::experts {

/// Parameters of the simulated group, of its load and of the weight store.
struct SimulationParameters
{
    decisions::experts::MapShape shape{8, 64, 12, 0};
    std::chrono::seconds day = std::chrono::hours(8);
    /// Time between two measured steps.
    std::chrono::seconds tick{10};
    /// Period of one report of counts.
    std::chrono::seconds countPeriod{60};
    /// Period of the full repack.
    std::chrono::seconds repackPeriod{300};
    /// Tokens of one step times the number of experts that each token is routed to.
    double tokensPerStep = 4096 * 8;
    double stepsPerSecond = 20;
    decisions::experts::WeightStoreLimits weightStore{44'000'000, 250'000'000};

    std::size_t ticks() const { return static_cast<std::size_t>(day / tick); }
    std::size_t ticksPerPeriod() const { return static_cast<std::size_t>(countPeriod / tick); }
};

/// Slots per rank that hold every expert once and leave a quarter more free, at least one on each rank.
inline std::size_t defaultSlotsPerRank(const decisions::experts::MapShape &shape)
{
    const std::size_t needed = (shape.experts + shape.ranks - 1) / shape.ranks;
    return needed + std::max<std::size_t>(1, needed / 4);
}

} // namespace lycheelanding::bench::experts
