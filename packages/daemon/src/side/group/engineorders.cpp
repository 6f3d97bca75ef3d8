#include "side/group/engineorders.h"

#include "logging/statelog.h"

#include <asio/bind_executor.hpp>
#include <asio/post.hpp>

namespace lycheelanding::daemon::side::group {

namespace {

using namespace decisions::mapswitch;

constexpr std::chrono::milliseconds retryPause(50);
/// Maps whose content is remembered: the one in force, the next one and some that were withdrawn.
constexpr std::size_t maxMaps = 6;

bool isDefinite(const core::Status &status)
{
    if (core::isOk(status)) {
        return true;
    }
    const auto kind = core::errorOf(status).kind;
    return kind == core::ErrorKind::VersionConflict || kind == core::ErrorKind::BackendServerFailed;
}

} // namespace

EngineState switchStateOf(const services::EngineState &state)
{
    constexpr std::uint64_t firstGeneration = 1;
    constexpr std::uint64_t firstStep = 1;
    // An engine that has not ended a step in its life waits for a group that its earlier life belonged to.
    const bool hasStepped = state.currentStep.number() > firstStep || state.generation.number() > firstGeneration;
    const bool isDecided = state.releasedStep && state.armedStep == state.releasedStep;
    EngineState result;
    result.hasJoinedGroup = !state.isJoining && hasStepped;
    result.generation = state.generation;
    result.map = isDecided && state.isSwitching && state.armedMap ? *state.armedMap : state.activeMap;
    result.nextStep = state.currentStep;
    result.staged = state.stagedMap;
    if (state.armedStep && !isDecided) {
        result.heldAt = state.armedStep;
    }
    if (state.releasedStep && state.isSwitching) {
        result.lastActivation = MapActivation{result.map, *state.releasedStep};
    }
    result.fencingToken = FencingToken(state.lastFencingToken.number);
    return result;
}

EngineOrders::EngineOrders(Strand strand, services::HttpModelEngine &engine, const EngineState &state,
                           EngineOrderHandlers handlers)
    : m_strand(std::move(strand)), m_engine(engine), m_handlers(std::move(handlers)), m_retryTimer(m_strand),
      m_generation(state.generation), m_staged(state.staged)
{ }

void EngineOrders::noteMap(core::MapVersion version, const std::string &text)
{
    if (text.empty()) {
        return;
    }
    m_maps[version] = text;
    while (m_maps.size() > maxMaps) {
        m_maps.erase(m_maps.begin());
    }
}

std::string EngineOrders::textOf(core::MapVersion version) const
{
    const auto found = m_maps.find(version);
    return found == m_maps.end() ? std::string() : found->second;
}

void EngineOrders::execute(const StageMap &order)
{
    add(order);
}

void EngineOrders::execute(const HoldAt &order)
{
    add(order);
}

void EngineOrders::execute(const ActivateMap &order)
{
    add(order);
}

void EngineOrders::execute(const ResumeAt &order)
{
    add(order);
}

void EngineOrders::add(const Order &order)
{
    m_orders.push_back(order);
    sendNext();
}

void EngineOrders::close()
{
    m_isClosed = true;
    m_orders.clear();
    m_retryTimer.cancel();
}

void EngineOrders::sendNext()
{
    if (m_isSending || m_isClosed || m_orders.empty()) {
        return;
    }
    m_isSending = true;
    std::visit([this](const auto &order) { send(order); }, m_orders.front());
}

bool EngineOrders::isForming(const OrderStamp &stamp) const
{
    return stamp.generation > m_generation;
}

services::MapOrder EngineOrders::orderFor(services::MapOrderKind kind, const OrderStamp &stamp) const
{
    services::MapOrder order;
    order.kind = kind;
    // Fencing numbers grow over all coordinators of a generation, since each begins above those that it finds.
    order.fencingToken = {stamp.generation, core::Incarnation(), stamp.fencingToken.number()};
    return order;
}

void EngineOrders::send(const StageMap &order)
{
    if (isForming(order.stamp)) {
        m_staged = order.map; // Loaded when the group is formed.
        finish(core::Done());
        return;
    }
    m_staging = order.map;
    auto engineOrder = orderFor(services::MapOrderKind::Stage, order.stamp);
    engineOrder.mapVersion = order.map;
    engineOrder.map = textOf(order.map);
    sendOrder(engineOrder);
}

void EngineOrders::send(const HoldAt &order)
{
    if (isForming(order.stamp)) {
        finish(core::Done()); // A group that lacks a member does not step.
        return;
    }
    auto engineOrder = orderFor(services::MapOrderKind::Arm, order.stamp);
    engineOrder.mapVersion = m_staged.value_or(core::MapVersion());
    engineOrder.step = order.step;
    sendOrder(engineOrder);
}

void EngineOrders::send(const ActivateMap &order)
{
    if (!isForming(order.stamp)) {
        auto engineOrder = orderFor(services::MapOrderKind::Release, order.stamp);
        engineOrder.mapVersion = order.activation.map;
        engineOrder.step = order.activation.step;
        engineOrder.switches = true;
        sendOrder(engineOrder);
        return;
    }
    const services::GroupFormationOrder form{order.stamp.generation, order.activation.map, order.activation.step,
                                             textOf(order.activation.map)};
    m_engine.formGroup(form, [weak = weak_from_this()](const core::Status &status) {
        if (const auto self = weak.lock()) {
            asio::post(self->m_strand, [self, status] { self->answered(status); });
        }
    });
}

void EngineOrders::send(const ResumeAt &order)
{
    auto engineOrder = orderFor(services::MapOrderKind::Release, order.stamp);
    engineOrder.step = order.step;
    sendOrder(engineOrder);
}

void EngineOrders::sendOrder(const services::MapOrder &order)
{
    m_engine.order(order, [weak = weak_from_this()](const core::Status &status) {
        if (const auto self = weak.lock()) {
            asio::post(self->m_strand, [self, status] { self->answered(status); });
        }
    });
}

void EngineOrders::answered(const core::Status &status)
{
    if (m_isClosed || !m_isSending || m_orders.empty()) {
        return;
    }
    if (!isDefinite(status)) {
        retryLater();
        return;
    }
    finish(status);
}

void EngineOrders::retryLater()
{
    m_retryTimer.expires_after(retryPause);
    m_retryTimer.async_wait([weak = weak_from_this()](const auto &error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isClosed) {
            self->m_isSending = false;
            self->sendNext();
        }
    });
}

