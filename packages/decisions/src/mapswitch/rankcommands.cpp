#include "lycheelanding/decisions/mapswitch/rankcommands.h"

#include "lycheelanding/core/nametable.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lycheelanding::decisions::mapswitch {

namespace {

constexpr std::array<core::NameEntry<CommandKind>, 5> commandNames{{
    {CommandKind::Prepare, "prepare"},
    {CommandKind::Hold, "hold"},
    {CommandKind::Arm, "arm"},
    {CommandKind::Disarm, "disarm"},
    {CommandKind::Go, "go"},
}};

constexpr std::array<core::NameEntry<CommandAnswer>, 5> answerNames{{
    {CommandAnswer::Done, "done"},
    {CommandAnswer::Conflict, "conflict"},
    {CommandAnswer::Fenced, "fenced"},
    {CommandAnswer::MapUnknown, "mapUnknown"},
    {CommandAnswer::None, "none"},
}};

/// Bounds the timeout of a large command by a multiple of what a small one has at most and the transfer takes.
constexpr int maxLargeTimeoutFactor = 2;
/// Sends of a command whose answers are timed; answers to earlier ones are late anyway.
constexpr std::size_t maxKeptSends = 8;

} // namespace

std::string_view nameOf(CommandKind kind)
{
    return core::nameIn(commandNames, kind);
}

std::string_view nameOf(CommandAnswer answer)
{
    return core::nameIn(answerNames, answer);
}

EngineState engineStateOf(const RankState &state)
{
    EngineState result;
    result.hasJoinedGroup = true;
    result.generation = state.generation;
    result.map = state.map;
    result.nextStep = state.step.next();
    result.staged = state.prepared;
    if (state.armed) {
        // The engine is armed only after the decision, so at most the end of the hold is missing.
        result.map = state.armed->map;
        result.lastActivation = state.armed;
    } else {
        result.heldAt = state.held;
    }
    return result;
}

RankCommandActions RankCommands::installFencingToken(core::Generation generation, core::TimePoint now)
{
    RankCommandActions actions;
    m_isInstallingToken = true;
    // No step has number 0, so this Go ends no hold.
    add({CommandKind::Go, generation, {}, core::StepNumber(0)}, now, actions);
    return actions;
}

RankCommandActions RankCommands::execute(const StageMap &command, core::TimePoint now)
{
    RankCommandActions actions;
    m_preparing = command.map;
    m_prepared.reset();
    add({CommandKind::Prepare, command.stamp.generation, command.map, {}}, now, actions);
    return actions;
}

RankCommandActions RankCommands::execute(const HoldAt &command, core::TimePoint now)
{
    RankCommandActions actions;
    add({CommandKind::Hold, command.stamp.generation, {}, command.step}, now, actions);
    return actions;
}

RankCommandActions RankCommands::execute(const ActivateMap &command, core::TimePoint now)
{
    RankCommandActions actions;
    add({CommandKind::Arm, command.stamp.generation, command.activation.map, command.activation.step}, now, actions);
    add({CommandKind::Go, command.stamp.generation, {}, command.activation.step}, now, actions);
    return actions;
}

RankCommandActions RankCommands::execute(const ResumeAt &command, core::TimePoint now)
{
    RankCommandActions actions;
    // Cancels an Arm of an earlier coordinator that the engine executes late, between the decision and the step.
    if (m_prepared) {
        add({CommandKind::Disarm, command.stamp.generation, *m_prepared, {}}, now, actions);
    }
    add({CommandKind::Go, command.stamp.generation, {}, command.step}, now, actions);
    return actions;
}

RankCommandActions RankCommands::answered(std::uint64_t number, CommandAnswer answer, core::TimePoint now)
{
    RankCommandActions actions;
    // The answer to any send of the command counts: it may arrive after the command has been sent again.
    if (m_queue.empty() || number < m_firstSendNumber || number > m_lastSendNumber) {
        return actions;
    }
    if (answer != CommandAnswer::None) {
        recordAnswerTime(number, now);
    }
    switch (answer) {
    case CommandAnswer::MapUnknown:
        // An answer to an earlier send says nothing about the last one, which may have carried the whole map.
        if (usesWindow() && !m_isAwaitingWindow && number == m_lastSendNumber) {
            awaitWindow(actions);
        }
        break;
    case CommandAnswer::None:
        break; // tick() sends the command again.
    case CommandAnswer::Done:
        completeFirst(now, actions);
        break;
    case CommandAnswer::Conflict:
        handleConflict(m_queue.front(), now, actions);
        break;
    case CommandAnswer::Fenced:
        m_queue.clear();
        m_preparing.reset();
        actions.emplace_back(CommandFenced{});
        break;
    }
    return actions;
}

void RankCommands::handleConflict(const EngineCommand &command, core::TimePoint now, RankCommandActions &actions)
{
    switch (command.kind) {
    case CommandKind::Prepare: {
        const auto map = command.map;
        m_preparing.reset();
        m_queue.pop_front();
        actions.emplace_back(MapStageFailed{map});
        sendFirst(now, actions);
        return;
    }
    case CommandKind::Hold: {
        const auto step = command.step;
        m_queue.pop_front();
        actions.emplace_back(HoldRefused{step});
        sendFirst(now, actions);
        return;
    }
    case CommandKind::Arm:
        // The conflict may come from an earlier send of the same command that has been executed.
        m_isOutcomeUnknown = true;
        return;
    case CommandKind::Disarm:
    case CommandKind::Go:
        completeFirst(now, actions);
        return;
    }
}

