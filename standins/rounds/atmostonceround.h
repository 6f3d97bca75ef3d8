#pragma once

#include "rounds/round.h"

namespace lycheelanding::rounds {

/// Tests guarantees 3 and 4, what is reported as not run has not run, and a request runs at most once: callers retry
/// non-idempotent requests through other entries while sides and entries are killed or suspended and the key-value
/// service fails. The oracle is the journal of the plain services.
RoundResult runAtMostOnceRound(std::uint64_t seed, std::size_t requests);

} // namespace lycheelanding::rounds
