#pragma once

#include "lycheelanding/rankgroups/rankreport.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace lycheelanding::rankgroups {

/// From an entry or a group's leader to a side: send what you know for the next seconds.
struct Subscription
{
    /// Set by a leader, which also wants counts and maps: the group that it leads.
    std::string ledGroup;
};

/// From a side to its subscribers.
struct RankStatus
{
    RankReport report;
    /// Entries that the side tells its news.
    std::uint32_t entries = 0;
    /// Only to leaders: choices since the rank's start; empty when they were not read.
    ChoiceCounts counts;
    /// Only to leaders: the experts of the map in force.
    HeldExperts heldExperts;
};

/// From a group's leader to a side: give the command to the engine on your VM.
struct CommandOrder
{
    std::uint64_t number = 0;
    EngineCommandRequest command;
};

/// The engine's answer to a CommandOrder. A side sends none when it has got none.
struct CommandReply
{
    std::uint64_t number = 0;
    decisions::mapswitch::FencingToken fencingToken;
    decisions::mapswitch::CommandAnswer answer = decisions::mapswitch::CommandAnswer::None;
};

using Datagram = std::variant<Subscription, RankStatus, CommandOrder, CommandReply>;

std::string encodeDatagram(const Datagram &datagram);
/// Nothing for bytes that are no such message of this protocol version.
std::optional<Datagram> decodeDatagram(std::string_view bytes);

} // namespace lycheelanding::rankgroups
