#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/forwarding/eventlog.h"
#include "lycheelanding/rankgroups/engineinterface.h"
#include "lycheelanding/rankgroups/mapchange.h"
#include "lycheelanding/rankgroups/rankdatagrams.h"

#include <asio/ip/tcp.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace lycheelanding::rankgroups {

struct InstalledFencingToken
{
    core::Generation generation;
    decisions::mapswitch::FencingToken fencingToken;
};

void logCommand(forwarding::EventLog &log, std::string_view event, const std::string &ip,
                const decisions::mapswitch::EngineCommand &command, decisions::mapswitch::CommandAnswer answer);

/// Executes the commands of a group's leader at the engine on the local VM.
class CommandExecutor
{
public:
    /// `ip`: of the local VM.
    CommandExecutor(const EngineInterface &engine, const asio::ip::tcp::endpoint &endpoint, std::string ip,
                    forwarding::EventLog &log);

    /// `onReply` is not called if the engine does not answer, or if its report does not show that a hold or an arm
    /// which it has acknowledged is in effect.
    void executeOrder(const CommandOrder &order, std::function<void(const CommandReply &)> onReply);
    void execute(const EngineCommandRequest &command,
                 std::function<void(decisions::mapswitch::CommandAnswer)> onAnswer);

    /// The highest fencing token that the engine has answered to in its latest generation.
    const InstalledFencingToken &installedFencingToken() const { return m_installedFencingToken; }
    /// When a leader last sent an order.
    core::TimePoint lastOrder() const { return m_lastOrder; }

private:
    /// Reads the engine's report, and answers None unless the command is in effect.
    void confirm(const decisions::mapswitch::EngineCommand &command,
                 std::function<void(decisions::mapswitch::CommandAnswer)> onAnswer);
    void recordInstalledFencingToken(const EngineCommandRequest &command, decisions::mapswitch::CommandAnswer answer);

    const EngineInterface &m_engine;
    const asio::ip::tcp::endpoint m_endpoint;
    const std::string m_ip;
    forwarding::EventLog &m_log;
    core::SystemClock m_clock;
    InstalledFencingToken m_installedFencingToken;
    KnownMaps m_knownMaps;
    core::TimePoint m_lastOrder;
};

} // namespace lycheelanding::rankgroups
