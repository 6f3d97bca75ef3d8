#pragma once

#include "lycheelanding/decisions/idempotency/claimpartition.h"
#include "lycheelanding/decisions/idempotency/keptanswers.h"

#include <deque>
#include <map>
#include <set>

#include <gtest/gtest.h>
// Requires gtest.h to be included first.
#include <rapidcheck/gtest.h>

/// Simulation of entries, sides and a key-value service that records each run of an attempt.
namespace lycheelanding::decisions::idempotency {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t entryCount = 3;
constexpr std::size_t sideCount = 2;
constexpr std::size_t keyCount = 2;
constexpr auto firstWallTime = core::WallTime(std::chrono::hours(500000));

inline ClaimSettings claimSettings()
{
    ClaimSettings settings;
    settings.retention = seconds(900);
    settings.maxClockSkew = seconds(20);
    return settings;
}

inline KeptAnswersSettings sideSettings()
{
    KeptAnswersSettings settings;
    settings.admissionWindow = seconds(200);
    settings.maxClockSkew = seconds(20);
    return settings;
}

inline SideId sideIdOf(std::size_t side, std::uint64_t incarnation = 0)
{
    return {core::VmId("side-" + std::to_string(side)), core::Incarnation(incarnation)};
}

struct Attempt
{
    std::size_t key = 0;
    std::size_t entry = 0;
    SideId side;
    std::uint64_t entryIncarnation = 0;
    std::uint64_t arrival = 0;
    int grants = 0;
    bool isRefused = false;
    std::optional<Holder> holder;
};

struct SideMessage
{
    AttemptNonce nonce;
    SideId side;
    core::WallTime claimedAt;
};

/// Entries that compete for the claims of one partition, their store and the sides that run the granted attempts.
class ClaimSimulation
{
public:
    explicit ClaimSimulation(bool hasTimedKeys) : m_hasTimedKeys(hasTimedKeys)
    {
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            m_entries.emplace_back(claimSettings());
        }
        for (std::size_t side = 0; side < sideCount; ++side) {
            m_sides.emplace_back(sideSettings(), core::Incarnation(0));
        }
    }

    AttemptNonce send(std::size_t key, std::size_t entry)
    {
        const AttemptNonce nonce(m_attempts.size() + 1);
        const SideId side = currentSide(nonce.number() % sideCount);
        m_attempts[nonce] = {key, entry, side, m_entryIncarnations[entry], ++m_sequence, 0, false, std::nullopt};
        ClaimRequest request{KeyHash(key), nonce, 7, side, wallOf(entry), std::nullopt};
        if (m_hasTimedKeys) {
            request.keyCreatedAt = firstWallTime + seconds(5);
        }
        executeActions(entry, m_entries[entry].claim(request, m_now));
        return nonce;
    }

    /// Executes the entry's store call and holds back its response.
    void applyCall(std::size_t entry)
    {
        if (!m_calls[entry] || m_results[entry].isApplied) {
            return;
        }
        Result &result = m_results[entry];
        result = {true, m_stored, WriteConflict{}};
        const auto *write = std::get_if<WriteStore>(&*m_calls[entry]);
        if (write != nullptr && apply(*write)) {
            result.write = WriteDone{m_stored.revision};
        }
    }

    void answerCall(std::size_t entry, bool isApplied, bool isAnswered)
    {
        if (isApplied) {
            applyCall(entry);
        }
        const auto call = std::exchange(m_calls[entry], std::nullopt);
        const Result result = std::exchange(m_results[entry], Result{});
        if (!call) {
            return;
        }
        const auto *write = std::get_if<WriteStore>(&*call);
        if (write == nullptr) {
            executeActions(entry, m_entries[entry].storeRead(isAnswered ? result.read : StoreReadFailed{}, m_now));
            return;
        }
        if (!result.isApplied && !isAnswered) {
            m_delayedWrites.push_back(*write);
        }
        executeActions(entry, m_entries[entry].storeWritten(isAnswered ? result.write : WriteUnknown{}, m_now));
    }

    void applyDelayedWrite()
    {
        if (!m_delayedWrites.empty()) {
            apply(m_delayedWrites.front());
            m_delayedWrites.pop_front();
        }
    }

