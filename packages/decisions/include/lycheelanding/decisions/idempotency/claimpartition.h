#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/idempotency/claimkey.h"
#include "lycheelanding/decisions/idempotency/claimvalue.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::idempotency {

/// Revision of a value of the key-value service; 0 means that the value does not exist.
using StoreRevision = core::NumberId<struct StoreRevisionTag>;

struct ClaimSettings
{
    /// How long a claim is kept at least.
    std::chrono::seconds retention = std::chrono::hours(1);
    /// Largest difference between the wall clocks of any two VMs, callers included.
    std::chrono::seconds maxClockSkew{60};
    /// Shortest time between the starts of two writes; claims that arrive in between share a write.
    std::chrono::milliseconds minWriteInterval{20};
    /// Longest wait of a claim for the store before it is refused.
    std::chrono::milliseconds claimTimeout{2000};
    /// Pause before the store is tried again after it was found unavailable.
    std::chrono::milliseconds storeRetryInterval{1000};
    /// Claims in one partition; at 30 bytes each the value stays under half a megabyte.
    std::size_t maxClaims = 16000;
    /// Attempts that wait for a write at once; more are refused.
    std::size_t maxPending = 4096;
};

struct ClaimRequest
{
    KeyHash key;
    AttemptNonce nonce;
    std::uint32_t requestFingerprint = 0;
    /// The side that will run the attempt if the claim is granted.
    SideId side;
    core::WallTime wallNow;
    /// Set when the key carries its creation time.
    std::optional<core::WallTime> keyCreatedAt = std::nullopt;
};

struct StoredValue
{
    std::string text;
    /// 0 with an empty text when the value does not exist.
    StoreRevision revision;
};
struct StoreReadFailed
{ };
using StoreReadResult = std::variant<StoredValue, StoreReadFailed>;

struct WriteDone
{
    StoreRevision revision;
};
struct WriteConflict
{ };
/// The answer was lost: the write may have taken effect, or may still do so.
struct WriteUnknown
{ };
/// The write was provably never sent or was refused by the service.
struct WriteFailed
{ };
using StoreWriteResult = std::variant<WriteDone, WriteConflict, WriteUnknown, WriteFailed>;

/// Answered by storeRead().
struct ReadStore
{ };
/// A compare-and-swap, answered by storeWritten().
struct WriteStore
{
    std::string text;
    StoreRevision expected;
};
/// The attempt may run, once, on the side that its request named.
struct Granted
{
    AttemptNonce nonce;
    core::WallTime claimedAt;
};
/// The claim now names the side of the move; the attempt may run there.
struct Moved
{
    AttemptNonce nonce;
};
/// Another attempt holds the key.
struct Holder
{
    AttemptNonce nonce;
    /// May keep the answer, and can promise that the attempt has not run and never will.
    SideId side;
    /// When the attempt was claimed, or up to a bucket's width earlier.
    core::WallTime claimedAt;
    bool isSameRequest = true;
};
/// The attempt must not run. Every kind but AlreadyClaimed means that the request has not run.
struct Refused
{
    AttemptNonce nonce;
    core::Error error;
    std::optional<Holder> holder = std::nullopt;
};
using ClaimAction = std::variant<ReadStore, WriteStore, Granted, Moved, Refused>;
using ClaimActions = std::vector<ClaimAction>;

/// One entry's view of one partition of claims. Has at most one call to the store in flight.
///
/// Grants follow from a successful compare-and-swap or from finding the attempt's own nonce in a value that was read;
/// refusals follow from a value that was read or written after the claim had arrived.
class ClaimPartition
{
public:
    explicit ClaimPartition(const ClaimSettings &settings);

    ClaimActions claim(const ClaimRequest &request, core::TimePoint now);
    ClaimActions storeRead(const StoreReadResult &result, core::TimePoint now);
    ClaimActions storeWritten(const StoreWriteResult &result, core::TimePoint now);
    /// The attempt has provably not run and never will: its key becomes free.
    ClaimActions release(AttemptNonce nonce, core::TimePoint now);
    /// The side has promised never to run the attempt of another entry: its key becomes free, unless the attempt has
    /// moved to another side.
    ClaimActions releaseForbidden(AttemptNonce nonce, const SideId &side, core::TimePoint now);
    /// A granted attempt that provably did not run on its side is to run on another; wait for Moved or Refused.
    ClaimActions move(AttemptNonce nonce, const SideId &side, core::TimePoint now);
    ClaimActions tick(core::TimePoint now);

    /// When tick() is due.
    std::optional<core::TimePoint> wakeAt() const;

private:
    enum class StoreCall : std::uint8_t {
        None,
        Read,
        Write,
    };

    /// A claim or a move that waits for the store.
    struct Pending
    {
        ClaimRequest request;
        core::TimePoint deadline;
        std::uint64_t arrival = 0;
        bool isMove = false;
        bool mayBeStored = false;
    };

    struct Removal
    {
        std::optional<SideId> requiredSide;
    };

    bool isBackingOff(core::TimePoint now) const;
    bool isWriteAllowed(core::TimePoint now) const;
    bool hasWork() const;
    std::optional<core::Error> keyAgeError(const ClaimRequest &request) const;

    void addPending(const ClaimRequest &request, bool isMove, core::TimePoint now);
    /// Takes over a value that the store is known to have held after the call was issued.
    void adoptValue(ClaimValue value, StoreRevision revision, ClaimActions &actions);
    void resolvePending(ClaimActions &actions);
    void dropCompletedRemovals();
    bool tryResolve(const Pending &pending, ClaimActions &actions) const;
    void processPending(core::TimePoint now, ClaimActions &actions);
    void startRead(ClaimActions &actions);
    void startWrite(core::TimePoint now, ClaimActions &actions);
    bool applyPending(ClaimValue &next, ClaimActions &actions);
    void refuseTimedOut(core::TimePoint now, ClaimActions &actions);
    void refuse(const Pending &pending, core::Error error, ClaimActions &actions);

    ClaimSettings m_settings;
    StoreCall m_call = StoreCall::None;
    std::optional<ClaimValue> m_value;
    StoreRevision m_revision;
    /// The value of the write in flight and the revision that it expects.
    ClaimValue m_valueBeingWritten;
    /// Highest revision that a write with a lost answer expected: it may still take effect at that revision.
    std::optional<StoreRevision> m_unresolvedRevision;
    std::vector<Pending> m_pending;
    std::map<AttemptNonce, Removal> m_removals;
    core::WallTime m_latestWallTime;
    std::optional<core::TimePoint> m_backoffUntil;
    std::optional<core::TimePoint> m_lastWriteStart;
    /// Counts events; orders claims against the store calls that confirm them.
    std::uint64_t m_sequence = 0;
    std::uint64_t m_callSequence = 0;
    std::uint64_t m_confirmedSequence = 0;
};

} // namespace lycheelanding::decisions::idempotency
