#pragma once

#include "lycheelanding/rankgroups/rankreport.h"

#include <asio/ip/tcp.hpp>

#include <functional>
#include <optional>

namespace lycheelanding::rankgroups {

/// Calls that a side makes to engines. Handlers get an empty value if the engine did not answer.
struct EngineInterface
{
    std::function<void(const asio::ip::tcp::endpoint &engine, std::function<void(std::optional<RankReport>)>)>
        readReport;
    // Calls to the engine on the local VM.
    std::function<void(std::function<void(std::optional<ChoiceCounts>)>)> readCounts;
    std::function<void(std::function<void(std::optional<HeldExperts>)>)> readHeldExperts;
    std::function<void(const asio::ip::tcp::endpoint &engine, const EngineCommandRequest &command,
                       std::function<void(decisions::mapswitch::CommandAnswer)>)>
        command;
};

} // namespace lycheelanding::rankgroups
