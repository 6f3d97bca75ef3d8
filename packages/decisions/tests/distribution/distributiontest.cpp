#include "distribution/distributionsimulation.h"
#include "lycheelanding/configuration/configurationrecord.h"
#include "lycheelanding/decisions/distribution/watcherelection.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace lycheelanding::decisions::distribution {

namespace {

/// Rounds of 100 ms after the last fault until all processes hold the highest version and all patches are answered.
constexpr int maxSettleRounds = 100;

rc::Gen<SimulationEvent> anyEvent()
{
    using Kind = SimulationEvent::Kind;
    const auto kind = rc::gen::weightedElement<Kind>({
        {4, Kind::SubmitNew},
        {2, Kind::SubmitAgain},
        {12, Kind::StoreAnswers},
        {3, Kind::StoreLosesAnswer},
        {1, Kind::StoreLosesCall},
        {1, Kind::StoreRefuses},
        {1, Kind::StoreChanges},
        {4, Kind::Gossip},
        {6, Kind::Deliver},
        {1, Kind::DeliverTwice},
        {1, Kind::Drop},
        {1, Kind::Restart},
        {8, Kind::Advance},
    });
    const auto number = rc::gen::inRange<std::uint32_t>(0, 1U << 16U);
    return rc::gen::construct<SimulationEvent>(kind, number, number);
}

ConfigurationBody body(std::uint64_t version)
{
    return {core::ConfigurationVersion(version), "document " + std::to_string(version)};
}

template <typename Action, typename Actions>
std::size_t countOf(const Actions &actions)
{
    return std::size_t(std::count_if(actions.begin(), actions.end(),
                                     [](const auto &action) { return std::holds_alternative<Action>(action); }));
}

} // namespace

void showValue(const SimulationEvent &event, std::ostream &stream)
{
    stream << "{" << int(event.kind) << ", " << event.node << ", " << event.pick << "}";
}

RC_GTEST_PROP(DistributionFuzz, acceptedVersionsFormOneChainThatEveryProcessFollows, ())
{
    const auto nodeCount = *rc::gen::inRange<std::size_t>(2, 6);
    const auto events = *rc::gen::scale(16, rc::gen::container<std::vector<SimulationEvent>>(anyEvent()));
    DistributionSimulation simulation(nodeCount);
    for (const auto &event : events) {
        simulation.apply(event);
    }
    const auto rounds = simulation.settle(maxSettleRounds);
    // Accepting a patch takes several events; runs with few accepted versions test little.
    RC_TAG(std::string(simulation.chain().size() > 3 ? "versions > 3" : "versions <= 3"));
    for (const auto &violation : simulation.violations()) {
        RC_LOG() << violation << "\n";
    }
    RC_ASSERT(simulation.violations().empty());
    RC_ASSERT(rounds < maxSettleRounds);
}

TEST(PatchAcceptanceTest, writeThatTakesEffectAfterTheReadIsFoundByTheNextRead)
{
    PatchAcceptance<FakeEditor> acceptance(FakeEditor(), {});
    core::ManualClock clock;
    auto actions = acceptance.patchSubmitted(SubmissionNumber(1), {"a", {}}, clock.now());
    const auto read = [&](const char *text, std::uint64_t revision) {
        const auto state = revision > 0 ? StoreReadState::Found : StoreReadState::Missing;
        actions = acceptance.storeRead(std::get<ReadStore>(actions.back()).call, {state, text, revision}, clock.now(),
                                       clock.wallNow());
    };
    read("", 0);
    acceptance.storeWritten(std::get<WriteStore>(actions.back()).call, StoreWriteOutcome::Unknown, clock.now());
    clock.advance(std::chrono::milliseconds(200));
    actions = acceptance.tick(clock.now());
    read("", 0);
    actions
        = acceptance.storeWritten(std::get<WriteStore>(actions.back()).call, StoreWriteOutcome::Conflict, clock.now());
    read("a ", 1);
    const auto &answer = std::get<AnswerPatch>(actions.back()).answer;
    EXPECT_EQ(answer.outcome, PatchOutcome::Accepted);
    EXPECT_EQ(answer.version, core::ConfigurationVersion(1));
}

TEST(PatchAcceptanceTest, configurationRecordEditorSatisfiesRecordEditor)
{
    using configuration::ConfigurationRecordEditor;
    PatchAcceptance<ConfigurationRecordEditor> acceptance(ConfigurationRecordEditor(), {});
    core::ManualClock clock;
    const std::string text = R"([{"op":"add","path":"/organisations/-","value":{"id":"o"}}])";
    acceptance.patchSubmitted(SubmissionNumber(1), {core::PatchId("a"), {}, text, ""}, clock.now());
    auto actions
        = acceptance.storeRead(StoreCallNumber(1), {StoreReadState::Missing, "", 0}, clock.now(), clock.wallNow());
    const auto written = std::get<WriteStore>(actions.at(0));
    actions = acceptance.storeWritten(written.call, StoreWriteOutcome::Written, clock.now());
    EXPECT_EQ(std::get<AnswerPatch>(actions.at(1)).answer.version, core::ConfigurationVersion(1));

    const std::string invalid = R"([{"op":"add","path":"/organisations/0/weight","value":-1}])";
    actions = acceptance.patchSubmitted(SubmissionNumber(2),
                                        {core::PatchId("b"), core::ConfigurationVersion(1), invalid, ""}, clock.now());
    actions = acceptance.storeRead(std::get<ReadStore>(actions.at(0)).call, {StoreReadState::Found, written.text, 1},
                                   clock.now(), clock.wallNow());
    const auto &answer = std::get<AnswerPatch>(actions.back()).answer;
    EXPECT_EQ(answer.outcome, PatchOutcome::Invalid);
    EXPECT_TRUE(answer.error.detail.starts_with("/organisations/0/weight: ")) << answer.error.detail;
}

