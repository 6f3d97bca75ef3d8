#pragma once

#include "rounds/round.h"

namespace lycheelanding::rounds {

/// Tests guarantee 6, planned stops cut off no answer: sides and entries get SIGTERM under load while the configuration
/// changes. No answer may be cut off and every process must exit with code 0.
RoundResult runStopRound(std::uint64_t seed, std::size_t stops);

} // namespace lycheelanding::rounds
