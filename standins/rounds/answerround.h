#pragma once

#include "rounds/round.h"

namespace lycheelanding::rounds {

/// Tests guarantee 2, an answer is complete and belongs to its request: callers stream answers while connections
/// between entries and sides are cut, delayed and truncated, and entries and sides are killed and restarted. The oracle
/// is the content expected for each prompt.
RoundResult runAnswerRound(std::uint64_t seed, std::size_t faults);

} // namespace lycheelanding::rounds
