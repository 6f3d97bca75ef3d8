#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/decisions/mapswitch/switchmessages.h"
#include "lycheelanding/services/modelengine.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace lycheelanding::daemon::side::group {

using Strand = asio::strand<asio::io_context::executor_type>;

/// Report the results of the engine's commands. Called on the strand.
struct EngineCommandHandlers
{
    std::function<void(core::MapVersion)> onStaged;
    std::function<void(core::MapVersion)> onStageFailed;
    std::function<void(core::StepNumber)> onHeld;
    std::function<void(core::StepNumber)> onHoldRefused;
};

/// Converts the state that an engine reports to the state that a RankGate uses.
decisions::mapswitch::EngineState engineStateFrom(const services::EngineState &state);

/// Sends a gate's commands to the engine, one at a time and in sequence. A command is retried until the engine has
/// executed or rejected it. All members must be called on the strand.
class EngineCommands : public std::enable_shared_from_this<EngineCommands>
{
public:
    EngineCommands(Strand strand, services::HttpModelEngine &engine, const decisions::mapswitch::EngineState &state,
                   EngineCommandHandlers handlers);

    void execute(const decisions::mapswitch::StageMap &command);
    void execute(const decisions::mapswitch::HoldAt &command);
    void execute(const decisions::mapswitch::ActivateMap &command);
    void execute(const decisions::mapswitch::ResumeAt &command);
    /// Stores the content of a map for commands that refer to its version; ignores an empty text.
    void addMap(core::MapVersion version, const std::string &text);
    /// To be called with each state that is read from the engine.
    void stateRead(const services::EngineState &state);
    /// Discards all commands, for an engine that has restarted.
    void close();

    /// The content of a map; empty when it is not known.
    std::string mapTextOf(core::MapVersion version) const;

private:
    using Command = std::variant<decisions::mapswitch::StageMap, decisions::mapswitch::HoldAt,
                                 decisions::mapswitch::ActivateMap, decisions::mapswitch::ResumeAt>;

    void enqueue(const Command &command);
    void sendNext();
    void send(const decisions::mapswitch::StageMap &command);
    void send(const decisions::mapswitch::HoldAt &command);
    void send(const decisions::mapswitch::ActivateMap &command);
    void send(const decisions::mapswitch::ResumeAt &command);
    void sendRequest(const services::MapCommand &request);
    void answerReceived(const core::Status &status);
    void finish(const core::Status &status);
    void retryLater();
    bool isForNewGeneration(const decisions::mapswitch::OrderStamp &stamp) const;
    services::MapCommand mapCommandFor(services::MapCommandKind kind,
                                       const decisions::mapswitch::OrderStamp &stamp) const;

    Strand m_strand;
    services::HttpModelEngine &m_engine;
    EngineCommandHandlers m_handlers;
    asio::steady_timer m_retryTimer;
    core::Generation m_generation;
    std::map<core::MapVersion, std::string> m_maps;
    std::deque<Command> m_commands;
    bool m_isSending = false;
    bool m_isClosed = false;
    std::optional<core::MapVersion> m_staging;
    std::optional<core::MapVersion> m_staged;
};

static_assert(decisions::mapswitch::SwitchEngine<EngineCommands>);

} // namespace lycheelanding::daemon::side::group
