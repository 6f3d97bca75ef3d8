#pragma once

#include "shared/configurationtable.h"
#include "side/group/groupcoordinator.h"
#include "side/group/groupmember.h"

#include "lycheelanding/http/httpclient.h"
#include "lycheelanding/report/metrics.h"
#include "lycheelanding/services/keyvaluestore.h"
#include "lycheelanding/services/vmlist.h"
#include "lycheelanding/wire/peerconnection.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lycheelanding::daemon::side::group {

/// Joins and leaves rank groups as the configuration changes. Members may be called from any thread.
class GroupParticipation
{
public:
    GroupParticipation(asio::io_context &context, http::HttpClient &client, std::string engineUrl,
                       const std::string &keyValueUrl, const wire::Hello &localHello,
                       const shared::ConfigurationTable &configuration, report::Metrics &metrics);

    void applyConfiguration(const configuration::Document &document);
    void setVms(const std::vector<services::VmRow> &rows);
    /// Handles a frame of another side. Returns true when it carried a message of a rank group.
    bool received(const wire::PeerConnectionPointer &link, const wire::Frame &frame);
    void linkLost(const wire::PeerConnectionPointer &link);
    void stop();

    /// None unless this side has rank 0 of its group and therefore runs the coordinator.
    std::optional<CoordinatorStatus> coordinatorStatus() const;

private:
    void leave();
    void join(const GroupMembership &membership);
    std::shared_ptr<GroupCoordinator> coordinator() const;

    asio::io_context &m_context;
    http::HttpClient &m_client;
    const std::string m_engineUrl;
    services::HttpKeyValueStore m_store;
    const wire::Hello m_localHello;
    const shared::ConfigurationTable &m_configuration;
    report::Metrics &m_metrics;
    mutable std::mutex m_mutex;
    std::vector<services::VmRow> m_vms;
    std::shared_ptr<GroupMember> m_member;
    std::shared_ptr<GroupCoordinator> m_coordinator;
};

} // namespace lycheelanding::daemon::side::group
