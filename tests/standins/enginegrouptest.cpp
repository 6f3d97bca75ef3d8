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
constexpr int ranksOfOne = 4;
constexpr int experts = 16;

/// Expert e of each layer on rank e + `shift`.
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
        startZero();
        startOther();
    }

    StandInProcess &zero() { return *m_zero; }
    StandInProcess &other() { return *m_other; }

    void startOther() { m_other = std::make_unique<StandInProcess>("standin-engine", settings(ranksOfOne)); }

    Json order(StandInProcess &engine, int number, Json fields) const
    {
        fields["fencing"] = {{"generation", 1}, {"incarnation", 7}, {"number", number}};
        return engine.post("/orders", fields).status;
    }

    /// Stages map version 2 on both; the step at which both are armed.
    std::uint64_t stageAndArm()
    {
        for (StandInProcess *engine : both()) {
            EXPECT_EQ(order(*engine, 1, {{"order", "stage"}, {"mapVersion", 2}, {"map", mapShiftedBy(3)}}), 200);
        }
        for (StandInProcess *engine : both()) {
            EXPECT_TRUE(waitUntil([engine] { return engine->get("/state").body.at("stagedMapVersion") == Json(2); }));
        }
        constexpr std::uint64_t stepsAhead = 400;
        const std::uint64_t step = currentStep(zero()) + stepsAhead;
        for (StandInProcess *engine : both()) {
            EXPECT_EQ(order(*engine, 2, {{"order", "arm"}, {"mapVersion", 2}, {"step", step}}), 200);
        }
        return step;
    }

    Json release(StandInProcess &engine, std::uint64_t step, const std::string &decision) const
    {
        return order(engine, 3, {{"order", "release"}, {"mapVersion", 2}, {"step", step}, {"decision", decision}});
    }

    std::vector<StandInProcess *> both() { return {m_zero.get(), m_other.get()}; }
    static std::uint64_t currentStep(const StandInProcess &engine)
    {
        return engine.get("/state").body.at("currentStep").get<std::uint64_t>();
    }
    Json steps() const { return m_zero->get("/steps").body; }
    bool reaches(std::uint64_t step) const
    {
        return waitUntil([this, step] { return steps().at("lastStep") >= step; });
    }

private:
    void startZero() { m_zero = std::make_unique<StandInProcess>("standin-engine", settings(0)); }

    Json settings(int firstRank) const
    {
        Json ranks = Json::array();
        for (int rank = firstRank; rank < firstRank + ranksOfOne; ++rank) {
            ranks.push_back(rank);
        }
        return {{"ranks", ranks},
                {"groupSize", groupSize},
                {"experts", experts},
                {"stepMs", 1},
                {"model", "m"},
                {"rankZero", firstRank == 0 ? "" : m_zero->address()},
                {"honoursFencing", m_honoursFencing}};
    }

    const bool m_honoursFencing;
    std::unique_ptr<StandInProcess> m_zero;
    std::unique_ptr<StandInProcess> m_other;
};

} // namespace

TEST(EngineGroup, switchesAllRanksAtTheReleasedStep)
{
    EngineGroup group(true);
    const auto step = group.stageAndArm();
    ASSERT_TRUE(group.reaches(step - 1));
    EXPECT_EQ(group.release(group.zero(), step, "switch"), 200);
    EXPECT_EQ(EngineGroup::currentStep(group.other()), step - 1);
    EXPECT_EQ(group.steps().at("lastStep"), step - 1);
    EXPECT_EQ(group.release(group.other(), step, "switch"), 200);
    ASSERT_TRUE(group.reaches(step + 5));
    EXPECT_EQ(group.steps().at("mixedSteps"), 0);
    EXPECT_EQ(group.steps().at("switches").back(), Json({{"step", step}, {"mapVersion", 2}}));
    EXPECT_EQ(group.order(group.other(), 2, {{"order", "withdraw"}}), 409);
}

