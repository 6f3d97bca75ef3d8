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

/// What the engine made of its orders. Called on the strand.
struct EngineCommandHandlers
{
    std::function<void(core::MapVersion)> onStaged;
    std::function<void(core::MapVersion)> onStageFailed;
    std::function<void(core::StepNumber)> onHeld;
    std::function<void(core::StepNumber)> onHoldRefused;
};

/// The state of an engine in the terms of the map switch.
decisions::mapswitch::EngineState engineStateFrom(const services::EngineState &state);

/// Carries out a gate's orders at the engine, one after the other and in their order; an order without an answer is
/// repeated until the engine has obeyed it or has said that it cannot. All members belong to the strand.
class EngineCommands : public std::enable_shared_from_this<EngineCommands>
{
public:
    EngineCommands(Strand strand, services::HttpModelEngine &engine, const decisions::mapswitch::EngineState &state,
                   EngineCommandHandlers handlers);

    void execute(const decisions::mapswitch::StageMap &command);
    void execute(const decisions::mapswitch::HoldAt &command);
    void execute(const decisions::mapswitch::ActivateMap &command);
    void execute(const decisions::mapswitch::ResumeAt &command);
    /// The content of a map that orders may name.
    void addMap(core::MapVersion version, const std::string &text);
    /// To be called with each state that the engine reports.
    void stateRead(const services::EngineState &state);
    /// Drops all orders; for an engine that has been started anew.
    void close();

    /// The content of a map, empty when it is not known.
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
    void sendRequest(const services::MapOrder &request);
    void answered(const core::Status &status);
    void finish(const core::Status &status);
    void retryLater();
    bool isForNewGeneration(const decisions::mapswitch::OrderStamp &stamp) const;
    services::MapOrder mapOrderFor(services::MapOrderKind kind, const decisions::mapswitch::OrderStamp &stamp) const;

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