TEST(PatchAcceptanceTest, patchIsUndecidedOnlyAfterAPossibleWrite)
{
    for (const bool isWriteReached : {false, true}) {
        PatchAcceptance<FakeEditor> acceptance(FakeEditor(), {});
        core::ManualClock clock;
        auto actions = acceptance.patchSubmitted(SubmissionNumber(1), {"a", {}}, clock.now());
        if (isWriteReached) {
            acceptance.storeRead(std::get<ReadStore>(actions[0]).call, {StoreReadState::Missing, "", 0}, clock.now(),
                                 clock.wallNow());
        }
        while (acceptance.hasWork()) {
            clock.advance(std::chrono::milliseconds(100));
            actions = acceptance.tick(clock.now());
        }
        EXPECT_EQ(std::get<AnswerPatch>(actions.back()).answer.outcome,
                  isWriteReached ? PatchOutcome::Undecided : PatchOutcome::Unavailable);
    }
}

TEST(ConfigurationInstallerTest, newProcessInstallsTheHighestVersionOfItsPeersWhenTheStoreIsDown)
{
    core::ManualClock clock;
    ConfigurationInstaller installer({});
    const std::vector<core::VmId> peers{core::VmId("a"), core::VmId("b"), core::VmId("c")};
    const auto actions = installer.start(peers, clock.now());
    EXPECT_EQ(countOf<FetchFromPeer>(actions), 3U);
    EXPECT_EQ(countOf<QueryStore>(actions), 1U);
    installer.storeAnswered(StoreReadState::Unavailable, {}, clock.now());
    installer.bodyReceived(peers[0], body(3), clock.now());
    installer.bodyReceived(peers[1], body(5), clock.now());
    EXPECT_FALSE(installer.isReady());
    installer.bodyReceived(peers[2], body(4), clock.now());
    EXPECT_TRUE(installer.isReady());
    EXPECT_EQ(installer.version(), core::ConfigurationVersion(5));
}

TEST(ConfigurationInstallerTest, processWithoutContactBecomesStaleAndRecovers)
{
    core::ManualClock clock;
    ConfigurationInstaller installer({});
    installer.start({}, clock.now());
    installer.storeAnswered(StoreReadState::Found, body(1), clock.now());
    std::size_t queries = 0;
    for (int tick = 0; tick < 600; ++tick) {
        clock.advance(std::chrono::milliseconds(100));
        queries += countOf<QueryStore>(installer.tick(clock.now()));
        EXPECT_EQ(installer.isStale(clock.now()), tick >= 100) << tick;
    }
    EXPECT_GE(queries, 10U);
    EXPECT_LE(queries, 40U);
    installer.storeAnswered(StoreReadState::Found, body(2), clock.now());
    EXPECT_FALSE(installer.isStale(clock.now()));
    installer.peerVersionSeen(core::VmId("a"), core::ConfigurationVersion(9), clock.now());
    clock.advance(std::chrono::seconds(11));
    installer.peerVersionSeen(core::VmId("a"), core::ConfigurationVersion(9), clock.now());
    EXPECT_TRUE(installer.isStale(clock.now()));
}

TEST(ConfigurationInstallerTest, bodiesPerWindowAreBounded)
{
    core::ManualClock clock;
    ConfigurationInstallerSettings settings;
    ConfigurationInstaller installer(settings);
    installer.versionLearned(body(1), clock.now());
    std::size_t sent = 0;
    for (int peer = 0; peer < 100; ++peer) {
        sent += installer.fetchRequested(core::VmId(std::to_string(peer)), {}, clock.now()).size();
    }
    EXPECT_EQ(sent, settings.maxBodiesPerWindow);
    clock.advance(settings.bodyWindow);
    EXPECT_EQ(installer.fetchRequested(core::VmId("0"), {}, clock.now()).size(), 1U);
}

TEST(WatcherElectionTest, allMembersElectTheSameWatchers)
{
    std::vector<core::VmId> members(40);
    for (std::size_t index = 0; index < members.size(); ++index) {
        members[index] = core::VmId("vm" + std::to_string(index));
    }
    const auto watchers = std::count_if(members.begin(), members.end(),
                                        [&](const core::VmId &self) { return isWatcher(self, members); });
    EXPECT_EQ(std::size_t(watchers), watchersPerDataCentre);
    EXPECT_TRUE(isWatcher(members[0], {}));
}

} // namespace lycheelanding::decisions::distribution
