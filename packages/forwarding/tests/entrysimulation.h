#pragma once

#include "lycheelanding/forwarding/entryserver.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lycheelanding::forwarding {

/// Response of a fake backend server to a request, and whether it then closes or resets the connection.
struct ScriptedResponse
{
    std::string bytes;
    bool closesConnection = false;
    bool resetsConnection = false;
    /// Sent after `delay` on the same connection, if not empty.
    std::string delayedBytes = {};
    std::chrono::milliseconds delay{};
    /// The backend server ends: its connections are closed, and it accepts no more of them.
    bool endsBackend = false;
};

/// A backend server that answers each request as the test's script says. Request bodies are short and arrive together
/// with the head.
class FakeBackend
{
public:
    using Script = std::function<ScriptedResponse(const std::string &request)>;

    FakeBackend(asio::io_context &context, Script script)
        : m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}), m_script(std::move(script))
    {
        accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    std::size_t connectionCount() const { return m_connections; }

    std::vector<std::string> requests;
    int endedConnections = 0;
    /// Error code with which the last of them ended.
    asio::error_code lastEnd;

private:
    struct Connection
    {
        explicit Connection(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted)), delayTimer(socket.get_executor())
        { }
        asio::ip::tcp::socket socket;
        asio::steady_timer delayTimer;
        std::array<char, 8192> buffer{};
        std::string output;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const auto &error, asio::ip::tcp::socket socket) {
            if (!error) {
                ++m_connections;
                const auto connection = std::make_shared<Connection>(std::move(socket));
                m_openConnections.push_back(connection);
                read(connection);
                accept();
            }
        });
    }

    void read(const std::shared_ptr<Connection> &connection)
    {
        connection->socket.async_read_some(asio::buffer(connection->buffer),
                                           [this, connection](const auto &error, auto size) {
                                               if (error) {
                                                   ++endedConnections;
                                                   lastEnd = error;
                                                   return;
                                               }
                                               requests.emplace_back(connection->buffer.data(), size);
                                               const auto response = m_script(requests.back());
                                               respond(connection, response);
                                           });
    }

    void end()
    {
        m_acceptor.close();
        for (const auto &weak : m_openConnections) {
            if (const auto connection = weak.lock()) {
                connection->socket.close();
            }
        }
    }

    void respond(const std::shared_ptr<Connection> &connection, const ScriptedResponse &response)
    {
        connection->output = response.bytes;
        asio::async_write(connection->socket, asio::buffer(connection->output),
                          [this, connection, response](const auto &, auto) {
                              if (response.endsBackend) {
                                  end();
                                  return;
                              }
                              if (response.resetsConnection) {
                                  connection->socket.set_option(asio::socket_base::linger(true, 0));
                              }
                              if (response.closesConnection || response.resetsConnection) {
                                  connection->socket.close();
                                  return;
                              }
                              if (!response.delayedBytes.empty()) {
                                  respondLater(connection, response);
                              }
                              read(connection);
                          });
    }

    void respondLater(const std::shared_ptr<Connection> &connection, const ScriptedResponse &response)
    {
        connection->output = response.delayedBytes;
        connection->delayTimer.expires_after(response.delay);
        connection->delayTimer.async_wait([connection](const auto &) {
            asio::async_write(connection->socket, asio::buffer(connection->output),
                              [connection](const auto &, auto) {});
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    const Script m_script;
    std::size_t m_connections = 0;
    std::vector<std::weak_ptr<Connection>> m_openConnections;
};

/// An entry with fake backend servers and callers, all on one thread.
class EntrySimulation
{
public:
    /// Log lines are written to the descriptor; -1 discards them.
    explicit EntrySimulation(int logDescriptor = -1, bool adaptiveCapacity = false,
                             const decisions::membership::EntryDrainSettings &drain = {},
                             const http::CallerMemoryPointer &memory = nullptr)
        : m_log(logDescriptor, "entry"), m_entry(m_context, settings(adaptiveCapacity, drain, memory), m_log)
    {
        isStarted = core::isOk(m_entry.start());
        m_entry.setLeavingHandler([this](const BackendId &id) { reportedLeaving.push_back(id); });
    }

    void configure(RouteKind kind, std::chrono::milliseconds timeout = std::chrono::seconds(10),
                   std::uint32_t maxAttempts = 2, bool isResumable = true)
    {
        ForwardingConfiguration configuration;
        configuration.version = core::ConfigurationVersion(++m_version);
        Route route;
        route.host = "a.example";
        route.prefix = "/x/";
        route.kind = kind;
        route.services = {{core::ServiceId("app"), 1}};
        route.timeout = timeout;
        route.maxAttempts = maxAttempts;
        route.isResumable = kind == RouteKind::Stream && isResumable;
        configuration.routes = {route};
        configuration.hasOrganisations = true;
        configuration.organisationOfKey = {{"secret", core::OrganisationId("club")}};
        m_entry.installConfiguration(configuration);
    }

    FakeBackend &addBackend(FakeBackend::Script script, const std::string &dataCentre = {})
    {
        m_backends.push_back(std::make_unique<FakeBackend>(m_context, std::move(script)));
        addAddress("backend-" + std::to_string(m_backends.size()), m_backends.back()->address(), dataCentre);
        return *m_backends.back();
    }

    /// Registers a backend server of the test's own.
    void addAddress(const std::string &id, const std::string &address, const std::string &dataCentre = {})
    {
        decisions::membership::RegisteredBackend backend;
        backend.id = BackendId(id);
        backend.service = core::ServiceId("app");
        backend.address = address;
        backend.dataCentre = core::DataCentreId(dataCentre);
        backend.slots = slotsOfNewBackends;
        m_entry.applyBackendChanges({decisions::membership::BackendUsable{backend}});
        m_entry.backendsListed();
    }

    asio::io_context &context() { return m_context; }

    /// The registration of the backend server is removed. `number`: in the order of addBackend(), from 1.
    void removeBackend(int number)
    {
        m_entry.applyBackendChanges({decisions::membership::BackendUnusable{
            BackendId("backend-" + std::to_string(number)), decisions::membership::DirectoryReason::Removed}});
    }

    /// From now on status updates of the backend server arrive all the time, with this load.
    void setLoad(const BackendId &id, const BackendLoad &load) { m_loads[id] = load; }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(m_context);
        socket.connect({asio::ip::make_address("127.0.0.1"), m_entry.callerPort()});
        return socket;
    }

    /// Sends `request` on a new connection and returns all received bytes once the entry closes the connection.
    std::string exchange(const std::string &request)
    {
        auto socket = connect();
        asio::write(socket, asio::buffer(request));
        return receiveAll(socket);
    }

    /// Sends `request`, and returns its connection when the entry has chosen a backend server and opens a connection
    /// there.
    asio::ip::tcp::socket sendUntilConnecting(const std::string &request)
    {
        auto socket = connect();
        asio::write(socket, asio::buffer(request));
        runUntil([this] { return m_entry.metrics().value(report::Counter::ConnectionsOpened) == 1; });
        return socket;
    }

    /// Returns all bytes that are received until the entry closes the connection.
    std::string receiveAll(asio::ip::tcp::socket &socket)
    {
        std::string answer;
        bool isFinished = false;
        asio::async_read(socket, asio::dynamic_buffer(answer),
                         [&isFinished](const auto &, auto) { isFinished = true; });
        runUntil([&isFinished] { return isFinished; });
        return answer;
    }

    /// Runs the simulation until the condition holds; the bound only ends a test that would hang.
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        constexpr int maxRounds = 3000;
        for (int round = 0; round < maxRounds && !condition(); ++round) {
            m_context.run_one_for(std::chrono::milliseconds(10));
            m_context.restart();
            sendStatusUpdates();
            m_entry.sendWaitingRequests();
            m_entry.replaceInactiveAttempts();
        }
        return condition();
    }

    EntryServer &entry() { return m_entry; }
    EventLog &log() { return m_log; }

    bool isStarted = false;
    /// 0: without a limit.
    std::size_t slotsOfNewBackends = 0;
    /// Backend servers of which the entry has reported that they leave.
    std::vector<BackendId> reportedLeaving;

private:
    void sendStatusUpdates()
    {
        for (auto &[id, load] : m_loads) {
            load.measuredAt = m_clock.now();
            m_entry.updateBackendLoad(id, load);
        }
    }

    static EntryServerSettings settings(bool adaptiveCapacity, const decisions::membership::EntryDrainSettings &drain,
                                        const http::CallerMemoryPointer &memory)
    {
        EntryServerSettings settings;
        const auto address = asio::ip::make_address("127.0.0.1");
        settings.callerEndpoint = {address, 0};
        settings.readinessEndpoint = {address, 0};
        settings.processName = "entry";
        settings.names.attempt = "Attempt";
        settings.names.timeLeft = "Time-Left";
        settings.names.key = "Key";
        settings.names.organisation = "Organisation";
        settings.names.expectedBackend = "Expected";
        settings.names.notRun = "Not-Run";
        settings.names.proof = "Proof";
        settings.names.tokens = "Tokens";
        settings.names.lengthHint = "Hint";
        settings.names.promptParts = "Parts";
        settings.names.leaving = "Leaving";
        settings.names.requestLimit = "Limit";
        settings.names.coldTime = "Cold";
        settings.adaptiveCapacity = adaptiveCapacity;
        settings.drain = drain;
        settings.callerMemory = memory;
        return settings;
    }

    asio::io_context m_context{1};
    EventLog m_log;
    EntryServer m_entry;
    std::uint64_t m_version = 0;
    std::vector<std::unique_ptr<FakeBackend>> m_backends;
    core::SystemClock m_clock;
    std::map<BackendId, BackendLoad> m_loads;
};

/// A request whose connection is closed after the answer.
inline std::string callerRequest(const std::string &method, const std::string &body = {},
                                 const std::string &fields = {})
{
    return method
        + " /x/1 HTTP/1.1\r\nHost: a.example\r\nAttempt: 77\r\nTime-Left: 10000\r\nKey: secret\r\n"
          "Connection: close\r\n"
        + fields + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

inline std::string backendAnswer(const std::string &body, const std::string &fields = "Proof: p\r\nAttempt: 77\r\n")
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace lycheelanding::forwarding
