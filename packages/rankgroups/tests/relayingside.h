#pragma once

#include "lycheelanding/rankgroups/rankstatusreceiver.h"
#include "lycheelanding/rankgroups/sideserver.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace lycheelanding::rankgroups {

inline const std::string sideIp = "127.0.0.53";

/// A port that is free on the side's address now.
inline std::uint16_t freePort(asio::io_context &context)
{
    const asio::ip::udp::socket socket(context, {asio::ip::make_address(sideIp), 0});
    return socket.local_endpoint().port();
}

inline EngineInterface silentEngine()
{
    EngineInterface engine;
    engine.readReport = [](const auto &, auto onReport) { onReport(std::nullopt); };
    return engine;
}

/// A side that only relays.
struct RelayingSide
{
    explicit RelayingSide(asio::io_context &context)
        : port(freePort(context)), server(context, settings(port), silentEngine(), LeaderStoreInterface(), log)
    {
        isOpen = core::isOk(server.start());
    }

    static SideServerSettings settings(std::uint16_t port)
    {
        SideServerSettings settings;
        settings.ip = sideIp;
        settings.datagramPort = port;
        return settings;
    }

    std::uint16_t port;
    forwarding::EventLog log{-1, "side"};
    SideServer server;
    bool isOpen = false;
};

/// An entry with one backend server, beside which the side runs.
struct Entry
{
    Entry(asio::io_context &context, const std::string &ip, std::uint16_t port)
        : log(-1, ip), server(context, forwarding::EntryServerSettings(), log), receiver(context, server, port)
    {
        forwarding::ForwardingConfiguration configuration;
        configuration.version = core::ConfigurationVersion(1);
        configuration.services = {{core::ServiceId("drafts"), 0, forwarding::ModelShape()}};
        server.installConfiguration(configuration);
        forwarding::RegisteredBackend backend;
        backend.id = forwarding::BackendId("backend-1");
        backend.service = core::ServiceId("drafts");
        backend.address = sideIp + ":8000";
        server.applyBackendChanges({decisions::membership::BackendUsable{backend}});
        isOpen = core::isOk(receiver.open(ip));
    }

    forwarding::EventLog log;
    forwarding::EntryServer server;
    RankStatusReceiver receiver;
    bool isOpen = false;
};

template <typename Condition>
bool runUntil(asio::io_context &context, Condition condition)
{
    constexpr int maxRounds = 1000;
    for (int round = 0; round < maxRounds && !condition(); ++round) {
        context.run_one_for(std::chrono::milliseconds(10));
        context.restart();
    }
    return condition();
}

} // namespace lycheelanding::rankgroups
