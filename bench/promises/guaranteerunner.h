#pragma once

#include "rounds/round.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

/// Measures how the promises hold under faults.
namespace lycheelanding::bench::guarantees {

/// What was run and found for one promise.
struct GuaranteeRow
{
    int guarantee = 0;
    std::string_view title;
    /// Fuzz programs and rounds that were run.
    std::size_t runs = 0;
    rounds::RoundResult result;
};

/// Runs the fuzz tests and the rounds of each promise under `seed`; `effort` scales the number of faults in a round.
/// `selectedGuarantee` names one promise.
std::vector<GuaranteeRow> runGuarantees(std::uint64_t seed, std::size_t effort, std::optional<int> selectedGuarantee);

} // namespace lycheelanding::bench::guarantees
