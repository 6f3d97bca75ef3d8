#include "shared/peerlinks.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <optional>

namespace lycheelanding::daemon::shared {

namespace {

constexpr std::chrono::milliseconds runTime{20};
/// Longer than the interval at which PeerLinks checks its connections.
constexpr std::chrono::milliseconds checkTime{200};

/// PeerLinks with one peer, which has sent its Hello.
class PeerLinksInUseTest : public testing::Test
{
protected:
    PeerLinksInUseTest() : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}), m_target(targetOf())
    {
        PeerLinkHandlers handlers;
        handlers.onHelloReceived = [](const auto &, const auto &, const auto &) {};
        handlers.onFrame = [](const auto &, const auto &, const auto &) {};
        handlers.onLost = [this](const auto &, const auto &, const auto &) { ++m_lostCalls; };
        handlers.isInUse = [this](const auto &) { return m_isInUse; };
        m_links.emplace(m_context, wire::Hello{}, m_configuration, handlers);
        m_links->setTargets({m_target});
        m_peer = wire::PeerConnection::adopt(m_context, m_acceptor.accept(), peerHandlers());
        wire::Hello hello;
        hello.vm = m_target.vm;
        m_peer->send(wire::makeFrame(hello, m_configuration.version()));
        runUntil([this] { return m_links->find(m_target.vm) != nullptr; });
    }

    void run()
    {
        m_context.restart();
        m_context.run_for(checkTime);
    }

    /// The bound only ends a test that would hang.
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        constexpr int maxRounds = 1000;
        for (int round = 0; round < maxRounds && !condition(); ++round) {
            m_context.restart();
            m_context.run_for(std::chrono::milliseconds(10));
        }
        return condition();
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    const PeerTarget m_target;
    const ConfigurationTable m_configuration;
    std::optional<PeerLinks> m_links;
    wire::PeerConnectionPointer m_peer;
    int m_lostCalls = 0;
    bool m_isInUse = true;

private:
    PeerTarget targetOf() const { return {core::VmId("peer"), m_acceptor.local_endpoint()}; }

    static wire::PeerHandlers peerHandlers()
    {
        wire::PeerHandlers handlers;
        handlers.onOpened = [](const auto &) {};
        handlers.onFrame = [](const auto &, const auto &) {};
        handlers.onClosed = [](const auto &, const auto &) {};
        return handlers;
    }
};

} // namespace

// One VM list without a VM, or another choice of backend servers by the entry, cut off all requests in progress there.
TEST_F(PeerLinksInUseTest, connectionToARemovedTargetStaysOpenWhileItIsInUse)
{
    ASSERT_NE(m_links->find(m_target.vm), nullptr);
    m_links->setTargets({});
    run();
    EXPECT_EQ(m_links->find(m_target.vm), nullptr);
    EXPECT_TRUE(m_peer->isOpen());
    EXPECT_EQ(m_lostCalls, 0);
    m_isInUse = false;
    EXPECT_TRUE(runUntil([this] { return !m_peer->isOpen() && m_lostCalls == 1; }));
}

TEST_F(PeerLinksInUseTest, connectionIsUsedAgainWhenItsTargetReturns)
{
    const auto link = m_links->find(m_target.vm);
    ASSERT_NE(link, nullptr);
    m_links->setTargets({});
    m_links->setTargets({m_target});
    run();
    EXPECT_EQ(m_links->find(m_target.vm), link);
    EXPECT_EQ(m_lostCalls, 0);
}

TEST_F(PeerLinksInUseTest, closeAllAlsoClosesConnectionsInUse)
{
    m_links->setTargets({});
    m_links->closeAll();
    EXPECT_TRUE(runUntil([this] { return !m_peer->isOpen(); }));
}

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
