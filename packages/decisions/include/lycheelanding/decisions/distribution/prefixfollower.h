#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/random.h"
#include "lycheelanding/decisions/distribution/storecalls.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::distribution {

/// One key of the store with its value and the revision that wrote it.
struct KeyValue
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;

    bool operator==(const KeyValue &) const = default;
};

/// One page of the keys under a prefix. The pages of a listing are read separately and form no consistent snapshot.
struct KeyPage
{
    std::vector<KeyValue> keyValues;
    bool hasMore = false;
    /// Revision of the store when the page was read.
    std::uint64_t atRevision = 0;
};

/// A key that was removed at `revision`.
struct RemovedKey
{
    std::string key;
    std::uint64_t revision = 0;
};

/// Changes reported by a watch, in revision order.
struct WatchEvents
{
    std::vector<std::variant<KeyValue, RemovedKey>> events;
    /// Revision after which the next watch continues.
    std::uint64_t atRevision = 0;
};

enum class StoreCallFailure : std::uint8_t {
    /// No answer, or an answer that nothing was done.
    Unavailable,
    /// The store no longer keeps the revisions that the watch starts from, or the lease has ended.
    Expired,
};

/// Reads the page of the keys after `afterKey`; answered by pageRead() or callFailed().
struct ReadPage
{
    StoreCallNumber call;
    std::string afterKey;
};
/// Waits for changes after a revision; answered by watchEnded() or callFailed().
struct WatchPrefix
{
    StoreCallNumber call;
    std::uint64_t afterRevision = 0;
};
/// Cancels the call: its answer is no longer needed.
struct CancelCall
{
    StoreCallNumber call;
};
/// All keys under the prefix. Keys known before that are not among them no longer exist.
struct KeysListed
{
    std::vector<KeyValue> keyValues;
    /// Revision of the store when the first page was read.
    std::uint64_t atRevision = 0;
};
struct KeyWritten
{
    KeyValue keyValue;
};
struct KeyRemoved
{
    std::string key;
    std::uint64_t revision = 0;
};
/// The store does not answer; known keys may be out of date from now on.
struct ContactLost
{ };
/// The store answers again.
struct ContactRegained
{
    /// Last answer before contact was lost.
    core::TimePoint lastContact;
    /// The store may have answered new calls from this time on: when the last listing that failed was sent, or
    /// lastContact if only a watch failed.
    core::TimePoint earliestReturn;
};

using FollowerAction
    = std::variant<ReadPage, WatchPrefix, CancelCall, KeysListed, KeyWritten, KeyRemoved, ContactLost, ContactRegained>;
using FollowerActions = std::vector<FollowerAction>;

struct FollowerSettings
{
    /// A page that has not arrived after this long is read again; the store answers in milliseconds.
    core::Duration pageTimeout = std::chrono::milliseconds(1500);
    /// How long a watch waits at the store. A watch may miss a change without an error; the next watch reports it, or
    /// the listing that follows Expired. A VM that was undisturbed for 3 s has to know the current state, so the pause
    /// before a watch, the watch, its margin and a listing must take less time together.
    std::chrono::milliseconds watchDuration = std::chrono::milliseconds(1600);
    /// Minimum time between the starts of two watches. Under a prefix whose keys change all the time each watch ends at
    /// once, and without this bound the calls of each process grow with the number of keys.
    core::Duration minWatchInterval = core::Duration::zero();
    /// Time beyond watchDuration after which a watch counts as lost, as its connection may be dead without an error.
    core::Duration watchTimeoutMargin = std::chrono::milliseconds(700);
    /// Bounds of the delay after a failed call; it doubles with each further failure.
    core::Duration minRetryDelay = std::chrono::milliseconds(50);
    core::Duration maxRetryDelay = std::chrono::milliseconds(600);
    std::uint64_t seed = 1;
};

/// Follows all keys under one prefix of the store: lists them page by page, then watches from the revision of the first
/// page. The newest revision of each key wins, in whatever order pages and events report it.
class PrefixFollower
{
public:
    explicit PrefixFollower(const FollowerSettings &settings);

    FollowerActions start(core::TimePoint now);
    FollowerActions pageRead(StoreCallNumber call, KeyPage page, core::TimePoint now);
    FollowerActions watchEnded(StoreCallNumber call, const WatchEvents &events, core::TimePoint now);
    FollowerActions callFailed(StoreCallNumber call, StoreCallFailure failure, core::TimePoint now);
    /// The VM was suspended for some time: lists all keys again.
    FollowerActions resumed(core::TimePoint now);
    /// The store has come back from an older copy: lists all keys again. Revisions of the earlier era are not compared
    /// with those of the new one.
    FollowerActions eraChanged(core::TimePoint now);
    FollowerActions tick(core::TimePoint now);

private:
    enum class Phase : std::uint8_t {
        Stopped,
        BackingOff,
        Reading,
        Watching,
        /// Between two watches.
        Pausing,
    };

    void startListing(core::TimePoint now, FollowerActions &actions);
    void readPage(std::string afterKey, core::TimePoint now, FollowerActions &actions);
    void watch(core::TimePoint now, FollowerActions &actions);
    void pauseBeforeWatch(core::TimePoint now, FollowerActions &actions);
    void finishListing(core::TimePoint now, FollowerActions &actions);
    void backOff(core::TimePoint now, FollowerActions &actions);
    void recordContact(core::TimePoint now, FollowerActions &actions);
    void cancelCall(FollowerActions &actions);

    const FollowerSettings m_settings;
    core::RandomSequence m_random;
    Phase m_phase = Phase::Stopped;
    StoreCallNumber m_call;
    core::TimePoint m_phaseEnd;
    core::TimePoint m_watchStart;
    core::TimePoint m_pageStart;
    core::TimePoint m_lastContact;
    core::TimePoint m_earliestReturn;
    core::Duration m_retryDelay;
    /// Keys of the pages read so far.
    std::map<std::string, KeyValue> m_listing;
    /// Revision after which the next watch starts.
    std::uint64_t m_revision = 0;
    /// The first page of the listing in progress has arrived.
    bool m_hasFirstPage = false;
    bool m_isInContact = true;
    /// Newest known revision of each existing key, to discard older events.
    std::map<std::string, std::uint64_t> m_revisions;
};

} // namespace lycheelanding::decisions::distribution
