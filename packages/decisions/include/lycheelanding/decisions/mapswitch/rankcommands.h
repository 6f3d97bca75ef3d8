#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/mapswitch/answertimes.h"
#include "lycheelanding/decisions/mapswitch/switchmessages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::mapswitch {

/// Commands to an engine that, once armed, switches maps by itself at a given step.
enum class CommandKind : std::uint8_t {
    /// Load the experts of a map while the active map stays active.
    Prepare,
    /// Do not begin a step before Go.
    Hold,
    /// Activate a prepared map at a step.
    Arm,
    /// Cancel Arm.
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
    /// Started or already done.
    Done,
    /// Not possible in the engine's present state.
    Conflict,
    /// Refused: the engine has seen a higher fencing token from another coordinator.
    Fenced,
    /// The side could not pass the command on, because it does not have the map that the command refers to.
    MapUnknown,
    /// No answer: the engine may have executed the command, or may still execute it seconds later.
    None,
};

std::string_view nameOf(CommandAnswer answer);

/// State of a rank as its engine reports it.
struct RankState
{
    core::Generation generation;
    /// The last step that has begun.
    core::StepNumber step;
    core::MapVersion map;
    /// Set once the experts are loaded.
    std::optional<core::MapVersion> prepared = std::nullopt;
    std::optional<MapActivation> armed = std::nullopt;
    std::optional<core::StepNumber> held = std::nullopt;

    bool operator==(const RankState &) const = default;
};

/// The state that a RankGate starts a session with.
EngineState engineStateOf(const RankState &state);

struct SendCommand
{
    /// Answered by answered() with the same number.
    std::uint64_t number = 0;
    EngineCommand command;
};
/// The command is large: it is sent once the caller calls windowOpened(). This also ends the wait for the answer to an
/// earlier send of it.
struct AwaitWindow
{
    EngineCommand command;
};
// Results that are passed to the RankGate.
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
/// The rank is not in the state that the commands assume; its session has to be reopened.
struct StateMismatch
{ };
/// The engine refused a command because it has seen a higher fencing token.
struct CommandFenced
{ };
/// The engine has seen the leader's fencing token and no longer accepts commands of earlier leaders.
struct FencingTokenInstalled
{ };
using RankCommandAction = std::variant<SendCommand, AwaitWindow, MapStaged, MapStageFailed, StepHeld, HoldRefused,
                                       StateMismatch, CommandFenced, FencingTokenInstalled>;
using RankCommandActions = std::vector<RankCommandAction>;

struct RankCommandSettings
{
    /// Time after which an unanswered command is sent again, unless earlier answers of the rank took longer: see
    /// AnswerTimes. Engines answer within milliseconds.
    core::Duration answerTimeout = std::chrono::milliseconds(30);
    /// Time after which an unanswered command counts as lost rather than slow, and upper bound of the time until it is
    /// sent again; longer for a Prepare whose timeout is longer.
    core::Duration lostAfter = std::chrono::milliseconds(80);
};

/// Sends the commands of one RankGate to an engine, one at a time. An unanswered command is sent again until it is
/// answered, because the engine may execute it late: commands are idempotent, and the engine refuses a late one once
/// the step has begun. A Prepare carries a whole map, so each send of it waits for the caller's window.
class RankCommands
{
public:
    explicit RankCommands(const RankCommandSettings &settings) : m_settings(settings) { }

    /// Passes the leader's fencing token to the engine with a command that has no other effect. A state read afterwards
    /// stays valid until this leader changes it.
    RankCommandActions installFencingToken(core::Generation generation, core::TimePoint now);
    RankCommandActions execute(const StageMap &command, core::TimePoint now);
    RankCommandActions execute(const HoldAt &command, core::TimePoint now);
    RankCommandActions execute(const ActivateMap &command, core::TimePoint now);
    RankCommandActions execute(const ResumeAt &command, core::TimePoint now);
    RankCommandActions answered(std::uint64_t number, CommandAnswer answer, core::TimePoint now);
    /// `state` was read after the engine answered all commands that have an answer.
    RankCommandActions stateRead(const RankState &state, core::TimePoint now);
    RankCommandActions tick(core::TimePoint now);
    /// The command that waits for the window may be sent. `transferTime` is what its transfer takes at most; it is
    /// added to the time for the answer.
    RankCommandActions windowOpened(core::Duration transferTime, core::TimePoint now);

    /// Commands so far that count as lost: see RankCommandSettings::lostAfter.
    std::uint64_t lostCommands() const { return m_lostCommands; }
    /// Whether a large command waits for the window or for its answer.
    bool usesWindow() const { return !m_queue.empty() && isLarge(m_queue.front()); }
    bool isIdle() const { return m_queue.empty() && !m_preparing; }

private:
    static bool isLarge(const EngineCommand &command) { return command.kind == CommandKind::Prepare; }
    core::Duration repeatTimeout() const;
    core::Duration maxRepeatTimeout() const;
    void recordAnswerTime(std::uint64_t number, core::TimePoint now);
    void awaitWindow(RankCommandActions &actions);
    void add(const EngineCommand &command, core::TimePoint now, RankCommandActions &actions);
    void sendFirst(core::TimePoint now, RankCommandActions &actions);
    void transmitFirst(core::TimePoint now, RankCommandActions &actions);
    void completeFirst(core::TimePoint now, RankCommandActions &actions);
    void handleConflict(const EngineCommand &command, core::TimePoint now, RankCommandActions &actions);

    const RankCommandSettings m_settings;
    std::deque<EngineCommand> m_queue;
    bool m_isInstallingToken = false;
    std::uint64_t m_lastSendNumber = 0;
    /// Number under which the command at the front was first sent.
    std::uint64_t m_firstSendNumber = 1;
    std::uint64_t m_lostCommands = 0;
    core::Duration m_transferTime{0};
    AnswerTimes m_answerTimes;
    AnswerTimes m_largeAnswerTimes;
    core::TimePoint m_firstSentAt;
    /// Times of the last sends of the command at the front.
    std::deque<core::TimePoint> m_lastSends;
    bool m_isAwaitingWindow = false;
    /// The command at the front is counted as lost.
    bool m_isLost = false;
    /// The command at the front was refused, possibly because an earlier send of it was executed; the next stateRead()
    /// decides.
    bool m_isOutcomeUnknown = false;
    std::optional<core::MapVersion> m_preparing;
    std::optional<core::MapVersion> m_prepared;
};

} // namespace lycheelanding::decisions::mapswitch
