#include "lycheelanding/rankgroups/sideserver.h"

#include "lycheelanding/core/stablehash.h"
#include "lycheelanding/forwarding/backendset.h"

#include <utility>

namespace lycheelanding::rankgroups {

namespace {

using namespace decisions::mapswitch;
using forwarding::LogImportance;

/// Interval of reading the local engine; a step takes some ten milliseconds.
constexpr std::chrono::milliseconds readInterval{100};
/// The same while this side leads the group or a leader subscribes to it.
constexpr std::chrono::milliseconds groupReadInterval{50};
/// The same during a map switch: the leader chooses its step from the state that it has read, and waits for the ranks
/// to report their copies.
constexpr std::chrono::milliseconds switchReadInterval{25};
/// How long after a command of the leader the engine is read at the interval of a switch.
constexpr std::chrono::milliseconds switchActivityTime{500};
constexpr std::chrono::seconds backendsReadInterval{5};
/// The same while some rank of the group has no recent status, as after a start.
constexpr std::chrono::seconds incompleteGroupBackendsReadInterval{1};
/// Time without a status update from a side after which the leader reads the engine of that VM directly.
constexpr std::chrono::milliseconds sideInactivityTimeout{600};
/// Time without a reply to commands, and number of commands without one, after which the leader bypasses a side and
/// calls the engine directly. The number matters where commands wait for their window between two sends.
constexpr std::chrono::milliseconds replyTimeout{160};
constexpr int maxUnansweredCommands = 3;

std::int64_t numberOf(core::MapVersion version)
{
    return static_cast<std::int64_t>(version.number());
}

std::int64_t thousandths(double value)
{
    constexpr double scale = 1000.0;
    return static_cast<std::int64_t>(value * scale);
}

/// Whether a side relays the datagram between entries.
bool isForEntries(const Datagram &datagram)
{
    return std::holds_alternative<CrashNotice>(datagram) || std::holds_alternative<ProgressNotice>(datagram)
        || std::holds_alternative<ProbeNotice>(datagram) || std::holds_alternative<LimitNotice>(datagram);
}

CommandLink commandLinkOf(const SideServerSettings &settings)
{
    constexpr double bitsPerByte = 8.0;
    CommandLink link;
    if (settings.linkBitsPerSecond > 0.0) {
        link.bytesPerSecond = settings.linkBitsPerSecond / bitsPerByte;
    }
    return link;
}

} // namespace

SideServer::SideServer(asio::io_context &context, const SideServerSettings &settings, EngineInterface engine,
                       LeaderStoreInterface store, forwarding::EventLog &log)
    : m_settings(settings), m_engine(std::move(engine)), m_store(std::move(store)), m_log(log),
      m_commands(m_engine, settings.engine, settings.ip, log), m_timer(context),
      m_socket(context, [this](const auto &sender, const auto &datagram) { onDatagram(sender, datagram); }),
      m_countsMember(settings.ip)
{ }

core::Status SideServer::start()
{
    const asio::ip::udp::endpoint address(asio::ip::make_address(m_settings.ip), m_settings.datagramPort);
    if (auto status = m_socket.open(address); !core::isOk(status)) {
        return status;
    }
    tick();
    return core::Done();
}

void SideServer::storeEraChanged(decisions::distribution::StoreEra era)
{
    m_log.write(LogImportance::State, "storeEraChanged", {{"era", static_cast<std::int64_t>(era.number())}});
    execute(m_leadership.eraChanged(m_clock.now()));
    m_nextBackendsRead = {};
}

void SideServer::checkSuspension()
{
    if (!m_suspension.hasBeenSuspended()) {
        return;
    }
    m_log.write(LogImportance::State, "resumed", {{"reason", "the VM was suspended"}});
    execute(m_leadership.resign(m_clock.now()));
    m_hasReport = false;
}

void SideServer::tick()
{
    checkSuspension();
    const auto now = m_clock.now();
    readEngine();
    if (m_hasReport && !m_report.group.isEmpty()) {
        execute(m_leadership.tick(m_report.rank.number(), now));
    }
    if (isLeading()) {
        readBackendsIfDue();
        subscribeToMembers();
        readUnresponsiveMembers();
        execute(m_leader->tick(now));
    }
    m_log.flush();
    m_timer.expires_after(currentReadInterval());
    m_timer.async_wait([this](const auto &error) {
        if (!error) {
            tick();
        }
    });
}

core::Duration SideServer::currentReadInterval() const
{
    const bool isMemberSwitching = m_clock.now() - m_commands.lastOrder() < switchActivityTime;
    if (isMemberSwitching || (isLeading() && m_leader->isSwitching())) {
        return switchReadInterval;
    }
    return isLeading() || m_subscribers.hasLeader() ? groupReadInterval : readInterval;
}

void SideServer::readEngine()
{
    if (std::exchange(m_isReading, true)) {
        return;
    }
    m_engine.readReport(m_settings.engine,
                        [this, installed = m_commands.installedFencingToken()](std::optional<RankReport> report) {
                            m_isReading = false;
                            if (report && installed.generation == report->state.generation) {
                                report->installedFencingToken = installed.fencingToken;
                            }
                            onReport(report);
                        });
}

void SideServer::onReport(const std::optional<RankReport> &report)
{
    if (!report) {
        if (std::exchange(m_hasReport, false)) {
            m_log.write(LogImportance::State, "engineSilent", {});
        }
        return;
    }
    if (!std::exchange(m_hasReport, true) || m_report.state.generation != report->state.generation) {
        m_log.write(LogImportance::State, "rankSeen",
                    {{"group", report->group.text()},
                     {"rank", static_cast<std::int64_t>(report->rank.number())},
                     {"generation", static_cast<std::int64_t>(report->state.generation.number())}});
    }
    m_report = *report;
    if (isLeading() && m_leader->group() != m_report.group) {
        execute(m_leadership.resign(m_clock.now()));
    }
    if (isLeading() || m_subscribers.hasLeader()) {
        readCountsIfDue();
        readHeldExpertsIfDue();
    }
    if (isLeading()) {
        execute(m_leader->statusReceived(m_settings.ip, {m_report, 0, m_heldExperts}, m_clock.now()));
    }
    sendStatus();
}

void SideServer::readCountsIfDue()
{
    const auto now = m_clock.now();
    if (m_isReadingCounts || !m_countsMember.isReadDue(m_report.state.step, now)) {
        return;
    }
    m_isReadingCounts = true;
    m_countsMember.readStarted(m_report.state.step, now);
    m_engine.readCounts([this, generation = m_report.state.generation](std::optional<ChoiceCounts> counts) {
        m_isReadingCounts = false;
        if (counts) {
            sendCounts(m_countsMember.countsRead(generation, std::move(*counts), m_clock.now()));
        }
    });
}

void SideServer::readHeldExpertsIfDue()
{
    const auto current = std::pair(m_report.state.generation, m_report.state.map);
    if (m_isReadingHeldExperts || m_heldExpertsVersion == current) {
        return;
    }
    m_isReadingHeldExperts = true;
    m_heldExperts.clear();
    m_engine.readHeldExperts([this, current](std::optional<HeldExperts> held) {
        m_isReadingHeldExperts = false;
        // If the rank has switched maps between the two reads, the answer belongs to another map.
        if (held && current == std::pair(m_report.state.generation, m_report.state.map)) {
            m_heldExperts = std::move(*held);
            m_heldExpertsVersion = current;
        }
    });
}

void SideServer::onDatagram(const asio::ip::udp::endpoint &sender, const Datagram &datagram)
{
    const auto now = m_clock.now();
    if (const auto *subscription = std::get_if<Subscription>(&datagram)) {
        onSubscription(sender, *subscription);
        return;
    }
    const std::string ip = sender.address().to_string();
    if (const auto *counts = std::get_if<CountsReport>(&datagram)) {
        onCountsReport(ip, *counts);
        return;
    }
    if (const auto *order = std::get_if<CommandOrder>(&datagram)) {
        m_commands.executeOrder(*order, [this, sender](const CommandReply &reply) { m_socket.send(sender, reply); });
    } else if (const auto *reply = std::get_if<CommandReply>(&datagram)) {
        onReply(ip, *reply);
    } else if (isForEntries(datagram)) {
        for (const auto &entry : m_subscribers.entriesExcept(sender)) {
            m_socket.send(entry, datagram);
        }
    } else if (isLeading()) {
        m_lastContact[ip] = now;
        const auto &status = std::get<RankStatus>(datagram);
        m_memberSubscriptions.statusReceived(ip, status.report.group == m_leader->group(), now);
        execute(m_leader->statusReceived(ip, status, now));
    }
}

void SideServer::onSubscription(const asio::ip::udp::endpoint &sender, const Subscription &subscription)
{
    const auto now = m_clock.now();
    const bool isLeader = !subscription.ledGroup.empty() && core::GroupId(subscription.ledGroup) == m_report.group;
    if (isLeader && !isLeading()) {
        const CountsRoute route{subscription.countsCollector, std::chrono::milliseconds(subscription.countsIntervalMs)};
        m_countsMember.routed(route);
        m_groupLeader = sender;
        m_leadership.leaderSeen(now);
    }
    const auto otherKind = subscription.ledGroup.empty() ? SubscriberKind::Entry : SubscriberKind::OtherLeader;
    m_subscribers.subscribed(sender, isLeader ? SubscriberKind::Leader : otherKind, now, subscription.demands);
}

void SideServer::onCountsReport(const std::string &sender, const CountsReport &report)
{
    if (isLeading()) {
        execute(m_leader->countsReported(sender, report, m_clock.now()));
    } else if (m_hasReport && report.generation == m_report.state.generation) {
        sendCounts(m_countsMember.reportReceived(sender, report, m_clock.now()));
    }
}

void SideServer::sendCounts(const std::optional<AddressedCounts> &counts)
{
    if (!counts) {
        return;
    }
    if (isLeading()) {
        execute(m_leader->countsReported(m_settings.ip, counts->report, m_clock.now()));
    } else if (!counts->collector.empty()) {
        m_socket.send({asio::ip::make_address(counts->collector), m_settings.datagramPort}, counts->report);
    } else if (m_subscribers.hasLeader()) {
        m_socket.send(m_groupLeader, counts->report);
    }
}

void SideServer::sendStatus()
{
    for (const auto &[receiver, status] : m_subscribers.due({m_report, 0, m_heldExperts}, m_clock.now())) {
        m_socket.send(receiver, status);
    }
}

void SideServer::execute(const LeadershipActions &actions)
{
    for (const auto &action : actions) {
        std::visit([this](const auto &each) { execute(each); }, action);
    }
}

void SideServer::execute(const GrantLease &action)
{
    m_store.grantLease(action.timeToLive, [this, call = action.call](const auto &answer) {
        const auto now = m_clock.now();
        if (const auto *lease = std::get_if<std::uint64_t>(&answer)) {
            execute(m_leadership.leaseGranted(call, *lease, now));
        } else {
            execute(m_leadership.callFailed(call, false, now));
        }
    });
}

void SideServer::execute(const WriteLeaderKey &action)
{
    m_store.writeLeaderKey(m_report.group, action.lease, [this, call = action.call](const auto &answer) {
        const auto now = m_clock.now();
        if (const auto *key = std::get_if<std::optional<LeaderKey>>(&answer)) {
            const auto revision = *key ? std::optional((*key)->revision) : std::nullopt;
            execute(
                m_leadership.keyWritten(call, revision, *key ? (*key)->era : decisions::distribution::StoreEra(), now));
        } else {
            execute(m_leadership.callFailed(call, std::get<LeaseFailure>(answer) == LeaseFailure::LeaseEnded, now));
        }
    });
}

void SideServer::execute(const RenewLease &action)
{
    m_store.renewLease(action.lease, [this, call = action.call](const std::optional<LeaseFailure> &failure) {
        const auto now = m_clock.now();
        if (failure) {
            execute(m_leadership.callFailed(call, *failure == LeaseFailure::LeaseEnded, now));
        } else {
            execute(m_leadership.leaseRenewed(call));
        }
    });
}

void SideServer::execute(const BecameLeader &action)
{
    m_log.write(LogImportance::State, "leading",
                {{"group", m_report.group.text()}, {"fence", static_cast<std::int64_t>(action.fencingToken.number())}});
    m_nextBackendsRead = {};
    m_store.readModelShape(m_settings.service,
                           [this, fencingToken = action.fencingToken,
                            group = m_report.group](std::optional<forwarding::ModelShape> shape) {
                               if (!m_leadership.isLeader() || m_leadership.fencingToken() != fencingToken) {
                                   return;
                               }
                               if (!shape || shape->layers == 0) {
                                   execute(m_leadership.resign(m_clock.now()));
                                   return;
                               }
                               m_leader = std::make_unique<GroupLeader>(group, fencingToken, *shape,
                                                                        commandLinkOf(m_settings));
                               m_memberSubscriptions = {};
                               m_countsTree.emplace(m_leader->countsPerRank(), m_settings.linkBitsPerSecond);
                           });
}

void SideServer::execute(const LostLeadership &)
{
    m_log.write(LogImportance::State, "leadershipLost", {{"group", m_report.group.text()}});
    m_leader.reset();
}

void SideServer::execute(const LeaderActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *engineCommand = std::get_if<CommandEngine>(&action)) {
            command(*engineCommand);
        } else if (const auto *switchEvent = std::get_if<MapSwitchEvent>(&action)) {
            m_log.write(LogImportance::State, switchEvent->event,
                        {{"map", numberOf(switchEvent->map)},
                         {"loads", static_cast<std::int64_t>(switchEvent->loads)},
                         {"skewBefore1000", thousandths(switchEvent->skewBefore)},
                         {"skewAfter1000", thousandths(switchEvent->skewAfter)}});
        } else {
            execute(m_leadership.resign(m_clock.now()));
            return;
        }
    }
}

