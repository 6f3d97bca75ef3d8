#include "support/standinprocess.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace lycheelanding::tests {

namespace {

using support::Json;
using support::StandInProcess;
using support::waitUntil;

constexpr int groupSize = 8;
constexpr int ranksPerEngine = 4;
constexpr int experts = 16;

/// An expert map of two layers with expert e on rank e + `shift`, modulo the size of the group.
Json mapShiftedBy(int shift)
{
    Json layer = Json::array();
    for (int expert = 0; expert < experts; ++expert) {
        layer.push_back(Json::array({(expert + shift) % groupSize}));
    }
    return {{"layers", Json::array({layer, layer})}};
}

/// Two engines with four ranks each.
class EngineGroup
{
public:
    explicit EngineGroup(bool honoursFencing) : m_honoursFencing(honoursFencing)
    {
        startRankZeroEngine();
        startOtherEngine();
    }

    StandInProcess &rankZeroEngine() { return *m_rankZeroEngine; }
    StandInProcess &otherEngine() { return *m_otherEngine; }

    void startOtherEngine()
    {
        m_otherEngine = std::make_unique<StandInProcess>("standin-engine", settings(ranksPerEngine));
    }

    Json sendCommand(StandInProcess &engine, int number, Json fields) const
    {
        fields["fencing"] = {{"generation", 1}, {"incarnation", 7}, {"number", number}};
        return engine.post("/orders", fields).status;
    }

    /// Stages map version 2 at both engines and arms both for a later step, which it returns.
    std::uint64_t stageAndArm()
    {
        for (StandInProcess *engine : engines()) {
            EXPECT_EQ(sendCommand(*engine, 1, {{"order", "stage"}, {"mapVersion", 2}, {"map", mapShiftedBy(3)}}), 200);
        }
        for (StandInProcess *engine : engines()) {
            EXPECT_TRUE(waitUntil([engine] { return engine->get("/state").body.at("stagedMapVersion") == Json(2); }));
        }
        constexpr std::uint64_t stepsAhead = 400;
        const std::uint64_t step = currentStep(rankZeroEngine()) + stepsAhead;
        for (StandInProcess *engine : engines()) {
            EXPECT_EQ(sendCommand(*engine, 2, {{"order", "arm"}, {"mapVersion", 2}, {"step", step}}), 200);
        }
        return step;
    }

    Json release(StandInProcess &engine, std::uint64_t step, const std::string &decision) const
    {
        return sendCommand(engine, 3,
                           {{"order", "release"}, {"mapVersion", 2}, {"step", step}, {"decision", decision}});
    }

    std::vector<StandInProcess *> engines() { return {m_rankZeroEngine.get(), m_otherEngine.get()}; }
    static std::uint64_t currentStep(const StandInProcess &engine)
    {
        return engine.get("/state").body.at("currentStep").get<std::uint64_t>();
    }
    Json steps() const { return m_rankZeroEngine->get("/steps").body; }
    bool reachesStep(std::uint64_t step) const
    {
        return waitUntil([this, step] { return steps().at("lastStep") >= step; });
    }

private:
    void startRankZeroEngine() { m_rankZeroEngine = std::make_unique<StandInProcess>("standin-engine", settings(0)); }

    Json settings(int firstRank) const
    {
        Json ranks = Json::array();
        for (int rank = firstRank; rank < firstRank + ranksPerEngine; ++rank) {
            ranks.push_back(rank);
        }
        return {{"ranks", ranks},
                {"groupSize", groupSize},
                {"experts", experts},
                {"stepMs", 1},
                {"model", "m"},
                {"rankZero", firstRank == 0 ? "" : m_rankZeroEngine->address()},
                {"honoursFencing", m_honoursFencing}};
    }

    const bool m_honoursFencing;
    std::unique_ptr<StandInProcess> m_rankZeroEngine;
    std::unique_ptr<StandInProcess> m_otherEngine;
};

} // namespace

TEST(EngineGroup, switchesAllRanksAtTheReleasedStep)
{
    EngineGroup group(true);
    const auto step = group.stageAndArm();
    ASSERT_TRUE(group.reachesStep(step - 1));
    EXPECT_EQ(group.release(group.rankZeroEngine(), step, "switch"), 200);
    EXPECT_EQ(EngineGroup::currentStep(group.otherEngine()), step - 1);
    EXPECT_EQ(group.steps().at("lastStep"), step - 1);
    EXPECT_EQ(group.release(group.otherEngine(), step, "switch"), 200);
    ASSERT_TRUE(group.reachesStep(step + 5));
    EXPECT_EQ(group.steps().at("mixedSteps"), 0);
    EXPECT_EQ(group.steps().at("switches").back(), Json({{"step", step}, {"mapVersion", 2}}));
    EXPECT_EQ(group.sendCommand(group.otherEngine(), 2, {{"order", "withdraw"}}), 409);
}

