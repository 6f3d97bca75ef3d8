#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/mapswitch/groupleadership.h"
#include "lycheelanding/decisions/membership/backenddirectory.h"
#include "lycheelanding/forwarding/eventlog.h"
#include "lycheelanding/forwarding/suspensiondetector.h"
#include "lycheelanding/rankgroups/commandexecutor.h"
#include "lycheelanding/rankgroups/countsmember.h"
#include "lycheelanding/rankgroups/datagramsocket.h"
#include "lycheelanding/rankgroups/engineinterface.h"
#include "lycheelanding/rankgroups/groupleader.h"
#include "lycheelanding/rankgroups/membersubscriptions.h"
#include "lycheelanding/rankgroups/statussubscribers.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheelanding::rankgroups {

/// Why a call to the store failed.
enum class LeaseFailure : std::uint8_t {
    NoAnswer,
    LeaseEnded,
};

/// The leader's key of a group, as this process has written it.
struct LeaderKey
{
    std::uint64_t revision = 0;
    decisions::distribution::StoreEra era;
};

/// Calls that a side makes to the store.
struct LeaderStoreInterface
{
    std::function<void(std::chrono::milliseconds timeToLive,
                       std::function<void(std::variant<std::uint64_t, LeaseFailure>)>)>
        grantLease;
    std::function<void(std::uint64_t lease, std::function<void(std::optional<LeaseFailure>)>)> renewLease;
    /// The handler gets the new key, or an empty value if the key exists already.
    std::function<void(const core::GroupId &group, std::uint64_t lease,
                       std::function<void(std::variant<std::optional<LeaderKey>, LeaseFailure>)>)>
        writeLeaderKey;
    std::function<void(std::function<void(std::optional<std::vector<decisions::membership::RegisteredBackend>>)>)>
        readBackends;
    /// The handler gets the shape of the service's model.
    std::function<void(const core::ServiceId &service, std::function<void(std::optional<forwarding::ModelShape>)>)>
        readModelShape;
};

struct SideServerSettings
{
    std::string ip;
    /// UDP port of the sides and the entries; the same on all VMs.
    std::uint16_t datagramPort = 0;
    core::ServiceId service;
    asio::ip::tcp::endpoint engine;
    /// Rate of the VM's link, which the VMs of all sides have alike; 0 if unknown.
    double linkBitsPerSecond = 0.0;
};

/// A side: reads the state of the engine on its VM, sends status updates to entries and leaders, and leads its group
/// while it holds the group's lease. Used on the thread of its io_context.
class SideServer
{
public:
    SideServer(asio::io_context &context, const SideServerSettings &settings, EngineInterface engine,
               LeaderStoreInterface store, forwarding::EventLog &log);

    core::Status start();
    /// The store has come back from an older copy.
    void storeEraChanged(decisions::distribution::StoreEra era);

private:
    void tick();
    core::Duration currentReadInterval() const;
    void readEngine();
    void onReport(const std::optional<RankReport> &report);
    void readCountsIfDue();
    void readHeldExpertsIfDue();
    void onDatagram(const asio::ip::udp::endpoint &sender, const Datagram &datagram);
    void onSubscription(const asio::ip::udp::endpoint &sender, const Subscription &subscription);
    void onCountsReport(const std::string &sender, const CountsReport &report);
    void sendStatus();
    void sendCounts(const std::optional<AddressedCounts> &counts);
    bool isLeading() const { return m_leader != nullptr; }

    void execute(const decisions::mapswitch::LeadershipActions &actions);
    void execute(const decisions::mapswitch::GrantLease &action);
    void execute(const decisions::mapswitch::WriteLeaderKey &action);
    void execute(const decisions::mapswitch::RenewLease &action);
    void execute(const decisions::mapswitch::BecameLeader &action);
    void execute(const decisions::mapswitch::LostLeadership &action);
    void execute(const LeaderActions &actions);
    void command(const CommandEngine &action);
    void onReply(const std::string &ip, const CommandReply &reply);
    /// Resigns as leader if the VM was suspended, since the lease may have expired meanwhile.
    void checkSuspension();
    void readBackendsIfDue();
    void subscribeToMembers();
    void readUnresponsiveMembers();

    const SideServerSettings m_settings;
    EngineInterface m_engine;
    LeaderStoreInterface m_store;
    forwarding::EventLog &m_log;
    core::SystemClock m_clock;
    CommandExecutor m_commands;
    asio::steady_timer m_timer;
    DatagramSocket m_socket;
    StatusSubscribers m_subscribers;
    CountsMember m_countsMember;
    /// Address of the group's leader, while it subscribes to this side.
    asio::ip::udp::endpoint m_groupLeader;
    RankReport m_report;
    bool m_hasReport = false;
    bool m_isReading = false;
    bool m_isReadingCounts = false;
    bool m_isReadingHeldExperts = false;
    HeldExperts m_heldExperts;
    std::optional<std::pair<core::Generation, core::MapVersion>> m_heldExpertsVersion;
    decisions::mapswitch::GroupLeadership m_leadership{decisions::mapswitch::LeadershipSettings()};
    std::unique_ptr<GroupLeader> m_leader;
    /// Engines of the local service by the IP address of their VM.
    std::map<std::string, asio::ip::tcp::endpoint> m_engines;
    /// Time of the last status update of each side or direct read of its engine, by the IP address of the VM.
    std::map<std::string, core::TimePoint> m_lastContact;
    struct UnansweredCommands
    {
        core::TimePoint since;
        int sends = 0;
    };
    /// Commands to which a side has not replied yet, by the IP address of its VM.
    std::map<std::string, UnansweredCommands> m_unanswered;
    forwarding::SuspensionDetector m_suspension;
    core::TimePoint m_nextBackendsRead;
    MemberSubscriptions m_memberSubscriptions;
    /// Only while this side leads its group.
    std::optional<CountsTree> m_countsTree;
};

} // namespace lycheelanding::rankgroups