void SideServer::command(const CommandEngine &action)
{
    checkSuspension();
    if (!isLeading()) {
        return;
    }
    const auto onAnswer = [this, ip = action.ip, number = action.number,
                           fencingToken = action.command.fencingToken](CommandAnswer answer) {
        onReply(ip, {number, fencingToken, answer});
    };
    if (action.ip == m_settings.ip) {
        m_commands.execute(action.command, onAnswer);
        return;
    }
    // Normally the side on the engine's VM sends the command, since a local call is cheap. If the side does not reply,
    // it may have failed while the engine still runs.
    const auto now = m_clock.now();
    auto &unanswered = m_unanswered.try_emplace(action.ip, UnansweredCommands{now}).first->second;
    if (unanswered.sends > 0) {
        logCommand(m_log, "commandRepeated", action.ip, action.command.command, CommandAnswer::None);
    }
    if (now - unanswered.since < replyTimeout || unanswered.sends < maxUnansweredCommands) {
        ++unanswered.sends;
        m_socket.send({asio::ip::make_address(action.ip), m_settings.datagramPort},
                      CommandOrder{action.number, action.command});
        return;
    }
    const auto engine = m_engines.find(action.ip);
    if (engine != m_engines.end()) {
        m_engine.command(engine->second, action.command, onAnswer);
    }
}

