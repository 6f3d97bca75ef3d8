#include "side/group/enginecommands.h"

#include "logging/statelog.h"

#include <asio/bind_executor.hpp>
#include <asio/post.hpp>

namespace lycheelanding::daemon::side::group {

namespace {

using namespace decisions::mapswitch;

constexpr std::chrono::milliseconds retryInterval(50);
/// Maximum number of maps whose content is stored: the active one, the next one and some that were withdrawn.
constexpr std::size_t maxMaps = 6;

/// Whether the engine has executed or rejected a command, so that it need not be retried.
bool isFinal(const core::Status &status)
{
    if (core::isOk(status)) {
        return true;
    }
    const auto kind = core::errorOf(status).kind;
    return kind == core::ErrorKind::VersionConflict || kind == core::ErrorKind::BackendServerFailed;
}

} // namespace

EngineState engineStateFrom(const services::EngineState &state)
{
    constexpr std::uint64_t firstGeneration = 1;
    constexpr std::uint64_t firstStep = 1;
    // An engine that has not completed a step since its start has yet to rejoin the group of its previous incarnation.
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

EngineCommands::EngineCommands(Strand strand, services::HttpModelEngine &engine, const EngineState &state,
                               EngineCommandHandlers handlers)
    : m_strand(std::move(strand)), m_engine(engine), m_handlers(std::move(handlers)), m_retryTimer(m_strand),
      m_generation(state.generation), m_staged(state.staged)
{ }

void EngineCommands::addMap(core::MapVersion version, const std::string &text)
{
    if (text.empty()) {
        return;
    }
    m_maps[version] = text;
    while (m_maps.size() > maxMaps) {
        m_maps.erase(m_maps.begin());
    }
}

std::string EngineCommands::mapTextOf(core::MapVersion version) const
{
    const auto found = m_maps.find(version);
    return found == m_maps.end() ? std::string() : found->second;
}

void EngineCommands::execute(const StageMap &command)
{
    enqueue(command);
}

void EngineCommands::execute(const HoldAt &command)
{
    enqueue(command);
}

void EngineCommands::execute(const ActivateMap &command)
{
    enqueue(command);
}

void EngineCommands::execute(const ResumeAt &command)
{
    enqueue(command);
}

void EngineCommands::enqueue(const Command &command)
{
    m_commands.push_back(command);
    sendNext();
}

void EngineCommands::close()
{
    m_isClosed = true;
    m_commands.clear();
    m_retryTimer.cancel();
}

void EngineCommands::sendNext()
{
    if (m_isSending || m_isClosed || m_commands.empty()) {
        return;
    }
    m_isSending = true;
    std::visit([this](const auto &command) { send(command); }, m_commands.front());
}

bool EngineCommands::isForNewGeneration(const OrderStamp &stamp) const
{
    return stamp.generation > m_generation;
}

services::MapCommand EngineCommands::mapCommandFor(services::MapCommandKind kind, const OrderStamp &stamp) const
{
    services::MapCommand request;
    request.kind = kind;
    // Fencing tokens increase across all coordinators of a generation, since each starts above the tokens that it
    // finds. The incarnation of the coordinator is therefore not needed.
    request.fencingToken = {stamp.generation, core::Incarnation(), stamp.fencingToken.number()};
    return request;
}

void EngineCommands::send(const StageMap &command)
{
    if (isForNewGeneration(command.stamp)) {
        m_staged = command.map; // The engine loads it when the group is formed.
        finish(core::Done());
        return;
    }
    m_staging = command.map;
    auto request = mapCommandFor(services::MapCommandKind::Stage, command.stamp);
    request.mapVersion = command.map;
    request.map = mapTextOf(command.map);
    sendRequest(request);
}

void EngineCommands::send(const HoldAt &command)
{
    if (isForNewGeneration(command.stamp)) {
        finish(core::Done()); // A group with a missing member does not step, so there is nothing to hold.
        return;
    }
    auto request = mapCommandFor(services::MapCommandKind::Arm, command.stamp);
    request.mapVersion = m_staged.value_or(core::MapVersion());
    request.step = command.step;
    sendRequest(request);
}

void EngineCommands::send(const ActivateMap &command)
{
    if (!isForNewGeneration(command.stamp)) {
        auto request = mapCommandFor(services::MapCommandKind::Release, command.stamp);
        request.mapVersion = command.activation.map;
        request.step = command.activation.step;
        request.switches = true;
        sendRequest(request);
        return;
    }
    const services::GroupFormationCommand form{command.stamp.generation, command.activation.map,
                                               command.activation.step, mapTextOf(command.activation.map)};
    m_engine.formGroup(form, [weak = weak_from_this()](const core::Status &status) {
        if (const auto self = weak.lock()) {
            asio::post(self->m_strand, [self, status] { self->answerReceived(status); });
        }
    });
}

void EngineCommands::send(const ResumeAt &command)
{
    auto request = mapCommandFor(services::MapCommandKind::Release, command.stamp);
    request.step = command.step;
    sendRequest(request);
}

void EngineCommands::sendRequest(const services::MapCommand &request)
{
    m_engine.command(request, [weak = weak_from_this()](const core::Status &status) {
        if (const auto self = weak.lock()) {
            asio::post(self->m_strand, [self, status] { self->answerReceived(status); });
        }
    });
}

void EngineCommands::answerReceived(const core::Status &status)
{
    if (m_isClosed || !m_isSending || m_commands.empty()) {
        return;
    }
    if (!isFinal(status)) {
        retryLater();
        return;
    }
    finish(status);
}

void EngineCommands::retryLater()
{
    m_retryTimer.expires_after(retryInterval);
    m_retryTimer.async_wait([weak = weak_from_this()](const auto &error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isClosed) {
            self->m_isSending = false;
            self->sendNext();
        }
    });
}

void EngineCommands::finish(const core::Status &status)
{
    const auto command = m_commands.front();
    m_commands.pop_front();
    m_isSending = false;
    if (!core::isOk(status)) {
        logging::logChange(logging::Level::Warning, "the engine refused an order of a map switch",
                           {{"reason", core::errorOf(status).detail}});
    }
    if (const auto *stage = std::get_if<StageMap>(&command)) {
        if (!core::isOk(status)) {
            m_staging.reset();
            m_handlers.onStageFailed(stage->map);
        } else if (m_staged == stage->map) {
            m_handlers.onStaged(stage->map);
        }
    } else if (const auto *hold = std::get_if<HoldAt>(&command)) {
        core::isOk(status) ? m_handlers.onHeld(hold->step) : m_handlers.onHoldRefused(hold->step);
    } else if (const auto *activate = std::get_if<ActivateMap>(&command)) {
        m_generation = std::max(m_generation, activate->stamp.generation);
    }
    sendNext();
}

void EngineCommands::stateRead(const services::EngineState &state)
{
    m_generation = std::max(m_generation, state.generation);
    if (m_staging && state.stagedMap == m_staging) {
        m_staged = m_staging;
        m_staging.reset();
        m_handlers.onStaged(*m_staged);
    }
}

} // namespace lycheelanding::daemon::side::group