    void restartEntry(std::size_t entry)
    {
        const auto call = std::exchange(m_calls[entry], std::nullopt);
        const Result result = std::exchange(m_results[entry], Result{});
        if (call && !result.isApplied && std::holds_alternative<WriteStore>(*call)) {
            m_delayedWrites.push_back(std::get<WriteStore>(*call));
        }
        ++m_entryIncarnations[entry];
        m_entries[entry] = ClaimPartition(claimSettings());
    }

    void restartSide(std::size_t side)
    {
        ++m_sideIncarnations[side];
        m_sides[side] = KeptAnswers(sideSettings(), core::Incarnation(m_sideIncarnations[side]));
    }

    /// Delivers the oldest message to its side, which runs the attempt or refuses it before it reaches the backend
    /// server. A refused attempt is moved to the other side or released.
    void deliver(bool isRefused, bool isMoved)
    {
        if (m_messages.empty()) {
            return;
        }
        const SideMessage message = m_messages.front();
        m_messages.pop_front();
        Attempt &attempt = m_attempts.at(message.nonce);
        if (!isRefused) {
            const AttemptClaim claim{message.nonce, message.side.incarnation, message.claimedAt};
            const auto verdict = m_sides[indexOf(message.side)].admit(claim, wallNow());
            if (verdict == AdmissionVerdict::Admitted) {
                m_runs[attempt.key].push_back(wallNow());
                return;
            }
        }
        if (m_entryIncarnations[attempt.entry] != attempt.entryIncarnation) {
            return;
        }
        ClaimPartition &entry = m_entries[attempt.entry];
        attempt.side = currentSide((indexOf(message.side) + 1) % sideCount);
        m_claimTimes[message.nonce] = message.claimedAt;
        executeActions(attempt.entry,
                       isMoved ? entry.move(message.nonce, attempt.side, m_now) : entry.release(message.nonce, m_now));
    }

    /// The entry of a refused attempt requests that the holder's side forbid the holder's attempt, and then releases
    /// the key.
    bool takeOverKey(AttemptNonce refused)
    {
        Attempt &attempt = m_attempts.at(refused);
        if (!attempt.holder) {
            return false;
        }
        const Holder &holder = *attempt.holder;
        const AttemptClaim claim{holder.nonce, holder.side.incarnation, holder.claimedAt};
        if (m_sides[indexOf(holder.side)].forbid(claim, wallNow()) != AttemptState::Forbidden) {
            return false;
        }
        executeActions(attempt.entry, m_entries[attempt.entry].releaseForbidden(holder.nonce, holder.side, m_now));
        return true;
    }

    void cancel(AttemptNonce nonce)
    {
        Attempt &attempt = m_attempts.at(nonce);
        if (m_entryIncarnations[attempt.entry] == attempt.entryIncarnation && attempt.grants == 0
            && !attempt.isRefused) {
            attempt.isRefused = true;
            executeActions(attempt.entry, m_entries[attempt.entry].release(nonce, m_now));
        }
    }

    void advance(milliseconds step)
    {
        m_now += step;
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            executeActions(entry, m_entries[entry].tick(m_now));
        }
    }

    /// Runs without faults until all pending work is done.
    void runUntilIdle()
    {
        for (int round = 0; round < 60; ++round) {
            for (std::size_t entry = 0; entry < entryCount; ++entry) {
                answerCall(entry, true, true);
            }
            applyDelayedWrite();
            deliver(false, false);
            advance(milliseconds(100));
        }
    }

    bool isIdle() const
    {
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            if (m_calls[entry] || m_entries[entry].wakeAt()) {
                return false;
            }
        }
        return m_messages.empty();
    }

    /// True if the attempt was granted or its entry restarted: only then may its claim stay in the store.
    bool mayHoldKey(AttemptNonce nonce) const
    {
        const Attempt &attempt = m_attempts.at(nonce);
        return attempt.grants > 0 || m_entryIncarnations[attempt.entry] != attempt.entryIncarnation;
    }

    bool isSideLost(const Holder &holder) const { return currentSide(indexOf(holder.side)) != holder.side; }

    const Attempt &attemptOf(AttemptNonce nonce) const { return m_attempts.at(nonce); }
    std::size_t attemptCount() const { return m_attempts.size(); }
    std::size_t runsOf(std::size_t key) const { return m_runs[key].size(); }

    /// Minimum time between two runs of the key.
    core::Duration minGapOf(std::size_t key) const
    {
        core::Duration minGap = core::Duration::max();
        for (std::size_t run = 1; run < m_runs[key].size(); ++run) {
            minGap = std::min<core::Duration>(minGap, m_runs[key][run] - m_runs[key][run - 1]);
        }
        return minGap;
    }

    core::WallTime wallNow() const
    {
        return firstWallTime + std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch());
    }

