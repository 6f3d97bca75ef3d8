#include "lycheelanding/wire/peerconnection.h"

#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace lycheelanding::wire {

namespace {

constexpr std::chrono::seconds timeout(20);

/// Runs a listener that echoes every frame, on a separate thread.
class EchoServer
{
public:
    EchoServer()
        : m_listener(m_context, [] {
              PeerHandlers handlers;
              handlers.onOpened = [](const auto &) {};
              handlers.onFrame = [](const auto &connection, const auto &frame) { connection->send(frame); };
              handlers.onClosed = [](const auto &, const auto &) {};
              return handlers;
          })
    {
        EXPECT_TRUE(core::isOk(m_listener.start(core::valueOf(endpointFrom("127.0.0.1:0")))));
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~EchoServer()
    {
        m_context.stop();
        m_thread.join();
    }

    asio::io_context &context() { return m_context; }
    asio::ip::tcp::endpoint endpoint() const { return {asio::ip::make_address("127.0.0.1"), m_listener.port()}; }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work = asio::make_work_guard(m_context);
    PeerListener m_listener;
    std::thread m_thread;
};

/// Sends raw bytes, reads the Goodbye in reply and expects the connection to be closed after it.
core::Result<Goodbye> goodbyeAfterSending(const EchoServer &server, const std::string &bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(server.endpoint());
    asio::write(socket, asio::buffer(bytes));
    FrameHeaderBytes headerBytes{};
    asio::read(socket, asio::buffer(headerBytes));
    const auto header = decodeHeader(headerBytes);
    Frame frame{core::valueOf(header).type, core::valueOf(header).configurationVersion,
                std::string(core::valueOf(header).payloadBytes, '\0')};
    asio::read(socket, asio::buffer(frame.payload));
    asio::error_code error;
    char more = 0;
    asio::read(socket, asio::buffer(&more, 1), error);
    EXPECT_EQ(error, asio::error::eof);
    return messageOf<Goodbye>(frame);
}

std::string headerWith(std::size_t position, char value)
{
    auto bytes = encodeHeader(makeFrame(Hello(), core::ConfigurationVersion()));
    bytes[position] = value;
    return std::string(bytes.begin(), bytes.end());
}

} // namespace

TEST(PeerConnectionTest, invalidFramesCloseOnlyTheirOwnConnection)
{
    EchoServer server;
    std::promise<Frame> echoed;
    PeerHandlers handlers;
    handlers.onOpened = [](const auto &) {};
    handlers.onFrame = [&echoed](const auto &, const auto &frame) { echoed.set_value(frame); };
    handlers.onClosed = [](const auto &, const auto &) {};
    const auto connection = PeerConnection::connect(server.context(), server.endpoint(), timeout, handlers);

    struct Case
    {
        const char *name;
        std::size_t position;
        core::ErrorKind kind;
    };
    for (const auto &[name, position, kind] : {Case{"another protocol", 0, core::ErrorKind::ProtocolMismatch},
                                               Case{"another protocol version", 5, core::ErrorKind::ProtocolMismatch},
                                               Case{"an unknown message", 6, core::ErrorKind::ProtocolMismatch},
                                               Case{"an oversized frame", 16, core::ErrorKind::RequestTooLarge}}) {
        const auto goodbye = goodbyeAfterSending(server, headerWith(position, 0x7f));
        ASSERT_TRUE(core::isOk(goodbye)) << name;
        EXPECT_EQ(core::valueOf(goodbye).kind, kind) << name;
    }

    connection->send(makeFrame(ConfigurationFetch{core::ConfigurationVersion(9)}, core::ConfigurationVersion(3)));
    auto future = echoed.get_future();
    ASSERT_EQ(future.wait_for(timeout), std::future_status::ready);
    EXPECT_EQ(future.get().type, MessageType::ConfigurationFetch);
    connection->close();
}

TEST(PeerConnectionTest, largeFramesAreDeliveredIntact)
{
    EchoServer server;
    std::promise<Frame> echoed;
    PeerHandlers handlers;
    handlers.onOpened = [](const auto &connection) {
        const ConfigurationBody body{core::ConfigurationVersion(9), std::string(maxPayloadBytes / 2, 'x')};
        connection->send(makeFrame(body, core::ConfigurationVersion(3)));
    };
    handlers.onFrame = [&echoed](const auto &, const auto &frame) { echoed.set_value(frame); };
    handlers.onClosed = [](const auto &, const auto &) {};
    const auto connection = PeerConnection::connect(server.context(), server.endpoint(), timeout, handlers);
    auto future = echoed.get_future();
    ASSERT_EQ(future.wait_for(timeout), std::future_status::ready);
    const auto frame = future.get();
    const auto body = messageOf<ConfigurationBody>(frame);
    ASSERT_TRUE(core::isOk(body));
    EXPECT_EQ(core::valueOf(body).document.size(), maxPayloadBytes / 2);
    EXPECT_EQ(frame.configurationVersion, core::ConfigurationVersion(3));
    connection->close();
}

TEST(PeerConnectionTest, abortWhileFramesAreBeingSentIsHarmless)
{
    constexpr int rounds = 200;
    constexpr int frames = 8;
    EchoServer server;
    for (int round = 0; round < rounds; ++round) {
        std::promise<void> closed;
        PeerHandlers handlers;
        handlers.onOpened = [](const auto &connection) {
            const ConfigurationBody body{core::ConfigurationVersion(1), std::string(maxPayloadBytes / 32, 'x')};
            for (int frame = 0; frame < frames; ++frame) {
                connection->send(makeFrame(body, core::ConfigurationVersion(1)));
            }
        };
        handlers.onFrame = [](const auto &connection, const auto &) {
            connection->abort({core::ErrorKind::PeerUnreachable, "aborted"});
        };
        handlers.onClosed = [&closed](const auto &, const auto &) { closed.set_value(); };
        const auto connection = PeerConnection::connect(server.context(), server.endpoint(), timeout, handlers);
        ASSERT_EQ(closed.get_future().wait_for(timeout), std::future_status::ready);
    }
}

TEST(PeerConnectionTest, refusedConnectionIsReportedAsUnreachable)
{
    EchoServer server;
    std::promise<core::Error> closed;
    PeerHandlers handlers;
    handlers.onOpened = [](const auto &) {};
    handlers.onFrame = [](const auto &, const auto &) {};
    handlers.onClosed = [&closed](const auto &, const auto &error) { closed.set_value(error); };
    const asio::ip::tcp::endpoint closedPort(asio::ip::make_address("127.0.0.1"), 1);
    const auto connection = PeerConnection::connect(server.context(), closedPort, timeout, handlers);
    auto future = closed.get_future();
    ASSERT_EQ(future.wait_for(timeout), std::future_status::ready);
    EXPECT_EQ(future.get().kind, core::ErrorKind::PeerUnreachable);
    EXPECT_FALSE(connection->hasSentBytes());
}

TEST(PeerConnectionTest, acceptsOnlyIpAddressesWithPorts)
{
    EXPECT_TRUE(core::isOk(endpointFrom("127.0.0.1:80")));
    for (const auto *address : {"", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:8x"}) {
        EXPECT_FALSE(core::isOk(endpointFrom(address))) << address;
    }
}

} // namespace lycheelanding::wire
