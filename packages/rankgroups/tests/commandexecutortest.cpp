#include "lycheelanding/rankgroups/commandexecutor.h"

#include <gtest/gtest.h>

namespace lycheelanding::rankgroups {

namespace {

using namespace decisions::mapswitch;

constexpr core::Generation generation(3);
constexpr core::MapVersion map(9);
constexpr core::StepNumber step(40);

/// An engine that acknowledges each command; the report shows what the test sets.
struct FakeEngine
{
    EngineInterface interface()
    {
        EngineInterface result;
        result.readReport = [this](const auto &, auto onDone) { onDone(report); };
        result.command = [this](const auto &, const auto &, auto onDone) { onDone(answer); };
        return result;
    }

    CommandAnswer answer = CommandAnswer::Done;
    std::optional<RankReport> report;
};

RankReport reportWith(const RankState &state)
{
    RankReport report;
    report.state = state;
    return report;
}

RankState idleState()
{
    return {generation, core::StepNumber(38), core::MapVersion(8), map};
}

CommandAnswer executed(FakeEngine &fake, CommandKind kind)
{
    const auto engine = fake.interface();
    forwarding::EventLog log(-1, "side");
    CommandExecutor executor(engine, {}, "10.1.0.1", log);
    std::optional<CommandAnswer> result;
    executor.execute({{kind, generation, map, step}, FencingToken(7), nullptr},
                     [&result](CommandAnswer answer) { result = answer; });
    return result.value_or(CommandAnswer::Fenced);
}

} // namespace

// The answer to one command, sent once more by a faulty engine, was taken as the answer to the next one: the leader
// could decide a switch while a rank neither held nor was armed, and ranks would begin a step with different maps.
TEST(CommandExecutorTest, acknowledgedHoldOrArmThatTheReportDoesNotShowIsNotDone)
{
    for (const auto kind : {CommandKind::Hold, CommandKind::Arm}) {
        FakeEngine engine;
        EXPECT_EQ(executed(engine, kind), CommandAnswer::None);
        engine.report = reportWith(idleState());
        EXPECT_EQ(executed(engine, kind), CommandAnswer::None);
        auto other = idleState();
        other.held = core::StepNumber(step.number() - 1);
        other.armed = MapActivation{core::MapVersion(map.number() - 1), step};
        engine.report = reportWith(other);
        EXPECT_EQ(executed(engine, kind), CommandAnswer::None);
        other.held = step;
        other.armed = MapActivation{map, step};
        other.generation = core::Generation(2);
        engine.report = reportWith(other);
        EXPECT_EQ(executed(engine, kind), CommandAnswer::None);
    }
}

TEST(CommandExecutorTest, holdOrArmThatTheReportShowsIsDone)
{
    FakeEngine engine;
    auto state = idleState();
    state.held = step;
    engine.report = reportWith(state);
    EXPECT_EQ(executed(engine, CommandKind::Hold), CommandAnswer::Done);
    state.armed = MapActivation{map, step};
    engine.report = reportWith(state);
    EXPECT_EQ(executed(engine, CommandKind::Arm), CommandAnswer::Done);
    // The step has begun.
    state.armed.reset();
    state.map = map;
    engine.report = reportWith(state);
    EXPECT_EQ(executed(engine, CommandKind::Arm), CommandAnswer::Done);
}

TEST(CommandExecutorTest, otherAnswersNeedNoReport)
{
    FakeEngine engine;
    for (const auto kind : {CommandKind::Prepare, CommandKind::Disarm, CommandKind::Go}) {
        EXPECT_EQ(executed(engine, kind), CommandAnswer::Done);
    }
    for (const auto answer : {CommandAnswer::Conflict, CommandAnswer::Fenced, CommandAnswer::None}) {
        engine.answer = answer;
        EXPECT_EQ(executed(engine, CommandKind::Hold), answer);
    }
}

} // namespace lycheelanding::rankgroups
