#pragma once

#include "lycheelanding/core/random.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Fault-injection rounds: requests and faults against real processes, with an oracle for one of the guarantees each.
/// The guarantees are numbered as in `measure-promises --promise N`.
namespace lycheelanding::rounds {

/// Result of a round. A round passes when it has sent requests and has no violations.
struct RoundResult
{
    std::size_t requests = 0;
    std::size_t faults = 0;
    /// One sentence for each violation.
    std::vector<std::string> violations;
    /// Maximum time to the guaranteed state, from the end of a fault, the start of a stop or of a VM's departure, or
    /// the acceptance of a patch.
    std::chrono::milliseconds maxRecoveryTime{0};
};

/// Adds the result of `round` to `total`.
void add(RoundResult &total, const RoundResult &round);

/// A random element of a non-empty list.
template <typename Value>
const Value &pick(const std::vector<Value> &values, core::RandomSequence &random)
{
    return values[random.nextBelow(values.size())];
}

} // namespace lycheelanding::rounds
