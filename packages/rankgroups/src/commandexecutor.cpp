#include "lycheelanding/rankgroups/commandexecutor.h"

#include <cstdint>
#include <utility>

namespace lycheelanding::rankgroups {

using namespace decisions::mapswitch;
using forwarding::LogImportance;

namespace {

/// A switch begins once all ranks hold, and ends once all are armed: a wrong "done" would let ranks begin a step with
/// different maps. Answers of engines do not name their command, so one may be a copy of the answer to an earlier one.
bool needsConfirmation(CommandKind kind)
{
    return kind == CommandKind::Hold || kind == CommandKind::Arm;
}

bool isInEffect(const EngineCommand &command, const RankState &state)
{
    if (state.generation != command.generation) {
        return false;
    }
    if (command.kind == CommandKind::Hold) {
        return state.held == command.step;
    }
    return state.armed == MapActivation{command.map, command.step} || state.map == command.map;
}

} // namespace

void logCommand(forwarding::EventLog &log, std::string_view event, const std::string &ip, const EngineCommand &command,
                CommandAnswer answer)
{
    log.write(LogImportance::State, event,
              {{"engine", ip},
               {"command", nameOf(command.kind)},
               {"answer", nameOf(answer)},
               {"map", static_cast<std::int64_t>(command.map.number())},
               {"step", static_cast<std::int64_t>(command.step.number())}});
}

CommandExecutor::CommandExecutor(const EngineInterface &engine, const asio::ip::tcp::endpoint &endpoint, std::string ip,
                                 forwarding::EventLog &log)
    : m_engine(engine), m_endpoint(endpoint), m_ip(std::move(ip)), m_log(log)
{ }

void CommandExecutor::executeOrder(const CommandOrder &order, std::function<void(const CommandReply &)> onReply)
{
    m_lastOrder = m_clock.now();
    auto request = order.command;
    if (request.change) {
        request.experts = m_knownMaps.resolve(*request.change);
        if (!request.experts) {
            onReply({order.number, request.fencingToken, CommandAnswer::MapUnknown});
            return;
        }
    }
    if (request.experts) {
        m_knownMaps.add(request.experts);
    }
    execute(request,
            [this, onReply = std::move(onReply), number = order.number, command = order.command](CommandAnswer answer) {
                if (answer != CommandAnswer::Done) {
                    logCommand(m_log, "commandRefused", m_ip, command.command, answer);
                }
                if (answer != CommandAnswer::None) {
                    onReply({number, command.fencingToken, answer});
                }
            });
}

void CommandExecutor::execute(const EngineCommandRequest &command, std::function<void(CommandAnswer)> onAnswer)
{
    m_engine.command(m_endpoint, command, [this, command, onAnswer = std::move(onAnswer)](CommandAnswer answer) {
        recordInstalledFencingToken(command, answer);
        if (answer == CommandAnswer::Done && needsConfirmation(command.command.kind)) {
            confirm(command.command, onAnswer);
            return;
        }
        onAnswer(answer);
    });
}

void CommandExecutor::confirm(const EngineCommand &command, std::function<void(CommandAnswer)> onAnswer)
{
    m_engine.readReport(m_endpoint, [this, command, onAnswer = std::move(onAnswer)](const auto &report) {
        const bool isConfirmed = report && isInEffect(command, report->state);
        if (!isConfirmed) {
            logCommand(m_log, "commandUnconfirmed", m_ip, command, CommandAnswer::Done);
        }
        onAnswer(isConfirmed ? CommandAnswer::Done : CommandAnswer::None);
    });
}

void CommandExecutor::recordInstalledFencingToken(const EngineCommandRequest &command, CommandAnswer answer)
{
    const bool isAcknowledged = answer == CommandAnswer::Done || answer == CommandAnswer::Conflict;
    const auto generation = command.command.generation;
    const bool isNewer = generation > m_installedFencingToken.generation
        || (generation == m_installedFencingToken.generation
            && command.fencingToken > m_installedFencingToken.fencingToken);
    if (isAcknowledged && isNewer) {
        m_installedFencingToken = {generation, command.fencingToken};
    }
}

} // namespace lycheelanding::rankgroups
