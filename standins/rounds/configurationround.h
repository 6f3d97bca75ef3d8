#pragma once

#include "rounds/round.h"

namespace lycheelanding::rounds {

/// Tests guarantee 7, an accepted configuration becomes active on all processes: operators submit concurrent patches
/// against one version while the key-value service fails and processes are killed and restarted. The oracles are the
/// answers to the operators, the stored history and the version of every process.
RoundResult runConfigurationRound(std::uint64_t seed, std::size_t patches);

} // namespace lycheelanding::rounds
