#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/idempotency/claimkey.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lycheelanding::decisions::idempotency {

/// One incarnation of the side on a VM.
struct SideId
{
    core::VmId vm;
    core::Incarnation incarnation;

    // clang-tidy 14 takes the 0 of the defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const SideId &) const = default;
};

struct Claim
{
    KeyHash key;
    AttemptNonce nonce;
    /// 32-bit hash of the request; distinguishes a repeat from a different request with the same key.
    std::uint32_t requestFingerprint = 0;
    /// The only side, in the only incarnation, that may run the attempt.
    SideId side;

    bool operator==(const Claim &) const = default;
};

/// The claims of one partition, grouped into buckets by claim time. Stored as one value of the key-value service.
class ClaimValue
{
public:
    static constexpr std::chrono::seconds bucketWidth{60};

    /// Null when there is no such claim.
    const Claim *claimForKey(KeyHash key) const;
    /// Null when there is no such claim.
    const Claim *claimForNonce(AttemptNonce nonce) const;
    /// Start of the bucket that holds the claim; the epoch when there is no such claim.
    core::WallTime bucketStartOf(AttemptNonce nonce) const;
    std::size_t size() const { return m_size; }

    void add(const Claim &claim, core::WallTime claimedAt);
    void remove(AttemptNonce nonce);
    void move(AttemptNonce nonce, const SideId &side);
    /// Removes the buckets that end at or before `time`.
    void removeBefore(core::WallTime time);

    /// Printable ASCII, about 30 bytes per claim.
    std::string toText() const;
    /// Fails with StoreUnavailable if the text has another format version or is corrupt.
    static core::Result<ClaimValue> fromText(std::string_view text);

    bool operator==(const ClaimValue &) const = default;

private:
    using BucketNumber = std::int64_t;

    Claim *mutableClaimForNonce(AttemptNonce nonce);

    std::map<BucketNumber, std::vector<Claim>> m_buckets;
    std::size_t m_size = 0;
};

} // namespace lycheelanding::decisions::idempotency