TEST(EngineGroup, keepsTheOldMapWhenToldSo)
{
    EngineGroup group(true);
    const auto step = group.stageAndArm();
    for (StandInProcess *engine : group.both()) {
        EXPECT_EQ(group.release(*engine, step, "keep"), 200);
    }
    ASSERT_TRUE(group.reaches(step + 5));
    for (StandInProcess *engine : group.both()) {
        EXPECT_EQ(engine->get("/state").body.at("activeMapVersion"), 1);
    }
    EXPECT_EQ(group.steps().at("mixedSteps"), 0);
}

TEST(EngineGroup, lateOrderMixesMapsOnlyWithoutFencing)
{
    for (const bool honoursFencing : {false, true}) {
        EngineGroup group(honoursFencing);
        const auto step = group.stageAndArm();
        ASSERT_TRUE(group.reaches(step - 1));
        // A late order, numbered below the arming.
        EXPECT_EQ(group.order(group.other(), 1, {{"order", "withdraw"}}), honoursFencing ? 409 : 200);
        EXPECT_EQ(group.release(group.zero(), step, "switch"), 200);
        EXPECT_EQ(group.release(group.other(), step, "switch"), honoursFencing ? 200 : 422);
        ASSERT_TRUE(group.reaches(step + 5));
        EXPECT_EQ(group.steps().at("mixedSteps") > 0, !honoursFencing);
    }
}

TEST(EngineGroup, refusesToArmABegunStepOrAnUnloadedMap)
{
    EngineGroup group(true);
    ASSERT_TRUE(group.reaches(10));
    EXPECT_EQ(group.order(group.zero(), 1, {{"order", "arm"}, {"mapVersion", 2}, {"step", 1'000'000}}), 422);
    group.order(group.zero(), 2, {{"order", "stage"}, {"mapVersion", 2}, {"map", mapShiftedBy(1)}});
    ASSERT_TRUE(waitUntil([&] { return group.zero().get("/state").body.at("stagedMapVersion") == Json(2); }));
    EXPECT_EQ(group.order(group.zero(), 3, {{"order", "arm"}, {"mapVersion", 2}, {"step", 5}}), 422);
}

TEST(EngineGroup, waitsForAFrozenMember)
{
    EngineGroup group(true);
    ASSERT_TRUE(group.reaches(10));
    group.other().process().suspend();
    ASSERT_TRUE(waitUntil([&] { return group.steps().at("absentRanks") == Json({4, 5, 6, 7}); }));
    const auto stuckAt = group.steps().at("lastStep").get<std::uint64_t>();
    group.other().process().resume();
    EXPECT_TRUE(group.reaches(stuckAt + 10));
    EXPECT_EQ(group.steps().at("mixedSteps"), 0);
}

TEST(EngineGroup, replacedMemberStepsOnlyUnderANewGeneration)
{
    EngineGroup group(true);
    ASSERT_TRUE(group.reaches(10));
    group.startOther();
    ASSERT_TRUE(waitUntil([&] { return group.steps().at("absentRanks") == Json({4, 5, 6, 7}); }));
    EXPECT_EQ(group.other().get("/state").body.at("joining"), true);
    const auto stuckAt = group.steps().at("lastStep").get<std::uint64_t>();
    const Json generation{{"generation", 2}, {"mapVersion", 5}, {"map", mapShiftedBy(2)}};
    for (StandInProcess *engine : group.both()) {
        EXPECT_EQ(engine->post("/generation", generation).status, 200);
        EXPECT_EQ(engine->post("/generation", generation).status, 409);
    }
    EXPECT_TRUE(group.reaches(stuckAt + 10));
    EXPECT_EQ(group.steps().at("mixedSteps"), 0);
    EXPECT_EQ(group.steps().at("switches").back().at("mapVersion"), 5);
}

TEST(EngineGroup, callersGetTheirOwnWholeAnswers)
{
    EngineGroup group(true);
    for (StandInProcess *engine : group.both()) {
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
