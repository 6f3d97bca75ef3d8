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
    /// Minimum time for which a claim is kept.
    std::chrono::seconds retention = std::chrono::hours(1);
    /// Maximum difference between the wall clocks of any two VMs, including those of callers.
    std::chrono::seconds maxClockSkew{60};
    /// Minimum time between the starts of two writes; claims that arrive in between share the next write.
    std::chrono::milliseconds minWriteInterval{20};
    /// Maximum time that a claim waits for the store before it is refused.
    std::chrono::milliseconds claimTimeout{2000};
    /// Delay before the store is called again after a call has failed.
    std::chrono::milliseconds storeRetryInterval{1000};
    /// Maximum number of claims in one partition; at 30 bytes each the stored value stays under half a megabyte.
    std::size_t maxClaims = 16000;
    /// Maximum number of attempts that wait for a store call; further claims are refused as overloaded.
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
    /// Set when the key encodes its creation time.
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
/// No response was received: the write may have taken effect, or may still do so.
struct WriteUnknown
{ };
/// The write was certainly not sent, or the service rejected it.
struct WriteFailed
{ };
using StoreWriteResult = std::variant<WriteDone, WriteConflict, WriteUnknown, WriteFailed>;

/// Read the partition's value and pass the result to storeRead().
struct ReadStore
{ };
/// Replace the value by compare-and-swap on the revision and pass the result to storeWritten().
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
/// The claim names the new side that move() requested; the attempt may run there.
struct Moved
{
    AttemptNonce nonce;
};
/// The attempt that holds the key already.
struct Holder
{
    AttemptNonce nonce;
    /// The only side that can have the kept answer, or guarantee that the attempt has not run and never will.
    SideId side;
    /// Start of the claim's bucket: at most ClaimValue::bucketWidth before the attempt was claimed.
    core::WallTime claimedAt;
    bool isSameRequest = true;
};
/// The attempt must not run. For every error kind except AlreadyClaimed the request has not run.
struct Refused
{
    AttemptNonce nonce;
    core::Error error;
    std::optional<Holder> holder = std::nullopt;
};
using ClaimAction = std::variant<ReadStore, WriteStore, Granted, Moved, Refused>;
using ClaimActions = std::vector<ClaimAction>;

/// State machine of one entry for one partition of claims. At most one call to the store is in flight.
///
/// An attempt is granted after a successful compare-and-swap, or when its nonce is found in a value that was read. It
/// is refused as already claimed only on the basis of a value that was read or written after the claim arrived. The
/// caller of a member executes the returned actions.
class ClaimPartition
{
public:
    explicit ClaimPartition(const ClaimSettings &settings);

    ClaimActions claim(const ClaimRequest &request, core::TimePoint now);
    ClaimActions storeRead(const StoreReadResult &result, core::TimePoint now);
    ClaimActions storeWritten(const StoreWriteResult &result, core::TimePoint now);
    /// Removes the claim of an attempt that certainly has not run and never will, so that its key can be claimed again.
    ClaimActions release(AttemptNonce nonce, core::TimePoint now);
    /// Removes the claim of another entry's attempt after `side` has guaranteed never to run it. The claim stays if it
    /// names another side by now.
    ClaimActions releaseForbidden(AttemptNonce nonce, const SideId &side, core::TimePoint now);
    /// Assigns a granted attempt that certainly did not run on its side to another side. The attempt may run there only
    /// after Moved; Refused means that it must not run.
    ClaimActions move(AttemptNonce nonce, const SideId &side, core::TimePoint now);
    /// Refuses claims that have timed out and issues store calls that are due.
    ClaimActions tick(core::TimePoint now);

    /// When to call tick() next; nothing while it has nothing to do.
    std::optional<core::TimePoint> wakeAt() const;

private:
    enum class StoreCall : std::uint8_t {
        None,
        Read,
        Write,
    };

    /// A claim or a move that waits for a store call.
    struct Pending
    {
        ClaimRequest request;
        core::TimePoint deadline;
        std::uint64_t arrival = 0;
        bool isMove = false;
        /// Set once the claim was part of a write: that write may have stored it.
        bool mayBeStored = false;
    };

    struct Removal
    {
        /// When set, the claim is removed only while it names this side.
        std::optional<SideId> requiredSide;
    };

    bool isBackingOff(core::TimePoint now) const;
    bool isWriteAllowed(core::TimePoint now) const;
    bool hasWork() const;
    std::optional<core::Error> keyAgeError(const ClaimRequest &request) const;

    void addPending(const ClaimRequest &request, bool isMove, core::TimePoint now);
    /// Adopts a value that the store certainly held at some time after the current call was issued.
    void adoptValue(ClaimValue value, StoreRevision revision, ClaimActions &actions);
    void resolvePending(ClaimActions &actions);
    void dropCompletedRemovals();
    /// Emits the decision on a pending claim or move if the current value decides it; returns whether it did.
    bool tryResolve(const Pending &pending, ClaimActions &actions) const;
    void processPending(core::TimePoint now, ClaimActions &actions);
    void startRead(ClaimActions &actions);
    void startWrite(core::TimePoint now, ClaimActions &actions);
    /// Applies the pending claims and moves to `next`; returns whether `next` has changed.
    bool applyPending(ClaimValue &next, ClaimActions &actions);
    void refuseTimedOut(core::TimePoint now, ClaimActions &actions);
    void refuse(const Pending &pending, core::Error error, ClaimActions &actions);

    ClaimSettings m_settings;
    StoreCall m_call = StoreCall::None;
    std::optional<ClaimValue> m_value;
    StoreRevision m_revision;
    /// The value of the write in flight; it expects m_revision.
    ClaimValue m_valueBeingWritten;
    /// Highest expected revision of a write without a response: it may still take effect while the store is at that
    /// revision.
    std::optional<StoreRevision> m_unresolvedRevision;
    std::vector<Pending> m_pending;
    std::map<AttemptNonce, Removal> m_removals;
    core::WallTime m_latestWallTime;
    std::optional<core::TimePoint> m_backoffUntil;
    std::optional<core::TimePoint> m_lastWriteStart;
    /// Logical clock that orders the arrivals of claims and the starts of store calls.
    std::uint64_t m_sequence = 0;
    std::uint64_t m_callSequence = 0;
    std::uint64_t m_confirmedSequence = 0;
};

} // namespace lycheelanding::decisions::idempotency
