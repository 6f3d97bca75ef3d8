#include "side/group/groupcoordinator.h"

#include "logging/statelog.h"
#include "shared/randomnumbers.h"
#include "side/group/mapcodec.h"
#include "side/group/mapswitchconversion.h"

#include "lycheelanding/core/nametable.h"

#include <asio/post.hpp>

#include <algorithm>
#include <array>

namespace lycheelanding::daemon::side::group {

namespace {

using namespace decisions::mapswitch;

constexpr std::chrono::milliseconds tickInterval(20);
constexpr core::MapVersion initialMap(1);
/// Number of random low bits of a map version. They prevent two coordinators from giving one version to two maps.
constexpr unsigned versionRandomBits = 20;

constexpr std::array<core::NameEntry<SwitchPhase>, 6> phaseNames{{
    {SwitchPhase::Recovering, "recovering"},
    {SwitchPhase::AwaitingGeneration, "awaitingGeneration"},
    {SwitchPhase::Idle, "idle"},
    {SwitchPhase::Staging, "staging"},
    {SwitchPhase::Arming, "arming"},
    {SwitchPhase::Deciding, "deciding"},
}};

SwitchSettings switchSettings()
{
    SwitchSettings settings;
    // Reports of steps reach the coordinator with a delay. If steps take a few milliseconds, a smaller distance would
    // place the switch at a step that has already begun.
    settings.stepsAhead = 200;
    return settings;
}

decisions::experts::PlannerSettings plannerSettings(const configuration::Experts &experts,
                                                    const decisions::experts::MapShape &shape)
{
    using namespace decisions::experts;
    const auto preset = plannerPresetNamed(experts.weights).value_or(PlannerPreset::LowSkew);
    auto settings = settingsOf(preset, shape, {experts.expertBytes, experts.weightStoreBytesPerSecond});
    settings.skewWeight *= experts.skewWeight;
    settings.movementWeight *= experts.movementWeight;
    return settings;
}

} // namespace

GroupCoordinator::GroupCoordinator(asio::io_context &context, services::HttpKeyValueStore &store,
                                   core::Incarnation incarnation, const shared::ConfigurationTable &configuration,
                                   report::Metrics &metrics, GroupMembership membership)
    : m_context(context), m_strand(asio::make_strand(context)), m_generations(store, membership.group),
      m_configuration(configuration), m_metrics(metrics), m_membership(std::move(membership)),
      m_coordinator(switchSettings(), incarnation, m_membership.vms.size(), initialMap),
      m_planner(m_membership.shape, plannerSettings(configuration.active()->document.experts, m_membership.shape)),
      m_highestVersion(initialMap)
{ }

template <typename Handler>
void GroupCoordinator::post(Handler handler)
{
    asio::post(m_strand, [weak = weak_from_this(), handler = std::move(handler)] {
        const auto self = weak.lock();
        if (self && !self->m_isStopped) {
            handler(*self);
        }
    });
}

void GroupCoordinator::start()
{
    m_tickTimer = std::make_unique<runtime::RepeatingTimer>(m_context, tickInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->post([](auto &coordinator) {
                coordinator.execute(coordinator.m_coordinator.tick(coordinator.m_clock.now()));
                coordinator.plan();
                coordinator.publishStatus();
            });
        }
    });
}

void GroupCoordinator::stop()
{
    m_tickTimer.reset();
    post([](auto &coordinator) { coordinator.m_isStopped = true; });
}

void GroupCoordinator::reportReceived(const wire::PeerConnectionPointer &link, const wire::MapSwitchReport &report)
{
    post([link, report](auto &coordinator) { coordinator.handleReport(link, report); });
}

void GroupCoordinator::handleReport(const wire::PeerConnectionPointer &link, const wire::MapSwitchReport &message)
{
    if (message.group != m_membership.group || message.member >= m_membership.vms.size()) {
        return;
    }
    const SessionNumber session(message.session);
    const MemberIndex member(message.member);
    const auto now = m_clock.now();
    if (!message.mapText.empty()) {
        m_maps[message.map] = message.mapText;
    }
    m_highestVersion = std::max({m_highestVersion, message.map, message.staged.value_or(core::MapVersion())});
    const auto found = m_sessions.find(message.member);
    if (found == m_sessions.end() || found->second.number != session) {
        m_sessions[message.member] = {link, session};
        execute(m_coordinator.sessionOpened(member, session, now));
    }
    execute(m_coordinator.memberReported(fromWire(message), now));
    publishStatus();
}

void GroupCoordinator::linkLost(const wire::PeerConnectionPointer &link)
{
    post([link](auto &coordinator) {
        for (auto &[member, session] : coordinator.m_sessions) {
            if (session.link == link) {
                session.link = nullptr;
                coordinator.execute(coordinator.m_coordinator.sessionClosed(MemberIndex(member), session.number,
                                                                            coordinator.m_clock.now()));
            }
        }
    });
}

void GroupCoordinator::execute(const CoordinatorActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *order = std::get_if<SendOrder>(&action)) {
            send(*order);
        } else if (const auto *request = std::get_if<RequestGeneration>(&action)) {
            requestGeneration(request->known);
        } else if (const auto *done = std::get_if<SwitchFinished>(&action)) {
            switchFinished(*done);
        }
    }
}

void GroupCoordinator::send(const SendOrder &action)
{
    const auto found = m_sessions.find(action.member.number());
    if (found == m_sessions.end() || !found->second.link) {
        return;
    }
    auto message = toWire(action.order, m_membership.group);
    const auto text = m_maps.find(message.map);
    if (message.kind == wire::MapSwitchOrderKind::Stage && text != m_maps.end()) {
        message.mapText = text->second;
    }
    found->second.link->send(wire::makeFrame(message, m_configuration.version()));
}

