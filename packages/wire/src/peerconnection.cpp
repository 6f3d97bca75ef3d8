#include "lycheelanding/wire/peerconnection.h"

#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

namespace lycheelanding::wire {

namespace {

core::Error peerUnreachable(const std::string &detail)
{
    return core::Error{core::ErrorKind::PeerUnreachable, detail};
}

} // namespace

PeerConnectionPointer PeerConnection::connect(asio::io_context &context, const asio::ip::tcp::endpoint &endpoint,
                                              std::chrono::milliseconds timeout, PeerHandlers handlers)
{
    auto connection = std::make_shared<PeerConnection>(context, asio::ip::tcp::socket(context), std::move(handlers));
    connection->m_connectTimer.expires_after(timeout);
    connection->m_connectTimer.async_wait(asio::bind_executor(connection->m_strand, [connection](auto error) {
        if (!error && !connection->isOpen()) {
            connection->fail(peerUnreachable("no connection within the time limit"));
        }
    }));
    connection->m_socket.async_connect(endpoint, asio::bind_executor(connection->m_strand, [connection](auto error) {
                                           if (connection->m_isClosed) {
                                               return;
                                           }
                                           if (error) {
                                               connection->fail(peerUnreachable(error.message()));
                                               return;
                                           }
                                           connection->startReading();
                                       }));
    return connection;
}

PeerConnectionPointer PeerConnection::adopt(asio::io_context &context, asio::ip::tcp::socket socket,
                                            PeerHandlers handlers)
{
    auto connection = std::make_shared<PeerConnection>(context, std::move(socket), std::move(handlers));
    asio::post(connection->m_strand, [connection] { connection->startReading(); });
    return connection;
}

PeerConnection::PeerConnection(asio::io_context &context, asio::ip::tcp::socket socket, PeerHandlers handlers)
    : m_strand(asio::make_strand(context)), m_socket(std::move(socket)), m_connectTimer(context),
      m_handlers(std::move(handlers))
{ }

void PeerConnection::startReading()
{
    m_connectTimer.cancel();
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_isOpen = true;
    m_handlers.onOpened(shared_from_this());
    readHeader();
    writeNext();
}

void PeerConnection::readHeader()
{
    asio::async_read(m_socket, asio::buffer(m_headerBytes),
                     asio::bind_executor(m_strand, [self = shared_from_this()](auto error, std::size_t) {
                         if (error) {
                             self->fail(peerUnreachable(error.message()));
                             return;
                         }
                         const auto header = decodeHeader(self->m_headerBytes);
                         if (!core::isOk(header)) {
                             self->closeWith(core::errorOf(header));
                             return;
                         }
                         self->readPayload(core::valueOf(header));
                     }));
}

void PeerConnection::readPayload(const FrameHeader &header)
{
    m_incoming.type = header.type;
    m_incoming.configurationVersion = header.configurationVersion;
    m_incoming.payload.resize(header.payloadBytes);
    asio::async_read(m_socket, asio::buffer(m_incoming.payload),
                     asio::bind_executor(m_strand, [self = shared_from_this()](auto error, std::size_t) {
                         if (error) {
                             self->fail(peerUnreachable(error.message()));
                             return;
                         }
                         self->handleFrame();
                     }));
}

void PeerConnection::handleFrame()
{
    if (m_isClosed) {
        return;
    }
    if (m_incoming.type == MessageType::Goodbye) {
        const auto goodbye = messageOf<Goodbye>(m_incoming);
        const auto *reason = std::get_if<Goodbye>(&goodbye);
        fail(reason ? core::Error{reason->kind, reason->detail} : core::errorOf(goodbye));
        return;
    }
    m_handlers.onFrame(shared_from_this(), m_incoming);
    if (!m_isClosed) {
        readHeader();
    }
}

void PeerConnection::send(Frame frame)
{
    asio::post(m_strand, [self = shared_from_this(), frame = std::move(frame)]() {
        if (self->m_isClosed || self->m_shouldCloseWhenSent) {
            return;
        }
        const auto header = encodeHeader(frame);
        std::string bytes(header.begin(), header.end());
        bytes += frame.payload;
        self->m_unsentBytes += bytes.size();
        if (self->m_unsentBytes > maxUnsentBytes) {
            self->fail(peerUnreachable("the peer does not take its frames"));
            return;
        }
        self->m_unsent.push_back(std::move(bytes));
        self->writeNext();
    });
}

void PeerConnection::writeNext()
{
    if (m_isWriting || !isOpen() || m_isClosed) {
        return;
    }
    if (m_unsent.empty()) {
        if (m_shouldCloseWhenSent) {
            fail(peerUnreachable("closed"));
        }
        return;
    }
    m_isWriting = true;
    m_hasSentBytes = true;
    asio::async_write(m_socket, asio::buffer(m_unsent.front()),
                      asio::bind_executor(m_strand, [self = shared_from_this()](auto error, std::size_t written) {
                          self->m_isWriting = false;
                          if (self->m_isClosed) {
                              self->m_unsent.clear();
                              return;
                          }
                          if (error) {
                              self->fail(peerUnreachable(error.message()));
                              return;
                          }
                          self->m_bytesSent += written;
                          self->m_unsentBytes -= written;
                          self->m_unsent.pop_front();
                          self->writeNext();
                      }));
}

void PeerConnection::close()
{
    asio::post(m_strand, [self = shared_from_this()] {
        self->m_shouldCloseWhenSent = true;
        if (!self->isOpen()) {
            self->fail(peerUnreachable("closed"));
            return;
        }
        self->writeNext();
    });
}

void PeerConnection::abort(const core::Error &error)
{
    asio::post(m_strand, [self = shared_from_this(), error] { self->fail(error); });
}

void PeerConnection::closeWith(const core::Error &error)
{
    send(makeFrame(Goodbye{error.kind, error.detail}, core::ConfigurationVersion()));
    close();
}

void PeerConnection::fail(const core::Error &error)
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    m_isOpen = false;
    m_connectTimer.cancel();
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    // A write in flight still uses the buffer of the first unsent frame; its completion handler clears the queue.
    if (!m_isWriting) {
        m_unsent.clear();
    }
    // The handlers may own this connection: releasing them breaks the reference cycle.
    const auto handlers = std::move(m_handlers);
    m_handlers = PeerHandlers();
    handlers.onClosed(shared_from_this(), error);
}

