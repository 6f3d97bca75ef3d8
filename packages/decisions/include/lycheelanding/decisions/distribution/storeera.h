#pragma once

#include "lycheelanding/core/ids.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lycheelanding::decisions::distribution {

/// Counts how often the store has come back from an older copy of its data. Within an era revisions only grow and what
/// the store has acknowledged lasts; between two eras its latest writes may be lost, leases too, and their revisions
/// are given out again. 0 for a store that names no era.
using StoreEra = core::NumberId<struct StoreEraTag>;

/// What the era in an answer of the store says about the answer.
enum class EraCheck : std::uint8_t {
    Current,
    /// The first answer of a later era: whatever is known from the store has to be read again.
    Advanced,
    // The answer must change nothing.
    /// The answer is from an earlier era.
    Outdated,
    /// The answer names no era although others did.
    Missing,
    /// The era is not a number.
    Invalid,
};

std::string_view nameOf(EraCheck check);
/// Whether an answer with this result may be used.
constexpr bool isUsable(EraCheck check)
{
    return check == EraCheck::Current || check == EraCheck::Advanced;
}

/// Follows the era of a store through its answers.
class EraTracker
{
public:
    /// `era` is the value of the answer's header field; nothing if the answer has none.
    EraCheck check(std::optional<std::string_view> era);
    /// The latest era seen.
    StoreEra current() const { return m_current; }

private:
    StoreEra m_current;
    /// Whether an answer has named an era.
    bool m_isKnown = false;
};

} // namespace lycheelanding::decisions::distribution