void GroupCoordinator::requestGeneration(core::Generation known)
{
    m_generations.request(known, [weak = weak_from_this()](core::Generation generation) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->post([generation](auto &coordinator) {
            logging::logChange(logging::Level::Info, "rank group is formed anew",
                               {{"group", coordinator.m_membership.group.text()},
                                {"generation", std::to_string(generation.number())}});
            coordinator.m_metrics.increment(report::Counter::GroupFormations);
            coordinator.execute(coordinator.m_coordinator.generationGranted(generation, coordinator.m_clock.now()));
        });
    });
}

void GroupCoordinator::switchFinished(const SwitchFinished &finished)
{
    m_metrics.increment(finished.hasSucceeded ? report::Counter::MapSwitchesReleased
                                              : report::Counter::MapSwitchesWithdrawn);
    m_metrics.set(report::Gauge::MapVersion, m_coordinator.map().number());
    logging::logChange(logging::Level::Info, "map switch finished",
                       {{"group", m_membership.group.text()},
                        {"map", std::to_string(finished.map.number())},
                        {"inForce", finished.hasSucceeded ? "yes" : "no"}});
    std::erase_if(m_maps, [this](const auto &item) { return item.first < m_coordinator.map(); });
    if (m_planner.isMoveInProgress()) {
        m_planner.moveEnded();
    }
}

void GroupCoordinator::countsReceived(const wire::ExpertCounts &counts)
{
    post([counts](auto &coordinator) {
        if (counts.group == coordinator.m_membership.group && counts.member < coordinator.m_membership.vms.size()) {
            coordinator.m_counts[counts.member] = counts;
        }
    });
}

void GroupCoordinator::observeCounts()
{
    const auto &shape = m_membership.shape;
    decisions::experts::ExpertCounts total(shape.layers, shape.experts, m_clock.now());
    for (std::size_t layer = 0; layer < shape.layers; ++layer) {
        std::vector<std::uint64_t> tokens(shape.experts, 0);
        bool hasCounts = false;
        for (const auto &[member, counts] : m_counts) {
            if (layer >= counts.layers.size() || counts.layers[layer].size() != shape.experts) {
                continue;
            }
            hasCounts = true;
            for (std::size_t expert = 0; expert < shape.experts; ++expert) {
                tokens[expert] += counts.layers[layer][expert];
            }
        }
        for (std::size_t expert = 0; hasCounts && expert < shape.experts; ++expert) {
            total.setTokens(core::LayerIndex(layer), core::ExpertIndex(expert), tokens[expert]);
        }
    }
    m_counts.clear();
    m_planner.observe(total);
}

void GroupCoordinator::plan()
{
    const auto now = m_clock.now();
    if (now < m_nextPlanAt || m_coordinator.phase() != SwitchPhase::Idle) {
        return;
    }
    if (m_planner.isMoveInProgress()) {
        m_planner.moveEnded(); // A recovery has abandoned the move.
    }
    const auto &experts = m_configuration.active()->document.experts;
    m_nextPlanAt = now + std::chrono::milliseconds(experts.planIntervalMs);
    m_planner.configure(plannerSettings(experts, m_membership.shape), now);
    observeCounts();
    const auto text = m_maps.find(m_coordinator.map());
    if (text == m_maps.end()) {
        return;
    }
    const auto current = decodeMap(text->second, m_membership.shape, m_coordinator.map());
    if (!core::isOk(current)) {
        return;
    }
    std::vector<core::RankIndex> ranks;
    for (std::size_t rank = 0; rank < m_membership.shape.ranks; ++rank) {
        ranks.emplace_back(rank);
    }
    m_metrics.increment(report::Counter::PlansMade);
    const auto plan = m_planner.plan(core::valueOf(current), ranks, now);
    if (const auto *move = std::get_if<decisions::experts::Move>(&plan)) {
        startMove(*move);
    }
}

void GroupCoordinator::startMove(const decisions::experts::Move &move)
{
    const auto version = nextVersion();
    m_highestVersion = version;
    m_maps[version] = encodeMap(move.next);
    logging::logChange(logging::Level::Info, "map switch started",
                       {{"group", m_membership.group.text()},
                        {"map", std::to_string(version.number())},
                        {"loads", std::to_string(move.loads.size())},
                        {"bytes", std::to_string(move.bytes)}});
    m_metrics.increment(report::Counter::MapSwitchesStarted);
    m_metrics.increment(report::Counter::ExpertsMoved, move.loads.size());
    m_metrics.increment(report::Counter::ExpertBytesMoved, move.bytes);
    m_planner.moveStarted(move.bytes, m_clock.now());
    execute(m_coordinator.switchTo(version, m_clock.now()));
}

core::MapVersion GroupCoordinator::nextVersion() const
{
    const auto counter = (m_highestVersion.number() >> versionRandomBits) + 1;
    const auto random = shared::randomNumber() & ((std::uint64_t(1) << versionRandomBits) - 1);
    return core::MapVersion((counter << versionRandomBits) | random);
}

void GroupCoordinator::publishStatus()
{
    const std::scoped_lock lock(m_statusMutex);
    m_status = {std::string(core::nameIn(phaseNames, m_coordinator.phase())), m_coordinator.generation(),
                m_coordinator.map()};
}

CoordinatorStatus GroupCoordinator::status() const
{
    const std::scoped_lock lock(m_statusMutex);
    return m_status;
}

} // namespace lycheelanding::daemon::side::group