RankCommandActions RankCommands::stateRead(const RankState &state, core::TimePoint now)
{
    RankCommandActions actions;
    m_prepared = state.prepared;
    if (m_preparing && state.prepared == m_preparing) {
        const auto map = *m_preparing;
        m_preparing.reset();
        if (!m_queue.empty() && m_queue.front().kind == CommandKind::Prepare) {
            m_queue.pop_front();
            ++m_lastSendNumber;
            sendFirst(now, actions);
        }
        actions.emplace_back(MapStaged{map});
    }
    if (!m_isOutcomeUnknown || m_queue.empty()) {
        return actions;
    }
    m_isOutcomeUnknown = false;
    const auto &command = m_queue.front();
    const bool isArmed = state.armed == MapActivation{command.map, command.step} || state.map == command.map;
    if (isArmed) {
        completeFirst(now, actions);
        return actions;
    }
    m_queue.clear();
    actions.emplace_back(StateMismatch{});
    return actions;
}

RankCommandActions RankCommands::tick(core::TimePoint now)
{
    RankCommandActions actions;
    if (m_queue.empty() || m_isAwaitingWindow || m_isOutcomeUnknown) {
        return actions;
    }
    const auto timeout = repeatTimeout();
    if (now - m_lastSends.back() < timeout) {
        return actions;
    }
    const auto lostAfter = std::max(m_settings.lostAfter, timeout);
    if (now - m_firstSentAt >= lostAfter && !std::exchange(m_isLost, true)) {
        ++m_lostCommands;
    }
    if (usesWindow()) {
        awaitWindow(actions);
    } else {
        transmitFirst(now, actions);
    }
    return actions;
}

RankCommandActions RankCommands::windowOpened(core::Duration transferTime, core::TimePoint now)
{
    RankCommandActions actions;
    if (!std::exchange(m_isAwaitingWindow, false) || !usesWindow()) {
        return actions;
    }
    m_transferTime = transferTime;
    transmitFirst(now, actions);
    return actions;
}

core::Duration RankCommands::repeatTimeout() const
{
    const auto timeout = m_answerTimes.timeout(m_settings.answerTimeout, m_settings.lostAfter);
    return usesWindow() ? m_largeAnswerTimes.timeout(timeout + m_transferTime, maxRepeatTimeout()) : timeout;
}

core::Duration RankCommands::maxRepeatTimeout() const
{
    return usesWindow() ? maxLargeTimeoutFactor * (m_settings.lostAfter + m_transferTime) : m_settings.lostAfter;
}

void RankCommands::recordAnswerTime(std::uint64_t number, core::TimePoint now)
{
    const auto laterSends = m_lastSendNumber - number;
    if (laterSends >= m_lastSends.size()) {
        return;
    }
    const auto sentAt = *(m_lastSends.rbegin() + static_cast<std::ptrdiff_t>(laterSends));
    auto &times = usesWindow() ? m_largeAnswerTimes : m_answerTimes;
    times.record(std::min(now - sentAt, maxRepeatTimeout()));
}

void RankCommands::awaitWindow(RankCommandActions &actions)
{
    m_isAwaitingWindow = true;
    actions.emplace_back(AwaitWindow{m_queue.front()});
}

void RankCommands::add(const EngineCommand &command, core::TimePoint now, RankCommandActions &actions)
{
    m_queue.push_back(command);
    if (m_queue.size() == 1) {
        sendFirst(now, actions);
    }
}

void RankCommands::sendFirst(core::TimePoint now, RankCommandActions &actions)
{
    m_isAwaitingWindow = false;
    m_lastSends.clear();
    if (m_queue.empty()) {
        return;
    }
    m_firstSendNumber = m_lastSendNumber + 1;
    m_isLost = false;
    if (usesWindow()) {
        awaitWindow(actions);
    } else {
        transmitFirst(now, actions);
    }
}

void RankCommands::transmitFirst(core::TimePoint now, RankCommandActions &actions)
{
    m_isOutcomeUnknown = false;
    if (m_lastSends.empty()) {
        m_firstSentAt = now;
    }
    m_lastSends.push_back(now);
    if (m_lastSends.size() > maxKeptSends) {
        m_lastSends.pop_front();
    }
    actions.emplace_back(SendCommand{++m_lastSendNumber, m_queue.front()});
}

void RankCommands::completeFirst(core::TimePoint now, RankCommandActions &actions)
{
    const auto command = m_queue.front();
    m_queue.pop_front();
    if (command.kind == CommandKind::Hold) {
        actions.emplace_back(StepHeld{command.step});
    } else if (m_isInstallingToken && command.kind == CommandKind::Go) {
        m_isInstallingToken = false;
        actions.emplace_back(FencingTokenInstalled{});
    }
    sendFirst(now, actions);
}

} // namespace lycheelanding::decisions::mapswitch
