#pragma once

#include "runtime/workerpool.h"
#include "shared/configurationtable.h"
#include "shared/peerlinks.h"
#include "side/group/enginecommands.h"
#include "side/group/groupmembership.h"

#include "lycheelanding/decisions/mapswitch/rankgate.h"
#include "lycheelanding/services/modelengine.h"
#include "lycheelanding/services/vmlist.h"
#include "lycheelanding/wire/mapswitchmessages.h"

#include <memory>
#include <optional>
#include <vector>

namespace lycheelanding::daemon::side::group {

/// Takes part in the map switches of the rank group: opens a session to the group's coordinator, executes its orders
/// and reports the state of the local engine.
///
/// Public members may be called from any thread; the work runs on the member's own strand.
class GroupMember : public std::enable_shared_from_this<GroupMember>
{
public:
    GroupMember(asio::io_context &context, http::HttpClient &client, const std::string &engineUrl,
                const wire::Hello &localHello, const shared::ConfigurationTable &configuration,
                GroupMembership membership);

    void start();
    void stop();
    /// Updates the address of the coordinator from the VM list.
    void setVms(const std::vector<services::VmRow> &rows);

    const GroupMembership &membership() const { return m_membership; }

private:
    shared::PeerLinkHandlers linkHandlers();
    void readState();
    void stateRead(const services::EngineState &state);
    void beginIncarnation(const services::EngineState &state);
    void mapRead(const services::EngineMap &map);
    void openSession(const wire::PeerConnectionPointer &link);
    void reopenInactiveSession();
    void received(const wire::PeerConnectionPointer &link, const wire::Frame &frame);
    void execute(const decisions::mapswitch::GateActions &actions);
    void send(const decisions::mapswitch::GateReport &report);
    void readCounts();
    EngineCommandHandlers commandHandlers();
    template <typename Handler>
    void post(Handler handler);

    asio::io_context &m_context;
    Strand m_strand;
    services::HttpModelEngine m_engine;
    const shared::ConfigurationTable &m_configuration;
    const wire::Hello m_localHello;
    const GroupMembership m_membership;
    core::SystemClock m_clock;
    std::unique_ptr<runtime::RepeatingTimer> m_stateTimer;
    std::unique_ptr<runtime::RepeatingTimer> m_countsTimer;
    // The members below are accessed only on the strand.
    bool m_isStopped = false;
    bool m_isReadingState = false;
    std::optional<core::Incarnation> m_engineIncarnation;
    std::optional<decisions::mapswitch::RankGate> m_gate;
    std::shared_ptr<EngineCommands> m_commands;
    std::optional<core::MapVersion> m_activeMap;
    wire::PeerConnectionPointer m_link;
    bool m_isFirstReport = true;
    core::TimePoint m_lastOrderAt;
    core::TimePoint m_lastCountsAt;
    std::unique_ptr<shared::PeerLinks> m_links;
};

} // namespace lycheelanding::daemon::side::group
