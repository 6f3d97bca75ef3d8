#pragma once

#include "shared/configurationtable.h"
#include "side/group/enginecommands.h"
#include "side/group/generationstore.h"
#include "side/group/groupmembership.h"

#include "lycheelanding/decisions/experts/expertplanner.h"
#include "lycheelanding/decisions/mapswitch/switchcoordinator.h"
#include "lycheelanding/report/metrics.h"
#include "lycheelanding/wire/mapswitchmessages.h"
#include "lycheelanding/wire/peerconnection.h"
#include "runtime/workerpool.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheelanding::daemon::side::group {

/// Status of a coordinator as shown to operators.
struct CoordinatorStatus
{
    std::string phase;
    core::Generation generation;
    core::MapVersion map;
};

/// Coordinates the map switches of a rank group and plans the placement of its experts. Runs in the side of rank 0.
///
/// Public members may be called from any thread; the work runs on the coordinator's own strand.
class GroupCoordinator : public std::enable_shared_from_this<GroupCoordinator>
{
public:
    GroupCoordinator(asio::io_context &context, services::HttpKeyValueStore &store, core::Incarnation incarnation,
                     const shared::ConfigurationTable &configuration, report::Metrics &metrics,
                     GroupMembership membership);

    void start();
    void stop();
    void reportReceived(const wire::PeerConnectionPointer &link, const wire::MapSwitchReport &report);
    void countsReceived(const wire::ExpertCounts &counts);
    void linkLost(const wire::PeerConnectionPointer &link);

    CoordinatorStatus status() const;

private:
    struct Session
    {
        wire::PeerConnectionPointer link;
        decisions::mapswitch::SessionNumber number;
    };

    template <typename Handler>
    void post(Handler handler);
    void handleReport(const wire::PeerConnectionPointer &link, const wire::MapSwitchReport &report);
    void execute(const decisions::mapswitch::CoordinatorActions &actions);
    void send(const decisions::mapswitch::SendOrder &action);
    void requestGeneration(core::Generation known);
    void switchFinished(const decisions::mapswitch::SwitchFinished &finished);
    void plan();
    void startMove(const decisions::experts::Move &move);
    void observeCounts();
    core::MapVersion nextVersion() const;
    void publishStatus();

    asio::io_context &m_context;
    Strand m_strand;
    GenerationStore m_generations;
    const shared::ConfigurationTable &m_configuration;
    report::Metrics &m_metrics;
    const GroupMembership m_membership;
    core::SystemClock m_clock;
    std::unique_ptr<runtime::RepeatingTimer> m_tickTimer;
    mutable std::mutex m_statusMutex;
    CoordinatorStatus m_status;
    // The members below are accessed only on the strand.
    bool m_isStopped = false;
    decisions::mapswitch::SwitchCoordinator m_coordinator;
    decisions::experts::ExpertPlanner m_planner;
    std::map<std::uint64_t, Session> m_sessions;
    std::map<std::uint64_t, wire::ExpertCounts> m_counts;
    std::map<core::MapVersion, std::string> m_maps;
    core::MapVersion m_highestVersion;
    core::TimePoint m_nextPlanAt;
};

} // namespace lycheelanding::daemon::side::group
