#include "lycheelanding/forwarding/backendset.h"

#include <gtest/gtest.h>

namespace lycheelanding::forwarding {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);
constexpr std::size_t entries = 6;
constexpr std::size_t slots = 10;
const core::ServiceId drafts("drafts");
const BackendId engine("engine-1");

BackendLoad loadOf(std::uint32_t running, core::TimePoint measuredAt)
{
    return {core::GroupId("group-1"), true, 0, running, measuredAt};
}

/// One of several entries that send to the same engine.
struct EntryOfSeveral
{
    explicit EntryOfSeveral(std::size_t statedSlots = slots)
    {
        RegisteredBackend backend;
        backend.id = engine;
        backend.service = drafts;
        backend.address = "10.0.0.1:8000";
        backend.slots = statedSlots;
        backends.apply({decisions::membership::BackendUsable{backend}}, start);
        backends.setPosition({entries, 0}, start);
    }

    bool send(std::uint64_t attempt, core::TimePoint now)
    {
        BackendRequirements request;
        request.service = drafts;
        request.maxEventInterval = 120ms;
        return core::isOk(backends.selectBackend(request, AttemptId(attempt), now));
    }

    BackendSet backends{core::DataCentreId("a"), 7};
};

} // namespace

// A stall of two seconds was followed by twelve seconds in which each stream was late: an entry
// that saw one of its requests end assumed that each other entry's had ended too, and refilled the full engine.
TEST(BackendCapacity, endOfOneRequestDoesNotMakeAFullEngineAcceptAnother)
{
    EntryOfSeveral entry;
    entry.backends.updateBackendLoad(engine, loadOf(5, start), start);
    ASSERT_TRUE(entry.send(1, start + 1ms));
    entry.backends.updateBackendLoad(engine, loadOf(12, start + 100ms), start + 100ms);
    ASSERT_FALSE(entry.send(2, start + 110ms));
    entry.backends.recordAttemptEnd(AttemptId(1), Outcome::Answered, start + 120ms);
    EXPECT_FALSE(entry.send(3, start + 130ms)) << "eleven requests are left for ten slots";
}

TEST(BackendCapacity, engineWithAFreeSlotAcceptsARequestAsSoonAsOneHasEnded)
{
    EntryOfSeveral entry;
    entry.backends.setPosition({1, 0}, start);
    entry.backends.updateBackendLoad(engine, loadOf(5, start), start);
    ASSERT_TRUE(entry.send(1, start + 1ms));
    entry.backends.updateBackendLoad(engine, loadOf(8, start + 100ms), start + 100ms);
    ASSERT_FALSE(entry.send(2, start + 110ms));
    entry.backends.recordAttemptEnd(AttemptId(1), Outcome::Answered, start + 120ms);
    EXPECT_TRUE(entry.send(3, start + 121ms));
}

// Plain backend servers had a fixed share of the slots, whatever their answers said.
TEST(BackendCapacity, refusalLimitsAPlainBackendServerOnlyWithAdaptiveCapacity)
{
    for (const bool isAdaptive : {false, true}) {
        EntryOfSeveral entry;
        if (isAdaptive) {
            entry.backends.enableAdaptiveCapacity();
        }
        ASSERT_TRUE(entry.send(1, start));
        entry.backends.recordWritten(AttemptId(1), start);
        entry.backends.recordAttemptEnd(AttemptId(1), Outcome::Refused, start + 5ms);
        EXPECT_TRUE(entry.send(2, start + 200ms));
        EXPECT_EQ(entry.send(3, start + 201ms), !isAdaptive) << "two places, or one after the refusal";
    }
}

TEST(BackendCapacity, responseTimesAreRecordedOnlyForPlainServicesWithAdaptiveCapacity)
{
    for (const bool isPlain : {false, true}) {
        EntryOfSeveral entry;
        entry.backends.enableAdaptiveCapacity();
        if (!isPlain) {
            entry.backends.setModels({{drafts, ModelShape()}});
        }
        ASSERT_TRUE(entry.send(1, start + 2s));
        entry.backends.recordWritten(AttemptId(1), start + 2s);
        entry.backends.recordAnswerHead(AttemptId(1), start + 3s);
        entry.backends.recordAttemptEnd(AttemptId(1), Outcome::Answered, start + 3s);
        EXPECT_EQ(entry.backends.capacity().acceptedSamples(), isPlain ? 1U : 0U);
    }
}

// Guards against groups whose sides are silent getting one request at a time: the entry's own requests, multiplied by
// the number of entries, counted as the load of the group.
TEST(BackendCapacity, silentSidesLimitOwnRequestsOnlyWhereRequestsInTimeAreAdmitted)
{
    for (const bool admitsInTimeOnly : {false, true}) {
        EntryOfSeveral entry;
        entry.backends.setInTimeServices(admitsInTimeOnly ? std::set{drafts} : std::set<core::ServiceId>());
        entry.backends.setPosition({22, 0}, start);
        entry.backends.updateBackendLoad(engine, loadOf(3, start), start);
        EXPECT_TRUE(entry.send(1, start + 1500ms));
        EXPECT_TRUE(entry.send(2, start + 1500ms));
        EXPECT_FALSE(entry.send(3, start + 1500ms));
    }
}

// Guards against a rank without a stated number of slots getting no stream: the limit of its group was zero.
TEST(BackendCapacity, rankWithoutStatedSlotsGetsStreamsWhereRequestsInTimeAreAdmitted)
{
    EntryOfSeveral entry(0);
    entry.backends.setInTimeServices({drafts});
    entry.backends.updateBackendLoad(engine, loadOf(3, start), start);
    EXPECT_TRUE(entry.send(1, start + 1ms));
}

} // namespace lycheelanding::forwarding
