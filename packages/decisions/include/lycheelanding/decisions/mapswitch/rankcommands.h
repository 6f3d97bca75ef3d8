#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/mapswitch/switchmessages.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::mapswitch {

/// What an engine can be told that switches maps on its own step, once armed.
enum class CommandKind : std::uint8_t {
    /// Load the experts of a map while the map in force stays in force.
    Prepare,
    /// Do not begin a step before Go.
    Hold,
    /// Use a prepared map from a step on.
    Arm,
    /// Forget what Arm has set.
    Disarm,
    /// End the hold at a step.
    Go,
};

std::string_view nameOf(CommandKind kind);

struct EngineCommand
{
    CommandKind kind = CommandKind::Prepare;
    core::Generation generation;
    core::MapVersion map;
    core::StepNumber step;
};

enum class CommandAnswer : std::uint8_t {
    /// Begun, or done already.
    Done,
    /// Does not fit the engine's state.
    Conflict,
    /// Another coordinator has given an order with a higher fencing number.
    Fenced,
    /// None: it may have been carried out, or may be seconds later.
    None,
};

std::string_view nameOf(CommandAnswer answer);

/// What the engine says of its rank at one moment.
struct RankState
{
    core::Generation generation;
    /// The last step that was begun.
    core::StepNumber step;
    core::MapVersion map;
    /// Set once the experts are loaded.
    std::optional<core::MapVersion> prepared = std::nullopt;
    std::optional<MapActivation> armed = std::nullopt;
    std::optional<core::StepNumber> held = std::nullopt;
};

/// What a gate may rely on at the beginning of a session.
EngineState engineStateOf(const RankState &state);

struct SendCommand
{
    /// Answered by answered() with the same number.
    std::uint64_t number = 0;
    EngineCommand command;
};
// Word for the RankGate.
struct MapStaged
{
    core::MapVersion map;
};
struct MapStageFailed
{
    core::MapVersion map;
};
struct StepHeld
{
    core::StepNumber step;
};
struct HoldRefused
{
    core::StepNumber step;
};
/// The rank is not in the state that the orders rely on: its session is to be opened anew.
struct StateMismatch
{ };
struct CommandFenced
{ };
/// The engine has seen the leader's fencing number: it obeys no earlier leader any more.
struct FencingTokenInstalled
{ };
using RankCommandAction = std::variant<SendCommand, MapStaged, MapStageFailed, StepHeld, HoldRefused, StateMismatch,
                                       CommandFenced, FencingTokenInstalled>;
using RankCommandActions = std::vector<RankCommandAction>;

struct RankCommandSettings
{
    /// A command without an answer is repeated after this; engines answer in milliseconds.
    core::Duration answerTimeout = std::chrono::milliseconds(30);
    /// One without an answer after this was lost, not slow.
    core::Duration lostAfter = std::chrono::milliseconds(80);
};

/// Carries out the orders of one RankGate as commands to an engine that arms maps, one after the other. A command
/// without an answer is repeated until one comes, since it may be carried out late: its repetition leaves the engine in
/// the same state, and once the step has begun the late one is refused.
class RankCommands
{
public:
    explicit RankCommands(const RankCommandSettings &settings) : m_settings(settings) { }

    /// Shows the engine the leader's fencing number by a command without an effect. A state that is read afterwards
    /// holds until this leader changes it.
    RankCommandActions installFencingToken(core::Generation generation, core::TimePoint now);
    RankCommandActions execute(const StageMap &order, core::TimePoint now);
    RankCommandActions execute(const HoldAt &order, core::TimePoint now);
    RankCommandActions execute(const ActivateMap &order, core::TimePoint now);
    RankCommandActions execute(const ResumeAt &order, core::TimePoint now);
    RankCommandActions answered(std::uint64_t number, CommandAnswer answer, core::TimePoint now);
    /// The engine was read after all commands that have an answer.
    RankCommandActions stateRead(const RankState &state, core::TimePoint now);
    RankCommandActions tick(core::TimePoint now);

    /// Commands so far that the engine has left without an answer.
    std::uint64_t lostCommands() const { return m_lostCommands; }
    bool isIdle() const { return m_queue.empty() && !m_preparing; }

private:
    void add(const EngineCommand &command, core::TimePoint now, RankCommandActions &actions);
    void sendFirst(core::TimePoint now, RankCommandActions &actions);
    void transmitFirst(core::TimePoint now, RankCommandActions &actions);
    void completeFirst(core::TimePoint now, RankCommandActions &actions);
    void handleConflict(const EngineCommand &command, core::TimePoint now, RankCommandActions &actions);

    const RankCommandSettings m_settings;
    std::deque<EngineCommand> m_queue;
    bool m_isInstallingToken = false;
    std::uint64_t m_lastSendNumber = 0;
    /// Number of the first send of the command at the front.
    std::uint64_t m_firstSendNumber = 1;
    std::uint64_t m_lostCommands = 0;
    core::TimePoint m_firstSentAt;
    core::TimePoint m_lastSentAt;
    /// The command at the front is counted as lost.
    bool m_isLost = false;
    /// The first command was refused for a reason that the next look at the engine tells.
    bool m_isOutcomeUnknown = false;
    std::optional<core::MapVersion> m_preparing;
    std::optional<core::MapVersion> m_prepared;
};

} // namespace lycheelanding::decisions::mapswitch
