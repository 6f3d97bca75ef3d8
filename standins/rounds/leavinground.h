#pragma once

#include "rounds/round.h"

namespace lycheelanding::rounds {

/// Tests guarantee 5, a leaving VM gets no new work: a VM leaves under a load of plain calls and is noticed by the VM
/// list alone, by its SIGTERM alone, by inactivity alone or by an operator's drain. The oracle is the journal of its
/// backend server: no call begins there after the time limit.
RoundResult runLeavingRound(std::uint64_t seed, std::size_t departures);

} // namespace lycheelanding::rounds
