#include "shared/peerlinks.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <gtest/gtest.h>

#include <memory>

namespace lycheelanding::daemon::shared {

namespace {

constexpr std::chrono::milliseconds runTime{20};

} // namespace

/// Guards against a use after free: a side that left its group destroyed its PeerLinks while a connection was still
/// closing, and the connection then called a handler of the destroyed object. This crashed
/// GuaranteeRounds.plannedStopsCutOffNothing.
TEST(PeerLinksTest, connectionsClosingAfterDestructionCallNoHandlers)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    const ConfigurationTable configuration;
    int lostCalls = 0;
    PeerLinkHandlers handlers;
    handlers.onHelloReceived = [](const auto &, const auto &, const auto &) {};
    handlers.onFrame = [](const auto &, const auto &, const auto &) {};
    handlers.onLost = [&lostCalls](const auto &, const auto &, const auto &) { ++lostCalls; };
    auto links = std::make_unique<PeerLinks>(context, wire::Hello{}, configuration, handlers);
    links->setTargets({{core::VmId("peer"), acceptor.local_endpoint()}});
    auto peer = acceptor.accept();
    context.run_for(runTime);
    links->closeAll();
    links.reset();
    context.restart();
    context.run_for(runTime);
    EXPECT_EQ(lostCalls, 0);
}

} // namespace lycheelanding::daemon::shared
