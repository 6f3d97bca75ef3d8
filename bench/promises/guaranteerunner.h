#pragma once

#include "rounds/round.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

/// Measures how the guarantees hold under faults.
namespace lycheelanding::bench::guarantees {

/// Runs and findings for one guarantee.
struct GuaranteeRow
{
    /// Number of the guarantee.
    int guarantee = 0;
    std::string_view title;
    /// Number of fuzz runs and rounds.
    std::size_t runs = 0;
    rounds::RoundResult result;
};

/// Runs the fuzz tests and the rounds of each guarantee with `seed`; `effort` scales the number of faults in a round.
/// `selectedGuarantee` is the number of the only guarantee to run; all are run without it.
std::vector<GuaranteeRow> runGuarantees(std::uint64_t seed, std::size_t effort, std::optional<int> selectedGuarantee);

} // namespace lycheelanding::bench::guarantees