void SideServer::onReply(const std::string &ip, const CommandReply &reply)
{
    if (reply.answer != CommandAnswer::None) {
        m_unanswered.erase(ip);
    }
    checkSuspension();
    if (isLeading() && m_leadership.fencingToken() == reply.fencingToken) {
        execute(m_leader->answered(ip, reply.number, reply.answer, m_clock.now()));
    }
}

void SideServer::readBackendsIfDue()
{
    const auto now = m_clock.now();
    if (now < m_nextBackendsRead) {
        return;
    }
    m_nextBackendsRead
        = now + (m_leader->isGroupReady(now) ? backendsReadInterval : incompleteGroupBackendsReadInterval);
    m_store.readBackends([this](const auto &backends) {
        if (!backends) {
            return;
        }
        m_engines.clear();
        for (const auto &backend : *backends) {
            const auto endpoint = forwarding::endpointFrom(backend.address);
            if (endpoint && backend.service == m_settings.service) {
                m_engines[endpoint->address().to_string()] = *endpoint;
            }
        }
    });
}

void SideServer::readUnresponsiveMembers()
{
    const auto now = m_clock.now();
    for (const auto &item : m_engines) {
        const std::string &ip = item.first;
        const auto &engine = item.second;
        auto &lastContact = m_lastContact[ip];
        if (ip == m_settings.ip || now - lastContact < sideInactivityTimeout
            || m_memberSubscriptions.isInOtherGroup(ip, now)) {
            continue;
        }
        // The next read follows after the same time.
        lastContact = now;
        m_engine.readReport(engine, [this, ip](const std::optional<RankReport> &report) {
            if (report && isLeading()) {
                execute(m_leader->statusReceived(ip, {*report, 0, {}}, m_clock.now()));
            }
        });
    }
}

void SideServer::subscribeToMembers()
{
    const auto now = m_clock.now();
    std::vector<std::string> sides;
    for (const auto &[ip, engine] : m_engines) {
        if (ip != m_settings.ip) {
            sides.push_back(ip);
        }
    }
    const auto due = m_memberSubscriptions.due(sides, now);
    if (due.empty()) {
        return;
    }
    m_countsTree->update(m_memberSubscriptions.members(), m_memberSubscriptions.unresponsive(now));
    m_countsMember.routed({{}, m_countsTree->routeOf({}).interval});
    for (const auto &ip : due) {
        const auto route = m_countsTree->routeOf(ip);
        const auto interval = std::chrono::duration_cast<std::chrono::milliseconds>(route.interval);
        m_socket.send(
            {asio::ip::make_address(ip), m_settings.datagramPort},
            Subscription{m_leader->group().text(), route.collector, static_cast<std::uint32_t>(interval.count())});
    }
}

} // namespace lycheelanding::rankgroups
