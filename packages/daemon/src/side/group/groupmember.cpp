#include "side/group/groupmember.h"

#include "logging/statelog.h"
#include "shared/randomnumbers.h"
#include "side/group/mapswitchconversion.h"

#include "lycheelanding/wire/peerconnection.h"

#include <asio/post.hpp>

#include <utility>

namespace lycheelanding::daemon::side::group {

namespace {

using namespace decisions::mapswitch;

constexpr std::chrono::milliseconds stateInterval(50);
constexpr std::chrono::milliseconds countsInterval(250);
/// Several times the interval at which a coordinator queries the members that have a session.
constexpr std::chrono::milliseconds sessionInactivityTimeout(4000);

} // namespace

GroupMember::GroupMember(asio::io_context &context, http::HttpClient &client, const std::string &engineUrl,
                         const wire::Hello &localHello, const shared::ConfigurationTable &configuration,
                         GroupMembership membership)
    : m_context(context), m_strand(asio::make_strand(context)), m_engine(client, engineUrl),
      m_configuration(configuration), m_localHello(localHello), m_membership(std::move(membership))
{ }

template <typename Handler>
void GroupMember::post(Handler handler)
{
    asio::post(m_strand, [weak = weak_from_this(), handler = std::move(handler)] {
        const auto self = weak.lock();
        if (self && !self->m_isStopped) {
            handler(*self);
        }
    });
}

void GroupMember::start()
{
    m_links = std::make_unique<shared::PeerLinks>(m_context, m_localHello, m_configuration, linkHandlers());
    m_stateTimer = std::make_unique<runtime::RepeatingTimer>(m_context, stateInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->post([](auto &member) { member.readState(); });
        }
    });
    m_countsTimer = std::make_unique<runtime::RepeatingTimer>(m_context, countsInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->post([](auto &member) { member.readCounts(); });
        }
    });
}

void GroupMember::stop()
{
    m_stateTimer.reset();
    m_countsTimer.reset();
    m_links->closeAll();
    post([](auto &member) {
        member.m_isStopped = true;
        if (member.m_commands) {
            member.m_commands->close();
        }
    });
}

void GroupMember::setVms(const std::vector<services::VmRow> &rows)
{
    for (const auto &row : rows) {
        if (row.vm != m_membership.vms.front()) {
            continue;
        }
        const auto endpoint = wire::endpointFrom(row.address);
        if (core::isOk(endpoint)) {
            m_links->setTargets({{row.vm, core::valueOf(endpoint)}});
        }
    }
}

shared::PeerLinkHandlers GroupMember::linkHandlers()
{
    shared::PeerLinkHandlers handlers;
    handlers.onHelloReceived = [weak = weak_from_this()](const auto &, const auto &link, const auto &) {
        if (const auto self = weak.lock()) {
            self->post([link](auto &member) { member.openSession(link); });
        }
    };
    handlers.onFrame = [weak = weak_from_this()](const auto &, const auto &link, const auto &frame) {
        if (const auto self = weak.lock()) {
            self->post([link, frame](auto &member) { member.received(link, frame); });
        }
    };
    handlers.onLost = [weak = weak_from_this()](const auto &, const auto &link, const auto &) {
        if (const auto self = weak.lock()) {
            self->post([link](auto &member) {
                if (member.m_link == link) {
                    member.m_link = nullptr;
                }
            });
        }
    };
    return handlers;
}

void GroupMember::readState()
{
    if (m_isReadingState) {
        return;
    }
    m_isReadingState = true;
    m_engine.state([weak = weak_from_this()](const core::Result<services::EngineState> &state) {
        if (const auto self = weak.lock()) {
            self->post([state](auto &member) {
                member.m_isReadingState = false;
                if (core::isOk(state)) {
                    member.stateRead(core::valueOf(state));
                }
            });
        }
    });
}

void GroupMember::stateRead(const services::EngineState &state)
{
    if (m_engineIncarnation != state.incarnation) {
        beginIncarnation(state);
        return;
    }
    m_commands->stateRead(state);
    reopenInactiveSession();
    if (state.activeMap != m_activeMap) {
        m_engine.map([weak = weak_from_this()](const core::Result<services::EngineMap> &map) {
            if (const auto self = weak.lock(); self && core::isOk(map)) {
                self->post([map](auto &member) { member.mapRead(core::valueOf(map)); });
            }
        });
    }
    if (state.currentStep > m_gate->engine().nextStep) {
        execute(m_gate->engineStepped(state.currentStep));
    }
}

