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

/// One key of the store as it was written.
struct KeyValue
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;

    bool operator==(const KeyValue &) const = default;
};

/// One page of the keys under a prefix. Pages are read one after the other and are no snapshot together.
struct KeyPage
{
    std::vector<KeyValue> keyValues;
    bool hasMore = false;
    /// The store's revision when the page was read.
    std::uint64_t atRevision = 0;
};

/// A key that no longer exists since `revision`.
struct RemovedKey
{
    std::string key;
    std::uint64_t revision = 0;
};

/// What a watch has seen, in the order of the revisions.
struct WatchEvents
{
    std::vector<std::variant<KeyValue, RemovedKey>> events;
    /// Where the next watch goes on.
    std::uint64_t atRevision = 0;
};

enum class StoreCallFailure : std::uint8_t {
    /// No answer, or one that says that nothing was done.
    Unavailable,
    /// The store has dropped the history that the watch asks for.
    HistoryGone,
};

/// Read the page that begins behind `afterKey`; answered by pageRead() or callFailed().
struct ReadPage
{
    StoreCallNumber call;
    std::string afterKey;
};
/// Wait for changes after a revision; answered by watchEnded() or callFailed().
struct WatchPrefix
{
    StoreCallNumber call;
    std::uint64_t afterRevision = 0;
};
/// Nobody waits for the call any more.
struct CancelCall
{
    StoreCallNumber call;
};
/// All keys under the prefix. Keys that were known before and are not among them are gone.
struct KeysListed
{
    std::vector<KeyValue> keyValues;
};
struct KeyWritten
{
    KeyValue keyValue;
};
struct KeyRemoved
{
    std::string key;
};
/// The store does not answer; what is known ages from now on.
struct ContactLost
{ };
/// The store answers again.
struct ContactRegained
{ };

using FollowerAction
    = std::variant<ReadPage, WatchPrefix, CancelCall, KeysListed, KeyWritten, KeyRemoved, ContactLost, ContactRegained>;
using FollowerActions = std::vector<FollowerAction>;

struct FollowerSettings
{
    /// A page that has not come after this long is asked for again; the store answers in milliseconds.
    core::Duration pageTimeout = std::chrono::milliseconds(1500);
    /// How long a watch waits at the store. A watch may miss a change without an error; the next one, or the read that
    /// a dropped history asks for, tells of it. A VM that was undisturbed for 3 s has to know the configuration, so a
    /// watch takes less.
    std::chrono::milliseconds watchDuration = std::chrono::milliseconds(2500);
    /// Time beyond that after which a watch counts as lost: its connection may have gone silent for good.
    core::Duration watchTimeoutMargin = std::chrono::milliseconds(1000);
    /// Bounds of the pause after a failed call; it doubles with each further one.
    core::Duration minRetryDelay = std::chrono::milliseconds(50);
    core::Duration maxRetryDelay = std::chrono::milliseconds(1000);
    std::uint64_t seed = 1;
};

/// Follows all keys under one prefix of the store: reads them page by page, then watches from the revision of the first
/// page. Of each key the newest revision counts, whatever the order in which pages and events tell of it.
class PrefixFollower
{
public:
    explicit PrefixFollower(const FollowerSettings &settings);

    FollowerActions start(core::TimePoint now);
    FollowerActions pageRead(StoreCallNumber call, KeyPage page, core::TimePoint now);
    FollowerActions watchEnded(StoreCallNumber call, const WatchEvents &events, core::TimePoint now);
    FollowerActions callFailed(StoreCallNumber call, StoreCallFailure failure, core::TimePoint now);
    /// The process has stood still for some time: everything is read again.
    FollowerActions resumed(core::TimePoint now);
    FollowerActions tick(core::TimePoint now);

private:
    enum class Phase : std::uint8_t {
        Stopped,
        BackingOff,
        Reading,
        Watching,
    };

    void startListing(core::TimePoint now, FollowerActions &actions);
    void readPage(std::string afterKey, core::TimePoint now, FollowerActions &actions);
    void watch(core::TimePoint now, FollowerActions &actions);
    void finishListing(core::TimePoint now, FollowerActions &actions);
    void backOff(core::TimePoint now, FollowerActions &actions);
    void recordContact(FollowerActions &actions);
    void cancelCall(FollowerActions &actions);

    const FollowerSettings m_settings;
    core::RandomSequence m_random;
    Phase m_phase = Phase::Stopped;
    StoreCallNumber m_call;
    core::TimePoint m_phaseEnd;
    core::Duration m_retryDelay;
    /// Entries of the pages read so far.
    std::map<std::string, KeyValue> m_listing;
    /// Revision from which the watch goes on.
    std::uint64_t m_revision = 0;
    /// The first page of the reading in progress has come.
    bool m_hasFirstPage = false;
    bool m_isInContact = true;
    /// Newest revision of each key that exists, to tell late news from new ones.
    std::map<std::string, std::uint64_t> m_revisions;
};

} // namespace lycheelanding::decisions::distribution