PeerListener::PeerListener(asio::io_context &context, HandlerFactory makeHandlers)
    : m_context(context), m_acceptor(context), m_makeHandlers(std::move(makeHandlers))
{ }

core::Status PeerListener::start(const asio::ip::tcp::endpoint &endpoint)
{
    asio::error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error) {
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return core::Error{core::ErrorKind::InvalidSettings, "cannot listen for peers: " + error.message()};
    }
    acceptNext();
    return core::Done();
}

void PeerListener::stop()
{
    asio::error_code ignored;
    m_acceptor.close(ignored);
}

std::uint16_t PeerListener::port() const
{
    asio::error_code ignored;
    return m_acceptor.local_endpoint(ignored).port();
}

void PeerListener::acceptNext()
{
    m_acceptor.async_accept([this](auto error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (!error) {
            PeerConnection::adopt(m_context, std::move(socket), m_makeHandlers());
        }
        acceptNext();
    });
}

core::Result<asio::ip::tcp::endpoint> endpointFrom(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return core::Error{core::ErrorKind::InvalidSettings, "address \"" + address + "\" is not IP:PORT"};
    }
    asio::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    const auto portText = address.substr(colon + 1);
    const bool isNumber
        = !portText.empty() && portText.size() <= 5 && portText.find_first_not_of("0123456789") == std::string::npos;
    if (error || !isNumber || std::stoul(portText) > 65535) {
        return core::Error{core::ErrorKind::InvalidSettings, "address \"" + address + "\" is not IP:PORT"};
    }
    return asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(std::stoul(portText)));
}

} // namespace lycheelanding::wire
