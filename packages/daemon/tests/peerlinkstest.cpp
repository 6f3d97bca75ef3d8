#include "shared/peerlinks.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <gtest/gtest.h>

#include <memory>

namespace lycheelanding::daemon::shared {

namespace {

constexpr std::chrono::milliseconds stepTime{20};

} // namespace

/// A side that left its group destroyed its links while one of them was still being closed; the connection then called
/// into the destroyed object (a crash in GuaranteeRounds.plannedStopsCutOffNothing).
TEST(PeerLinks, connectionsThatEndAfterTheirOwnerCallNobody)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    const ConfigurationTable configuration;
    int lostCalls = 0;
    PeerLinkHandlers handlers;
    handlers.onIntroduced = [](const auto &, const auto &, const auto &) {};
    handlers.onFrame = [](const auto &, const auto &, const auto &) {};
    handlers.onLost = [&lostCalls](const auto &, const auto &, const auto &) { ++lostCalls; };
    auto links = std::make_unique<PeerLinks>(context, wire::Hello{}, configuration, handlers);
    links->setTargets({{core::VmId("peer"), acceptor.local_endpoint()}});
    auto peer = acceptor.accept();
    context.run_for(stepTime);
    links->closeAll();
    links.reset();
    context.restart();
    context.run_for(stepTime);
    EXPECT_EQ(lostCalls, 0);
}

} // namespace lycheelanding::daemon::shared
