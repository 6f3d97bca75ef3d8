#pragma once

#include "rounds/round.h"

namespace lycheelanding::rounds {

/// Tests guarantee 1, all ranks run a step with the same expert map: a rank group switches maps continually while its
/// sides are killed, suspended, delayed and disconnected, its engines are stalled or replaced and the key-value service
/// fails. The oracle is the step barrier at rank 0.
RoundResult runMapSwitchRound(std::uint64_t seed, std::size_t faults, bool honoursFencing);

} // namespace lycheelanding::rounds