void EngineOrders::finish(const core::Status &status)
{
    const auto order = m_orders.front();
    m_orders.pop_front();
    m_isSending = false;
    if (!core::isOk(status)) {
        logging::logChange(logging::Level::Warning, "the engine refused an order of a map switch",
                           {{"reason", core::errorOf(status).detail}});
    }
    if (const auto *stage = std::get_if<StageMap>(&order)) {
        if (!core::isOk(status)) {
            m_staging.reset();
            m_handlers.onStageFailed(stage->map);
        } else if (m_staged == stage->map) {
            m_handlers.onStaged(stage->map);
        }
    } else if (const auto *hold = std::get_if<HoldAt>(&order)) {
        core::isOk(status) ? m_handlers.onHeld(hold->step) : m_handlers.onHoldRefused(hold->step);
    } else if (const auto *use = std::get_if<ActivateMap>(&order)) {
        m_generation = std::max(m_generation, use->stamp.generation);
    }
    sendNext();
}

void EngineOrders::stateRead(const services::EngineState &state)
{
    m_generation = std::max(m_generation, state.generation);
    if (m_staging && state.stagedMap == m_staging) {
        m_staged = m_staging;
        m_staging.reset();
        m_handlers.onStaged(*m_staged);
    }
}

} // namespace lycheelanding::daemon::side::group
