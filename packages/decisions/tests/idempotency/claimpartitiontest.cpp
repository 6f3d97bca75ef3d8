#include "idempotency/claimsimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lycheelanding::decisions::idempotency {

namespace {

/// `kind` selects the case of applyEvent(); `parameter` is a random number that the case reduces to its range.
struct Event
{
    int kind;
    std::size_t entry;
    std::size_t parameter;
};

void showValue(const Event &event, std::ostream &out)
{
    out << "(" << event.kind << " " << event.entry << " " << event.parameter << ")";
}

rc::Gen<std::vector<Event>> anyEvents()
{
    const auto event = rc::gen::construct<Event>(rc::gen::inRange(0, 20), rc::gen::inRange<std::size_t>(0, entryCount),
                                                 rc::gen::inRange<std::size_t>(0, 1000));
    return rc::gen::scale(4, rc::gen::container<std::vector<Event>>(event));
}

/// Event lists for several simulations, so that each case of a property covers more than one.
rc::Gen<std::vector<std::vector<Event>>> manyEventLists()
{
    constexpr std::size_t simulationCount = 10;
    return rc::gen::container<std::vector<std::vector<Event>>>(simulationCount, anyEvents());
}

void applyEvent(ClaimSimulation &simulation, const Event &event, milliseconds maxStep)
{
    const auto chosenAttempt = [&] { return AttemptNonce(event.parameter % simulation.attemptCount() + 1); };
    switch (event.kind) {
    case 0:
    case 1:
    case 2:
        simulation.send(event.parameter % keyCount, event.entry);
        break;
    case 3:
        simulation.answerCall(event.entry, true, false);
        break;
    case 4:
        simulation.answerCall(event.entry, false, false);
        break;
    case 5:
        simulation.answerCall(event.entry, false, true);
        break;
    case 6:
        simulation.applyDelayedWrite();
        break;
    case 7:
        simulation.restartEntry(event.entry);
        break;
    case 8:
        simulation.restartSide(event.parameter % sideCount);
        break;
    case 9:
        simulation.advance(maxStep * event.parameter / 1000);
        break;
    case 10:
        simulation.deliver(true, event.parameter % 2 == 0);
        break;
    case 11:
        simulation.deliver(false, false);
        break;
    case 12:
    case 13:
        if (simulation.attemptCount() > 0) {
            event.kind == 12 ? void(simulation.takeOverKey(chosenAttempt())) : simulation.cancel(chosenAttempt());
        }
        break;
    case 14:
    case 15:
        simulation.applyCall(event.entry);
        break;
    default:
        simulation.advance(milliseconds(event.parameter / 10));
        simulation.answerCall(event.entry, true, true);
    }
}

} // namespace

RC_GTEST_PROP(ClaimPartitionTest, aKeyRunsAtMostOnceUnderFaults, ())
{
    for (const auto &events : *manyEventLists()) {
        ClaimSimulation simulation(false);
        for (const Event &event : events) {
            applyEvent(simulation, event, seconds(1));
            for (std::size_t key = 0; key < keyCount; ++key) {
                RC_ASSERT(simulation.runsOf(key) <= 1);
            }
        }
    }
}

RC_GTEST_PROP(ClaimPartitionTest, aKeyWithACreationTimeRunsAtMostOnceBeyondTheRetention, ())
{
    for (const auto &events : *manyEventLists()) {
        ClaimSimulation simulation(true);
        for (const Event &event : events) {
            applyEvent(simulation, event, seconds(1500));
            for (std::size_t key = 0; key < keyCount; ++key) {
                RC_ASSERT(simulation.runsOf(key) <= 1);
            }
        }
    }
}

RC_GTEST_PROP(ClaimPartitionTest, aKeyWithoutCreationTimeRunsAtMostOnceWithinTheRetention, ())
{
    const ClaimSettings claims = claimSettings();
    const auto window = sideSettings().admissionWindow + 2 * claims.maxClockSkew;
    for (const auto &events : *manyEventLists()) {
        ClaimSimulation simulation(false);
        for (const Event &event : events) {
            applyEvent(simulation, event, seconds(700));
            for (std::size_t key = 0; key < keyCount; ++key) {
                RC_ASSERT(simulation.minGapOf(key) >= claims.retention - window);
            }
        }
    }
}

