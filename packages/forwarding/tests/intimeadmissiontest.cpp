#include "lycheelanding/forwarding/backendset.h"
#include "lycheelanding/forwarding/overload.h"

#include <gtest/gtest.h>

#include <string>

namespace lycheelanding::forwarding {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);
const core::ServiceId drafts("drafts");
constexpr StepTimes steps{4840us, 435us, 7.0};
constexpr std::size_t slots = 10;
constexpr int ranks = 4;

/// A rank group whose streams have events at the group's pass duration; all ranks report the same load.
struct GroupOfRanks
{
    GroupOfRanks()
    {
        ModelShape shape;
        shape.steps = steps;
        backends.setModels({{drafts, shape}});
        backends.setInTimeServices({drafts});
        decisions::membership::DirectoryChanges changes;
        for (int rank = 0; rank < ranks; ++rank) {
            RegisteredBackend backend;
            backend.id = BackendId("rank-" + std::to_string(rank));
            backend.service = drafts;
            backend.address = "127.0.0.1:" + std::to_string(9000 + rank);
            backend.slots = slots;
            changes.emplace_back(decisions::membership::BackendUsable{backend});
        }
        backends.apply(changes, now);
        report(2);
        stream = send().value_or(AttemptId());
        backends.recordFirstEvent(stream, 100, now);
    }

    void report(std::uint32_t running)
    {
        for (const auto &[id, backend] : backends.all()) {
            BackendLoad load;
            load.group = core::GroupId("group");
            load.running = running;
            load.measuredAt = now;
            backends.updateBackendLoad(id, load, now);
        }
    }

    std::optional<AttemptId> send()
    {
        BackendRequirements request;
        request.service = drafts;
        request.maxEventInterval = 120ms;
        lastAttempt = lastAttempt.next();
        return core::isOk(backends.selectBackend(request, lastAttempt, now)) ? std::optional(lastAttempt)
                                                                             : std::nullopt;
    }

    /// Passes that are `slowdown` times as long as the running requests need.
    void runPasses(double slowdown, std::uint32_t running, core::Duration duration)
    {
        const std::chrono::duration<double> pass
            = slowdown * steps.stepsPerPass * (steps.step + static_cast<double>(running) * steps.perRequest);
        const auto interval = std::chrono::duration_cast<core::Duration>(pass);
        for (const auto end = now + duration; now < end;) {
            now += interval;
            report(running);
            backends.recordNextEvent(stream, interval, now);
        }
    }

    core::TimePoint now = start;
    BackendSet backends{core::DataCentreId("a"), 1};
    AttemptId lastAttempt;
    AttemptId stream;
};

} // namespace

// Guards against streams that are all late at a shift of the demand for experts: engines were filled up while passes
// were short, and a rank with a low estimate always seemed to have a place.
TEST(InTimeAdmission, groupThatWasSlowAtTheLastShiftIsNotFilledUpBeforeTheNext)
{
    GroupOfRanks group;
    group.runPasses(2.1, 4, 500ms);
    group.runPasses(1.0, 4, 1s);
    EXPECT_TRUE(group.send());
    group.runPasses(1.0, 8, 1s);
    EXPECT_FALSE(group.send()) << "8 running requests per rank are late when passes double again";
}

TEST(InTimeAdmission, groupWithoutShiftsIsFilledUp)
{
    GroupOfRanks group;
    group.runPasses(1.0, 8, 2s);
    EXPECT_TRUE(group.send());
}

// Guards against refusals of most requests while hardly any stream can be in time, as with the even expert map of a new
// group.
TEST(InTimeAdmission, halfOfTheSlotsIsUsedHoweverSlowPassesAre)
{
    GroupOfRanks group;
    group.runPasses(3.5, 4, 500ms);
    EXPECT_TRUE(group.backends.hasInTimeLimit(drafts, 120ms, group.now));
    EXPECT_TRUE(group.send());
    group.runPasses(3.5, 6, 500ms);
    EXPECT_FALSE(group.send());
}

// Guards against refusals of all waiting requests while a group stalls or forms anew, which takes about a second.
TEST(InTimeAdmission, requestsAreNotRefusedEarlyWhileCapacityIsInterrupted)
{
    decisions::admission::QueueForecast forecast;
    auto now = start;
    const auto run = [&](int sentPerTick, core::Duration duration) {
        for (const auto end = now + duration; now < end; now += 100ms) {
            for (int request = 0; request < 4; ++request) {
                forecast.requestArrived(drafts, 0, now);
            }
            for (int request = 0; request < sentPerTick; ++request) {
                forecast.requestSent(drafts, now);
            }
        }
    };
    const auto isRefusedNow = [&] {
        WaitLimits limits;
        limits.lateSince = now - 1ms;
        limits.waitDeadline = now + 1s;
        return isOutOfReach({{drafts, 0}, limits, now + 8s, "7", 8, true}, forecast, now);
    };
    run(2, 5s);
    EXPECT_TRUE(isRefusedNow()) << "twice as many arrive as are sent";
    run(0, 2s);
    EXPECT_FALSE(isRefusedNow()) << "nothing is sent";
}

} // namespace lycheelanding::forwarding
