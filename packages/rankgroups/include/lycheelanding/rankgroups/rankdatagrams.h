#pragma once

#include "lycheelanding/decisions/intake/demandshares.h"
#include "lycheelanding/decisions/quarantine/requestfeatures.h"
#include "lycheelanding/rankgroups/countscollector.h"
#include "lycheelanding/rankgroups/rankreport.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheelanding::rankgroups {

/// From an entry or a group's leader to a side: requests status updates until the subscription expires.
struct Subscription
{
    /// The group that the sender leads; empty from an entry. A leader also gets counts and held experts.
    std::string ledGroup;
    /// Only from a leader: IP address of the side that collects the receiver's counts; empty for the leader itself.
    std::string countsCollector;
    /// Only from a leader: interval of sending counts.
    std::uint32_t countsIntervalMs = 0;
    /// Only from an entry: its demand for services with limited backend servers.
    std::vector<decisions::intake::ServiceDemand> demands = {};
};

/// Status update from a side to its subscribers.
struct RankStatus
{
    RankReport report;
    /// Number of entries that subscribe to the side.
    std::uint32_t entries = 0;
    /// Only to leaders: the rank's experts in the active map.
    HeldExperts heldExperts;
    /// Only to entries: position of the receiver among them, from 0.
    std::uint32_t entryIndex = 0;
    /// Only to entries: what those that subscribe have reported.
    std::vector<decisions::intake::TotalDemand> demands = {};
};

/// From a group's leader to a side: sends the command to the engine on the side's VM.
struct CommandOrder
{
    std::uint64_t number = 0;
    EngineCommandRequest command;
};

/// The engine's answer to a CommandOrder. A side sends no reply if the engine did not answer.
struct CommandReply
{
    std::uint64_t number = 0;
    decisions::mapswitch::FencingToken fencingToken;
    decisions::mapswitch::CommandAnswer answer = decisions::mapswitch::CommandAnswer::None;
};

/// From an entry to some sides, which relay it to the other entries: a backend server crashed while it held a request
/// with these features.
struct CrashNotice
{
    /// One incarnation of a backend server.
    std::string backend;
    decisions::quarantine::RequestFeatures features;
    std::uint32_t ageMs = 0;
};

/// The same way: a request with these features has been answered in part without a crash.
struct ProgressNotice
{
    decisions::quarantine::RequestFeatures features;
    std::uint32_t ageMs = 0;
};

/// The same way: a request with these features was sent to find out whether they crash backend servers.
struct ProbeNotice
{
    decisions::quarantine::RequestFeatures features;
    std::uint32_t ageMs = 0;
};

/// The same way: a backend server states a limit of requests in its answers, or does no longer.
struct LimitNotice
{
    std::string backend;
    std::uint64_t startedAtMs = 0;
    std::optional<double> perSecond;
    std::uint32_t ageMs = 0;
};

/// CountsReport: from a side to its collector, and from a collector to the group's leader.
using Datagram = std::variant<Subscription, RankStatus, CommandOrder, CommandReply, CountsReport, CrashNotice,
                              ProgressNotice, ProbeNotice, LimitNotice>;

/// Guards against foreign bytes: larger datagrams are rejected before decoding, and a text or list in one that claims
/// to be longer is not allocated.
constexpr std::size_t maxDatagramBytes = 32UL * 1024;

std::string encodeDatagram(const Datagram &datagram);
/// Empty if the bytes are not a valid message of this protocol version.
std::optional<Datagram> decodeDatagram(std::string_view bytes);

} // namespace lycheelanding::rankgroups
