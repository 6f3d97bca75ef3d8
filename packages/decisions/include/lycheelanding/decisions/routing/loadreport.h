#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lycheelanding::decisions::routing {

struct RankLoad
{
    core::RankIndex rank;
    /// Prompt and answer tokens still to be processed for the requests that the rank has accepted.
    std::uint64_t outstandingTokens = 0;
    /// Requests that wait for a slot in the batch.
    std::uint32_t queued = 0;
    /// Requests in the batch; empty if the engine does not report them per rank.
    std::optional<std::uint32_t> running = std::nullopt;
};

/// Load of one backend server. A backend server without ranks reports one entry with rank 0.
struct LoadReport
{
    std::vector<RankLoad> ranks;
    /// Time of the measurement, on the clock of the receiver.
    core::TimePoint measuredAt;
};

} // namespace lycheelanding::decisions::routing
