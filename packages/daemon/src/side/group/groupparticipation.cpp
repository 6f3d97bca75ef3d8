#include "side/group/groupparticipation.h"

#include "logging/statelog.h"

namespace lycheelanding::daemon::side::group {

namespace {

constexpr std::chrono::milliseconds storeTimeout(1000);

} // namespace

GroupParticipation::GroupParticipation(asio::io_context &context, http::HttpClient &client, std::string engineUrl,
                                       const std::string &keyValueUrl, const wire::Hello &localHello,
                                       const shared::ConfigurationTable &configuration, report::Metrics &metrics)
    : m_context(context), m_client(client), m_engineUrl(std::move(engineUrl)),
      m_store(client, keyValueUrl, storeTimeout), m_localHello(localHello), m_configuration(configuration),
      m_metrics(metrics)
{ }

void GroupParticipation::applyConfiguration(const configuration::Document &document)
{
    const auto membership = membershipOf(document, m_localHello.vm);
    const std::scoped_lock lock(m_mutex);
    const bool isUnchanged = m_member ? membership == m_member->membership() : !membership;
    if (isUnchanged) {
        return;
    }
    leave();
    if (membership) {
        join(*membership);
    }
}

void GroupParticipation::join(const GroupMembership &membership)
{
    logging::logChange(logging::Level::Info, "joins a rank group",
                       {{"group", membership.group.text()}, {"member", std::to_string(membership.member.number())}});
    if (membership.isCoordinator()) {
        m_coordinator = std::make_shared<GroupCoordinator>(m_context, m_store, m_localHello.incarnation,
                                                           m_configuration, m_metrics, membership);
        m_coordinator->start();
    }
    m_member
        = std::make_shared<GroupMember>(m_context, m_client, m_engineUrl, m_localHello, m_configuration, membership);
    m_member->start();
    m_member->setVms(m_vms);
}

void GroupParticipation::leave()
{
    if (m_member) {
        m_member->stop();
        m_member.reset();
    }
    if (m_coordinator) {
        m_coordinator->stop();
        m_coordinator.reset();
    }
}

void GroupParticipation::setVms(const std::vector<services::VmRow> &rows)
{
    const std::scoped_lock lock(m_mutex);
    m_vms = rows;
    if (m_member) {
        m_member->setVms(rows);
    }
}

std::shared_ptr<GroupCoordinator> GroupParticipation::coordinator() const
{
    const std::scoped_lock lock(m_mutex);
    return m_coordinator;
}

bool GroupParticipation::received(const wire::PeerConnectionPointer &link, const wire::Frame &frame)
{
    if (frame.type == wire::MessageType::MapSwitchReport) {
        const auto report = wire::messageOf<wire::MapSwitchReport>(frame);
        if (const auto target = coordinator(); target && core::isOk(report)) {
            target->reportReceived(link, core::valueOf(report));
        }
        return true;
    }
    if (frame.type == wire::MessageType::ExpertCounts) {
        const auto counts = wire::messageOf<wire::ExpertCounts>(frame);
        if (const auto target = coordinator(); target && core::isOk(counts)) {
            target->countsReceived(core::valueOf(counts));
        }
        return true;
    }
    return false;
}

void GroupParticipation::linkLost(const wire::PeerConnectionPointer &link)
{
    if (const auto target = coordinator()) {
        target->linkLost(link);
    }
}

void GroupParticipation::stop()
{
    const std::scoped_lock lock(m_mutex);
    leave();
}

std::optional<CoordinatorStatus> GroupParticipation::coordinatorStatus() const
{
    const auto target = coordinator();
    return target ? std::optional(target->status()) : std::nullopt;
}

} // namespace lycheelanding::daemon::side::group