void GroupMember::beginIncarnation(const services::EngineState &state)
{
    if (m_engineIncarnation) {
        logging::logChange(logging::Level::Warning, "the engine was started anew",
                           {{"group", m_membership.group.text()}});
    }
    m_engineIncarnation = state.incarnation;
    m_activeMap.reset();
    if (m_commands) {
        m_commands->close();
    }
    const auto switchState = engineStateFrom(state);
    m_commands = std::make_shared<EngineCommands>(m_strand, m_engine, switchState, commandHandlers());
    m_gate.emplace(m_membership.member, switchState);
    // A session belongs to one incarnation of the engine; a new session informs the coordinator of the restart.
    if (m_link) {
        openSession(m_link);
    }
}

void GroupMember::mapRead(const services::EngineMap &map)
{
    const bool isFirst = !m_activeMap;
    m_activeMap = map.version;
    m_commands->addMap(map.version, map.map);
    if (isFirst && m_link) {
        openSession(m_link);
    }
}

void GroupMember::openSession(const wire::PeerConnectionPointer &link)
{
    m_link = link;
    m_lastOrderAt = m_clock.now();
    // The first report of a session contains the active map, so the session is opened only after the map was read.
    if (!m_gate || !m_activeMap) {
        return;
    }
    m_isFirstReport = true;
    execute(m_gate->sessionOpened(SessionNumber(shared::randomNumber())));
}

void GroupMember::reopenInactiveSession()
{
    // The coordinator may have discarded the report that opened the session, because it had no configuration yet.
    if (m_link && m_clock.now() - m_lastOrderAt > sessionInactivityTimeout) {
        openSession(m_link);
    }
}

void GroupMember::received(const wire::PeerConnectionPointer &link, const wire::Frame &frame)
{
    if (frame.type != wire::MessageType::MapSwitchOrder || link != m_link || !m_gate) {
        return;
    }
    const auto message = wire::messageOf<wire::MapSwitchOrder>(frame);
    if (!core::isOk(message)) {
        link->closeWith(core::errorOf(message));
        return;
    }
    const auto &order = core::valueOf(message);
    if (order.group != m_membership.group) {
        return;
    }
    m_lastOrderAt = m_clock.now();
    m_commands->addMap(order.map, order.mapText);
    execute(m_gate->order(fromWire(order)));
}

void GroupMember::execute(const GateActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *report = std::get_if<SendReport>(&action)) {
            send(report->report);
        } else if (const auto *stage = std::get_if<StageMap>(&action)) {
            m_commands->execute(*stage);
        } else if (const auto *hold = std::get_if<HoldAt>(&action)) {
            m_commands->execute(*hold);
        } else if (const auto *activate = std::get_if<ActivateMap>(&action)) {
            m_commands->execute(*activate);
        } else if (const auto *resume = std::get_if<ResumeAt>(&action)) {
            m_commands->execute(*resume);
        }
    }
}

void GroupMember::send(const GateReport &report)
{
    if (!m_link) {
        return;
    }
    auto message = toWire(report, m_membership.group);
    if (std::exchange(m_isFirstReport, false)) {
        message.mapText = m_commands->mapTextOf(report.engine.map);
    }
    m_link->send(wire::makeFrame(message, m_configuration.version()));
}

void GroupMember::readCounts()
{
    // The planner uses the counts once per interval, and for large models they are the largest message of a side.
    const auto interval = std::chrono::milliseconds(m_configuration.active()->document.experts.planIntervalMs);
    const auto now = m_clock.now();
    if (now < m_lastCountsAt + interval) {
        return;
    }
    m_lastCountsAt = now;
    m_engine.expertCounts([weak = weak_from_this()](const core::Result<services::EngineExpertCounts> &counts) {
        const auto self = weak.lock();
        if (!self || !core::isOk(counts)) {
            return;
        }
        self->post([counts](auto &member) {
            if (member.m_link) {
                const wire::ExpertCounts message{member.m_membership.group, member.m_membership.member.number(),
                                                 core::valueOf(counts).layers};
                member.m_link->send(wire::makeFrame(message, member.m_configuration.version()));
            }
        });
    });
}

EngineCommandHandlers GroupMember::commandHandlers()
{
    EngineCommandHandlers handlers;
    handlers.onStaged = [this](core::MapVersion map) { execute(m_gate->engineStaged(map)); };
    handlers.onStageFailed = [this](core::MapVersion map) { execute(m_gate->engineStageFailed(map)); };
    handlers.onHeld = [this](core::StepNumber step) { execute(m_gate->engineHeld(step)); };
    handlers.onHoldRefused = [this](core::StepNumber step) { execute(m_gate->engineHoldRefused(step)); };
    return handlers;
}

} // namespace lycheelanding::daemon::side::group
