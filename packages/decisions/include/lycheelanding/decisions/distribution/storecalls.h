#pragma once

#include "lycheelanding/core/ids.h"

#include <cstdint>
#include <string>

/// Acceptance of configuration patches and distribution of accepted versions to all processes.
namespace lycheelanding::decisions::distribution {

/// Number of a store call, unique within the object that makes it; distinguishes a late answer from the awaited one.
using StoreCallNumber = core::NumberId<struct StoreCallTag>;

enum class StoreReadState : std::uint8_t {
    Found,
    /// The key does not exist.
    Missing,
    /// No answer was received.
    Unavailable,
};

enum class StoreWriteOutcome : std::uint8_t {
    Written,
    /// The key is not at the expected revision; nothing was written.
    Conflict,
    /// No answer was received: the write may have taken effect, or may still do so.
    Unknown,
    /// The service was not reached; nothing was written.
    Unavailable,
};

/// The stored record as it was read.
struct RecordReadResult
{
    StoreReadState state = StoreReadState::Unavailable;
    std::string text;
    /// Revision of the key; 0 when it does not exist.
    std::uint64_t revision = 0;
};

} // namespace lycheelanding::decisions::distribution
