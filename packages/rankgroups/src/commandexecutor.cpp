#include "lycheelanding/rankgroups/commandexecutor.h"

#include <cstdint>
#include <utility>

namespace lycheelanding::rankgroups {

using namespace decisions::mapswitch;
using forwarding::LogImportance;

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
        onAnswer(answer);
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
