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
struct EngineOrderHandlers
{
    std::function<void(core::MapVersion)> onStaged;
    std::function<void(core::MapVersion)> onStageFailed;
    std::function<void(core::StepNumber)> onHeld;
    std::function<void(core::StepNumber)> onHoldRefused;
};

/// The state of an engine in the terms of the map switch.
decisions::mapswitch::EngineState switchStateOf(const services::EngineState &state);

/// Carries out a gate's orders at the engine, one after the other and in their order; an order without an answer is
/// repeated until the engine has obeyed it or has said that it cannot. All members belong to the strand.
class EngineOrders : public std::enable_shared_from_this<EngineOrders>
{
public:
    EngineOrders(Strand strand, services::HttpModelEngine &engine, const decisions::mapswitch::EngineState &state,
                 EngineOrderHandlers handlers);

    void execute(const decisions::mapswitch::StageMap &order);
    void execute(const decisions::mapswitch::HoldAt &order);
    void execute(const decisions::mapswitch::ActivateMap &order);
    void execute(const decisions::mapswitch::ResumeAt &order);
    /// The content of a map that orders may name.
    void noteMap(core::MapVersion version, const std::string &text);
    /// To be called with each state that the engine reports.
    void stateRead(const services::EngineState &state);
    /// Drops all orders; for an engine that has been started anew.
    void close();

    /// The content of a map, empty when it is not known.
    std::string textOf(core::MapVersion version) const;

private:
    using Order = std::variant<decisions::mapswitch::StageMap, decisions::mapswitch::HoldAt,
                               decisions::mapswitch::ActivateMap, decisions::mapswitch::ResumeAt>;

    void add(const Order &order);
    void sendNext();
    void send(const decisions::mapswitch::StageMap &order);
    void send(const decisions::mapswitch::HoldAt &order);
    void send(const decisions::mapswitch::ActivateMap &order);
    void send(const decisions::mapswitch::ResumeAt &order);
    void sendOrder(const services::MapOrder &order);
    void answered(const core::Status &status);
    void finish(const core::Status &status);
    void retryLater();
    bool isForming(const decisions::mapswitch::OrderStamp &stamp) const;
    services::MapOrder orderFor(services::MapOrderKind kind, const decisions::mapswitch::OrderStamp &stamp) const;

    Strand m_strand;
    services::HttpModelEngine &m_engine;
    EngineOrderHandlers m_handlers;
    asio::steady_timer m_retryTimer;
    core::Generation m_generation;
    std::map<core::MapVersion, std::string> m_maps;
    std::deque<Order> m_orders;
    bool m_isSending = false;
    bool m_isClosed = false;
    std::optional<core::MapVersion> m_staging;
    std::optional<core::MapVersion> m_staged;
};

static_assert(decisions::mapswitch::SwitchEngine<EngineOrders>);

} // namespace lycheelanding::daemon::side::group