private:
    static std::size_t indexOf(const SideId &side) { return side.vm == sideIdOf(0).vm ? 0 : 1; }
    SideId currentSide(std::size_t side) const { return sideIdOf(side, m_sideIncarnations[side]); }

    core::WallTime wallOf(std::size_t entry) const
    {
        constexpr seconds skews[entryCount] = {seconds(-10), seconds(0), seconds(10)};
        return wallNow() + skews[entry];
    }

    bool apply(const WriteStore &write)
    {
        if (write.expected != m_stored.revision) {
            return false;
        }
        const ClaimValue before = core::valueOf(ClaimValue::fromText(m_stored.text));
        const ClaimValue after = core::valueOf(ClaimValue::fromText(write.text));
        ++m_sequence;
        for (const auto &[nonce, attempt] : m_attempts) {
            if (after.claimForNonce(nonce) != nullptr) {
                // An entry that got no response may write a claim again that another entry has removed meanwhile.
                m_removedAt.erase(nonce);
            } else if (before.claimForNonce(nonce) != nullptr) {
                m_removedAt[nonce] = m_sequence;
            }
        }
        m_stored = {write.text, m_stored.revision.next()};
        return true;
    }

    void executeActions(std::size_t entry, const ClaimActions &actions)
    {
        for (const ClaimAction &action : actions) {
            if (std::holds_alternative<ReadStore>(action) || std::holds_alternative<WriteStore>(action)) {
                RC_ASSERT(!m_calls[entry]);
                m_calls[entry] = action;
            } else if (const auto *granted = std::get_if<Granted>(&action)) {
                Attempt &attempt = m_attempts.at(granted->nonce);
                RC_ASSERT(++attempt.grants == 1);
                RC_ASSERT(!attempt.isRefused);
                m_messages.push_back({granted->nonce, attempt.side, granted->claimedAt});
            } else if (const auto *moved = std::get_if<Moved>(&action)) {
                m_messages.push_back({moved->nonce, m_attempts.at(moved->nonce).side, m_claimTimes.at(moved->nonce)});
            } else if (const auto *refused = std::get_if<Refused>(&action)) {
                Attempt &attempt = m_attempts.at(refused->nonce);
                attempt.isRefused = true;
                attempt.holder = refused->holder;
                if (attempt.holder && m_removedAt.contains(attempt.holder->nonce)) {
                    RC_ASSERT(m_removedAt.at(attempt.holder->nonce) > attempt.arrival);
                }
            }
        }
    }

    struct Result
    {
        bool isApplied = false;
        StoreReadResult read = StoreReadFailed{};
        StoreWriteResult write = WriteFailed{};
    };

    bool m_hasTimedKeys;
    core::TimePoint m_now;
    std::vector<ClaimPartition> m_entries;
    std::vector<KeptAnswers> m_sides;
    std::uint64_t m_sideIncarnations[sideCount] = {};
    std::uint64_t m_entryIncarnations[entryCount] = {};
    std::optional<ClaimAction> m_calls[entryCount];
    Result m_results[entryCount];
    StoredValue m_stored;
    std::deque<WriteStore> m_delayedWrites;
    std::deque<SideMessage> m_messages;
    std::map<AttemptNonce, Attempt> m_attempts;
    std::map<AttemptNonce, core::WallTime> m_claimTimes;
    std::vector<core::WallTime> m_runs[keyCount];
    /// Logical clock that orders arrivals of attempts and removals of claims.
    std::uint64_t m_sequence = 0;
    std::map<AttemptNonce, std::uint64_t> m_removedAt;
};

} // namespace lycheelanding::decisions::idempotency