TEST(EngineGroup, keepsTheOldMapOnAKeepDecision)
{
    EngineGroup group(true);
    const auto step = group.stageAndArm();
    for (StandInProcess *engine : group.engines()) {
        EXPECT_EQ(group.release(*engine, step, "keep"), 200);
    }
    ASSERT_TRUE(group.reachesStep(step + 5));
    for (StandInProcess *engine : group.engines()) {
        EXPECT_EQ(engine->get("/state").body.at("activeMapVersion"), 1);
    }
    EXPECT_EQ(group.steps().at("mixedSteps"), 0);
}

TEST(EngineGroup, lateCommandMixesMapsOnlyWithoutFencing)
{
    for (const bool honoursFencing : {false, true}) {
        EngineGroup group(honoursFencing);
        const auto step = group.stageAndArm();
        ASSERT_TRUE(group.reachesStep(step - 1));
        // A late command: its fencing token is lower than that of the arm command.
        EXPECT_EQ(group.sendCommand(group.otherEngine(), 1, {{"order", "withdraw"}}), honoursFencing ? 409 : 200);
        EXPECT_EQ(group.release(group.rankZeroEngine(), step, "switch"), 200);
        EXPECT_EQ(group.release(group.otherEngine(), step, "switch"), honoursFencing ? 200 : 422);
        ASSERT_TRUE(group.reachesStep(step + 5));
        EXPECT_EQ(group.steps().at("mixedSteps") > 0, !honoursFencing);
    }
}

TEST(EngineGroup, refusesToArmAStartedStepOrAnUnstagedMap)
{
    EngineGroup group(true);
    ASSERT_TRUE(group.reachesStep(10));
    EXPECT_EQ(group.sendCommand(group.rankZeroEngine(), 1, {{"order", "arm"}, {"mapVersion", 2}, {"step", 1'000'000}}),
              422);
    group.sendCommand(group.rankZeroEngine(), 2, {{"order", "stage"}, {"mapVersion", 2}, {"map", mapShiftedBy(1)}});
    ASSERT_TRUE(waitUntil([&] { return group.rankZeroEngine().get("/state").body.at("stagedMapVersion") == Json(2); }));
    EXPECT_EQ(group.sendCommand(group.rankZeroEngine(), 3, {{"order", "arm"}, {"mapVersion", 2}, {"step", 5}}), 422);
}

TEST(EngineGroup, waitsForASuspendedMember)
{
    EngineGroup group(true);
    ASSERT_TRUE(group.reachesStep(10));
    group.otherEngine().process().suspend();
    ASSERT_TRUE(waitUntil([&] { return group.steps().at("absentRanks") == Json({4, 5, 6, 7}); }));
    const auto lastStep = group.steps().at("lastStep").get<std::uint64_t>();
    group.otherEngine().process().resume();
    EXPECT_TRUE(group.reachesStep(lastStep + 10));
    EXPECT_EQ(group.steps().at("mixedSteps"), 0);
}

TEST(EngineGroup, replacedMemberStepsOnlyUnderANewGeneration)
{
    EngineGroup group(true);
    ASSERT_TRUE(group.reachesStep(10));
    group.startOtherEngine();
    ASSERT_TRUE(waitUntil([&] { return group.steps().at("absentRanks") == Json({4, 5, 6, 7}); }));
    EXPECT_EQ(group.otherEngine().get("/state").body.at("joining"), true);
    const auto lastStep = group.steps().at("lastStep").get<std::uint64_t>();
    const Json generation{{"generation", 2}, {"mapVersion", 5}, {"map", mapShiftedBy(2)}};
    for (StandInProcess *engine : group.engines()) {
        EXPECT_EQ(engine->post("/generation", generation).status, 200);
        EXPECT_EQ(engine->post("/generation", generation).status, 409);
    }
    EXPECT_TRUE(group.reachesStep(lastStep + 10));
    EXPECT_EQ(group.steps().at("mixedSteps"), 0);
    EXPECT_EQ(group.steps().at("switches").back().at("mapVersion"), 5);
}

TEST(EngineGroup, callersGetTheirOwnCompleteAnswers)
{
    EngineGroup group(true);
    for (StandInProcess *engine : group.engines()) {
        const auto answer = engine->post("/v1/chat/completions",
                                         {{"model", "m"},
                                          {"messages", Json::array({{{"role", "user"}, {"content", "chrome bath"}}})},
                                          {"max_tokens", 3}});
        EXPECT_EQ(answer.body.at("choices").at(0).at("message").at("content"), "chrome t0 t1 t2");
        const Json misplaced{{"model", "m"}, {"messages", Json::array()}, {"rank", groupSize}};
        EXPECT_EQ(engine->post("/v1/chat/completions", misplaced).status, 400);
        EXPECT_EQ(engine->get("/journal").body.at("requests").size(), 1U);
    }
}

} // namespace lycheelanding::tests
