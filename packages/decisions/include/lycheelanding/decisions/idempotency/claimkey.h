#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

/// At-most-once execution of non-idempotent requests: an attempt runs only after it has stored a durable claim of its
/// idempotency key.
namespace lycheelanding::decisions::idempotency {

/// 64-bit hash of an organisation and the Idempotency-Key of its request.
using KeyHash = core::NumberId<struct KeyHashTag>;
/// Number of a claim partition, counted from 0.
using PartitionNumber = core::NumberId<struct PartitionTag>;
/// Random identifier that an entry draws for each attempt to run a request; never reused.
using AttemptNonce = core::NumberId<struct AttemptNonceTag>;

inline constexpr std::uint64_t defaultPartitionCount = 256;

KeyHash keyHashOf(const core::OrganisationId &organisation, std::string_view idempotencyKey);

PartitionNumber partitionOf(KeyHash key, std::uint64_t partitionCount = defaultPartitionCount);

/// The entry that should write the partition, so that claims are grouped into one write to the store (group commit). An
/// optimisation: any entry may write. Nothing when there is no live entry.
std::optional<core::VmId> partitionWriterHint(PartitionNumber partition, std::span<const core::VmId> liveEntries);

/// The creation time, in milliseconds, encoded in a key that is a UUIDv7; nothing for any other key.
std::optional<core::WallTime> creationTimeOf(std::string_view idempotencyKey);

} // namespace lycheelanding::decisions::idempotency