RC_GTEST_PROP(ClaimPartitionTest, afterFaultsAKeyThatHasNotRunCanBeClaimed, ())
{
    for (const auto &events : *manyEventLists()) {
        ClaimSimulation simulation(false);
        for (const Event &event : events) {
            applyEvent(simulation, event, seconds(1));
        }
        simulation.runUntilIdle();
        RC_ASSERT(simulation.isIdle());
        for (std::size_t key = 0; key < keyCount; ++key) {
            if (simulation.runsOf(key) > 0) {
                continue;
            }
            AttemptNonce nonce = simulation.send(key, 0);
            simulation.runUntilIdle();
            const auto holder = simulation.attemptOf(nonce).holder;
            RC_ASSERT((!holder || simulation.mayHoldKey(holder->nonce)));
            if (holder && !simulation.isSideLost(*holder)) {
                RC_ASSERT(simulation.takeOverKey(nonce));
                nonce = simulation.send(key, 0);
                simulation.runUntilIdle();
            }
            RC_ASSERT((simulation.runsOf(key) == 1 || (holder && simulation.isSideLost(*holder))));
        }
    }
}

RC_GTEST_PROP(ClaimPartitionTest, withNoFaultExactlyOneAttemptOfAKeyRuns, ())
{
    ClaimSimulation simulation(false);
    const auto sends = *rc::gen::container<std::vector<Event>>(
        rc::gen::construct<Event>(rc::gen::inRange(0, 2), rc::gen::inRange<std::size_t>(0, entryCount),
                                  rc::gen::inRange<std::size_t>(0, keyCount)));
    std::set<std::size_t> keys;
    for (const Event &event : sends) {
        simulation.send(event.parameter, event.entry);
        keys.insert(event.parameter);
        if (event.kind == 1) {
            simulation.answerCall(event.entry, true, true);
        }
    }
    simulation.runUntilIdle();
    for (const std::size_t key : keys) {
        RC_ASSERT(simulation.runsOf(key) == 1);
    }
    for (std::uint64_t number = 1; number <= simulation.attemptCount(); ++number) {
        const Attempt &attempt = simulation.attemptOf(AttemptNonce(number));
        RC_ASSERT((attempt.grants == 1 || attempt.holder.has_value()));
    }
}

TEST(ClaimPartitionTest, refusesAtOnceWhileTheStoreIsDown)
{
    ClaimPartition partition(claimSettings());
    const ClaimRequest request{KeyHash(1), AttemptNonce(1), 0, sideIdOf(0), firstWallTime, std::nullopt};
    partition.claim(request, core::TimePoint());
    partition.storeRead(StoreReadFailed{}, core::TimePoint());
    const auto actions = partition.claim(request, core::TimePoint(milliseconds(400)));
    ASSERT_EQ(actions.size(), 1U);
    const auto &error = std::get<Refused>(actions.front()).error;
    EXPECT_EQ(error.kind, core::ErrorKind::StoreUnavailable);
    EXPECT_EQ(error.retryAfter, milliseconds(600));
}

TEST(ClaimPartitionTest, keepsAClaimThatMovedAfterItWasForbidden)
{
    ClaimValue value;
    value.add({KeyHash(1), AttemptNonce(1), 0, sideIdOf(1)}, firstWallTime);
    ClaimPartition partition(claimSettings());
    const ClaimRequest request{KeyHash(2), AttemptNonce(2), 0, sideIdOf(0), firstWallTime, std::nullopt};
    partition.claim(request, core::TimePoint());
    partition.storeRead(StoredValue{value.toText(), StoreRevision(1)}, core::TimePoint());
    partition.storeWritten(WriteDone{StoreRevision(2)}, core::TimePoint());
    const auto actions = partition.releaseForbidden(AttemptNonce(1), sideIdOf(0), core::TimePoint(seconds(1)));
    ASSERT_EQ(actions.size(), 1U);
    const auto written = ClaimValue::fromText(std::get<WriteStore>(actions.front()).text);
    EXPECT_NE(core::valueOf(written).claimForNonce(AttemptNonce(1)), nullptr);
}

TEST(ClaimPartitionTest, refusesKeysCreatedTooLongAgoOrInTheFuture)
{
    ClaimPartition partition(claimSettings());
    ClaimRequest request{KeyHash(1), AttemptNonce(1), 0, sideIdOf(0), firstWallTime, firstWallTime - seconds(900)};
    EXPECT_EQ(std::get<Refused>(partition.claim(request, core::TimePoint()).front()).error.kind,
              core::ErrorKind::IdempotencyKeyExpired);
    request.keyCreatedAt = firstWallTime + seconds(21);
    EXPECT_EQ(std::get<Refused>(partition.claim(request, core::TimePoint()).front()).error.kind,
              core::ErrorKind::MalformedRequest);
}

} // namespace lycheelanding::decisions::idempotency
