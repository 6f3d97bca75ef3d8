#pragma once

#include "rounds/round.h"

namespace lycheelanding::rounds {

/// Promise 5: a VM leaves, made known by the VM list alone, by the side's stop signal alone, or by nothing but silence,
/// while plain calls keep coming. The oracle is the journal of its backend server: no call begins there any more after
/// the time limit.
RoundResult runLeavingRound(std::uint64_t seed, std::size_t departures);

} // namespace lycheelanding::rounds
