#include "lycheelanding/http/clientconnection.h"

#include "lycheelanding/http/eventstreamscanner.h"
#include "private/messageparser.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <charconv>
#include <utility>

namespace lycheelanding::http {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;
template <int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

constexpr int firstFinalStatus = 200;
constexpr int switchingProtocols = 101;
constexpr int firstRedirect = 300;
/// A connection is not reused within this time of the end of its Keep-Alive time, so that few requests are sent while
/// the server closes the connection.
constexpr std::chrono::milliseconds keepAliveMargin{1000};

core::Error errorOf(core::ErrorKind kind, const asio::ip::tcp::endpoint &peer, const std::string &reason)
{
    return {kind, peer.address().to_string() + ":" + std::to_string(peer.port()) + ": " + reason};
}

ParserBounds boundsOf(const AnswerLimits &limits)
{
    ParserBounds bounds;
    bounds.maxHeadBytes = limits.maxHeadBytes;
    return bounds;
}

/// The timeout in the value of a Keep-Alive field, such as "timeout=5, max=100".
std::optional<std::chrono::seconds> keepAliveTime(std::string_view value)
{
    constexpr std::string_view name = "timeout=";
    const auto at = value.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char *const first = value.data() + at + name.size();
    const auto [end, error] = std::from_chars(first, value.data() + value.size(), seconds);
    return error == std::errc() && end != first ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
}

std::optional<std::uint64_t> contentLength(const HttpHeaders &headers)
{
    const auto text = headers.find("Content-Length");
    if (!text) {
        return std::nullopt;
    }
    std::uint64_t length = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), length);
    return error == std::errc() ? std::optional(length) : std::nullopt;
}

} // namespace

class ClientConnection::Private : public std::enable_shared_from_this<ClientConnection::Private>
{
public:
    Private(asio::any_io_executor executor, asio::ip::tcp::endpoint peer, const TcpLivenessSettings &livenessSettings,
            const AnswerLimits &limits)
        : m_executor(std::move(executor)), m_peer(std::move(peer)), m_livenessSettings(livenessSettings),
          m_limits(limits), m_socket(m_executor), m_timer(m_executor),
          m_parser(MessageType::Response, boundsOf(limits), *this)
    { }

    void connect(std::chrono::milliseconds timeout, std::function<void(const core::Status &)> onConnected);
    void send(OutgoingRequest request, bool isHeadRequest, AnswerHandlers handlers);
    void close();

    // MessageSink
    bool onHead(ParsedHead head);
    void onBody(std::string_view bytes);
    void onMessageEnd();

private:
    void onConnectDone(const asio::error_code &error);
    void setOptions();
    void read();
    void onRead(const asio::error_code &error, std::size_t size);
    /// The server has closed the connection.
    void endWithConnection();
    void parse(std::string_view bytes);
    bool isEventStreamBody(const AnswerHead &answer) const;
    bool isStreamCutOff() const;
    void endAnswer(bool hasMoreBytes);
    void limitHeadTime();
    void fail(core::ErrorKind kind, const std::string &reason);
    void failMalformed(const std::string &reason) { fail(core::ErrorKind::AnswerMalformed, reason); }

    const asio::any_io_executor m_executor;
    const asio::ip::tcp::endpoint m_peer;
    const TcpLivenessSettings m_livenessSettings;
    const AnswerLimits m_limits;
    asio::ip::tcp::socket m_socket;
    /// Of connecting, and later of a head that has begun.
    asio::steady_timer m_timer;
    MessageParser<Private> m_parser;
    std::array<char, 4096> m_buffer{};
    OutgoingRequest m_request;
    std::function<void(const core::Status &)> m_onConnected;
    std::function<void()> m_onIdleEnd;
    AnswerHandlers m_handlers;
    BodyFraming m_framing = BodyFraming::NoBody;
    /// Set while the answer in progress is an event stream.
    std::optional<EventStreamScanner> m_events;
    std::optional<SteadyTime> m_keepAliveUntil;
    bool m_isOpen = false;
    bool m_isHeadRequest = false;
    bool m_isBusy = false;
    bool m_isWriting = false;
    bool m_hasWriteFailed = false;
    /// The server has ended the connection, and with it the answer, while the request is still being written. A server
    /// that has not reset the connection reads the rest.
    bool m_endsWithWrite = false;
    bool m_matchesRequest = false;
    bool m_isInterim = false;
    bool m_hasSkippedAnswer = false;
    bool m_isHeadTimed = false;
    std::size_t m_interimAnswers = 0;
    std::size_t m_skippedBytes = 0;
    /// Since the end of the last event.
    std::size_t m_eventBytes = 0;

    friend class ClientConnection;
};

void ClientConnection::Private::connect(std::chrono::milliseconds timeout,
                                        std::function<void(const core::Status &)> onConnected)
{
    m_onConnected = std::move(onConnected);
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this()](const auto &error) {
        if (!error) {
            self->onConnectDone(asio::error::timed_out);
        }
    });
    m_socket.async_connect(m_peer, [self = shared_from_this()](const auto &error) { self->onConnectDone(error); });
}

void ClientConnection::Private::onConnectDone(const asio::error_code &error)
{
    const auto handler = std::exchange(m_onConnected, nullptr);
    if (!handler) {
        return;
    }
    m_timer.cancel();
    if (error) {
        close();
        handler(errorOf(core::ErrorKind::PeerUnreachable, m_peer, error.message()));
        return;
    }
    setOptions();
    m_isOpen = true;
    handler(core::Done());
    read();
}

void ClientConnection::Private::setOptions()
{
    asio::error_code ignored;
    const int probeSeconds = static_cast<int>(m_livenessSettings.probeInterval.count());
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
    m_socket.set_option(TcpOption<TCP_KEEPIDLE>(probeSeconds), ignored);
    m_socket.set_option(TcpOption<TCP_KEEPINTVL>(probeSeconds), ignored);
    m_socket.set_option(TcpOption<TCP_KEEPCNT>(m_livenessSettings.maxUnansweredProbes), ignored);
    m_socket.set_option(TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(m_livenessSettings.unacknowledgedTimeout.count())),
                        ignored);
}

void ClientConnection::Private::send(OutgoingRequest request, bool isHeadRequest, AnswerHandlers handlers)
{
    m_request = std::move(request);
    m_isHeadRequest = isHeadRequest;
    m_handlers = std::move(handlers);
    m_isBusy = true;
    m_isWriting = true;
    m_hasWriteFailed = false;
    m_endsWithWrite = false;
    m_hasSkippedAnswer = false;
    m_interimAnswers = 0;
    m_skippedBytes = 0;
    m_isHeadTimed = false;
    // A failed write is reported by the read: the server may have answered before it closed the connection.
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(m_request.head), asio::buffer(m_request.body)};
    asio::async_write(m_socket, buffers, [self = shared_from_this()](const auto &error, auto) {
        self->m_isWriting = false;
        self->m_hasWriteFailed = static_cast<bool>(error);
        self->m_request = {};
        if (self->m_isOpen && self->m_endsWithWrite) {
            self->endWithConnection();
        }
    });
}

void ClientConnection::Private::read()
{
    if (!m_isOpen) {
        return;
    }
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self = shared_from_this()](const auto &error, auto size) { self->onRead(error, size); });
}

void ClientConnection::Private::onRead(const asio::error_code &error, std::size_t size)
{
    if (!m_isOpen) {
        return;
    }
    if (!m_isBusy) {
        const auto handler = std::exchange(m_onIdleEnd, nullptr);
        close();
        if (handler) {
            handler();
        }
        return;
    }
    if (error) {
        const bool endsAnswer = m_matchesRequest && m_framing == BodyFraming::ConnectionEnd && !m_parser.isInHead();
        m_endsWithWrite = error == asio::error::eof && m_isWriting && endsAnswer;
        if (m_endsWithWrite) {
            return;
        }
        if (error == asio::error::eof) {
            endWithConnection();
            return;
        }
        fail(core::ErrorKind::BackendServerLost, "the connection ended within the answer (" + error.message() + ")");
        return;
    }
    parse({m_buffer.data(), size});
    read();
}

void ClientConnection::Private::endWithConnection()
{
    // A body without a length is complete when the connection closes, unless it was reset. The kernel reports a reset
    // once: if the write got that error, the read only sees the end of the connection.
    if (!m_hasWriteFailed && m_parser.isInMessage() && m_parser.parseEnd() && m_matchesRequest) {
        m_isOpen = false;
        endAnswer(false);
        return;
    }
    fail(core::ErrorKind::BackendServerLost,
         m_hasWriteFailed ? "the connection was reset within the answer" : "the connection ended within the answer");
}

void ClientConnection::Private::parse(std::string_view bytes)
{
    while (m_isOpen && m_isBusy && !bytes.empty()) {
        const std::size_t bytesBefore = bytes.size();
        const auto state = m_parser.parse(bytes);
        if (state == ParseState::Failed || state == ParseState::Upgrade) {
            failMalformed("the answer breaks the protocol");
            return;
        }
        if (!m_isOpen || !m_isBusy) {
            return;
        }
        m_skippedBytes += m_isInterim || m_matchesRequest || m_parser.isInHead() ? 0 : bytesBefore - bytes.size();
        if (m_skippedBytes > m_limits.maxSkippedBytes) {
            failMalformed("too many bytes of answers to other requests");
            return;
        }
        if (state != ParseState::MessageEnded) {
            limitHeadTime();
            return;
        }
        if (m_matchesRequest && !m_isInterim) {
            endAnswer(!bytes.empty());
            return;
        }
        m_hasSkippedAnswer = m_hasSkippedAnswer || !m_isInterim;
    }
}

void ClientConnection::Private::limitHeadTime()
{
    if (!m_parser.isInHead()) {
        if (std::exchange(m_isHeadTimed, false)) {
            m_timer.cancel();
        }
        return;
    }
    if (std::exchange(m_isHeadTimed, true)) {
        return;
    }
    m_timer.expires_after(m_limits.headTimeout);
    m_timer.async_wait([self = shared_from_this()](const auto &error) {
        if (!error && self->m_isOpen && self->m_isBusy && self->m_isHeadTimed) {
            self->failMalformed("the head takes too long");
        }
    });
}

bool ClientConnection::Private::onHead(ParsedHead head)
{
    AnswerHead answer{head.status, std::move(head.headers), std::nullopt};
    answer.bodyBytes = contentLength(answer.headers);
    answer.framing = m_isHeadRequest ? BodyFraming::NoBody : bodyFramingOf(answer.status, answer.headers);
    m_isInterim = answer.status < firstFinalStatus && answer.status != switchingProtocols;
    m_matchesRequest = !m_isInterim && (!m_handlers.matchesRequest || m_handlers.matchesRequest(answer));
    if (m_isInterim && ++m_interimAnswers > m_limits.maxInterimAnswers) {
        failMalformed("too many interim answers");
        return true;
    }
    m_keepAliveUntil.reset();
    if (const auto value = answer.headers.find("Keep-Alive")) {
        if (const auto time = keepAliveTime(*value)) {
            m_keepAliveUntil = std::chrono::steady_clock::now() + *time - keepAliveMargin;
        }
    }
    m_framing = answer.framing;
    m_events.reset();
    m_eventBytes = 0;
    if (isEventStreamBody(answer)) {
        m_events.emplace();
    }
    if (m_matchesRequest && !m_isInterim && m_handlers.onHead) {
        m_handlers.onHead(std::move(answer));
    }
    return !m_isHeadRequest;
}

bool ClientConnection::Private::isEventStreamBody(const AnswerHead &answer) const
{
    // A length already says where the body ends.
    if (answer.framing != BodyFraming::Chunked && answer.framing != BodyFraming::ConnectionEnd) {
        return false;
    }
    if (answer.headers.find("Content-Type")) {
        return isEventStream(answer.headers);
    }
    return m_handlers.expectsEventStream && answer.status < firstRedirect;
}

bool ClientConnection::Private::isStreamCutOff() const
{
    if (!m_events) {
        return false;
    }
    // A crash right after the head closes the connection like an empty stream; a stream has at least one event.
    const bool isEmpty = m_framing == BodyFraming::ConnectionEnd && !m_events->hasSeenEvent();
    return isEmpty || m_events->isInsideEvent();
}

void ClientConnection::Private::onBody(std::string_view bytes)
{
    if (m_events) {
        auto rest = bytes;
        while (const auto eventBytes = m_events->findEventEnd(rest)) {
            rest.remove_prefix(*eventBytes);
            m_eventBytes = 0;
        }
        m_eventBytes += rest.size();
        if (m_eventBytes > m_limits.maxEventBytes) {
            failMalformed("an event is too long");
            return;
        }
    }
    if (m_matchesRequest && !m_isInterim && m_isOpen && m_handlers.onBody) {
        m_handlers.onBody(bytes);
    }
}

void ClientConnection::Private::onMessageEnd() { }

void ClientConnection::Private::endAnswer(bool hasMoreBytes)
{
    if (isStreamCutOff()) {
        fail(core::ErrorKind::BackendServerLost, "the event stream ended inside an event");
        return;
    }
    // If the server answers before it has read the whole request, it would parse the rest of the body as the next one.
    const bool isReusable = m_isOpen && m_parser.isKeepAlive() && !m_isWriting && !m_hasWriteFailed && !hasMoreBytes
        && !m_hasSkippedAnswer;
    const auto handlers = std::exchange(m_handlers, {});
    m_isBusy = false;
    limitHeadTime();
    if (!isReusable) {
        close();
    }
    if (handlers.onEnd) {
        handlers.onEnd(isReusable);
    }
}

void ClientConnection::Private::fail(core::ErrorKind kind, const std::string &reason)
{
    const auto handlers = std::exchange(m_handlers, {});
    m_isBusy = false;
    close();
    if (handlers.onFailed) {
        handlers.onFailed(errorOf(kind, m_peer, reason));
    }
}

void ClientConnection::Private::close()
{
    m_isOpen = false;
    asio::error_code ignored;
    if (std::exchange(m_isBusy, false)) {
        // A reset discards the bytes that the server has not read yet. A request whose answer nobody waits for must not
        // run later, for example when a suspended VM of the server resumes.
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        // close() may be called by one of the handlers, so they are destroyed later.
        asio::post(m_executor, [handlers = std::exchange(m_handlers, {})] {});
    }
    m_onIdleEnd = nullptr;
    m_onConnected = nullptr;
    m_timer.cancel();
    m_socket.close(ignored);
}

ClientConnection::ClientConnection(asio::any_io_executor executor, asio::ip::tcp::endpoint peer,
                                   const TcpLivenessSettings &livenessSettings, const AnswerLimits &limits)
    : m_d(std::make_shared<Private>(std::move(executor), std::move(peer), livenessSettings, limits))
{ }

ClientConnection::~ClientConnection()
{
    m_d->close();
}

void ClientConnection::connect(std::chrono::milliseconds timeout, std::function<void(const core::Status &)> onConnected)
{
    m_d->connect(timeout, std::move(onConnected));
}

void ClientConnection::send(OutgoingRequest request, bool isHeadRequest, AnswerHandlers handlers)
{
    m_d->send(std::move(request), isHeadRequest, std::move(handlers));
}

void ClientConnection::onIdleEnd(std::function<void()> handler)
{
    m_d->m_onIdleEnd = std::move(handler);
}

void ClientConnection::close()
{
    m_d->close();
}

const asio::ip::tcp::endpoint &ClientConnection::peer() const
{
    return m_d->m_peer;
}

bool ClientConnection::isOpen() const
{
    return m_d->m_isOpen;
}

std::optional<std::chrono::steady_clock::time_point> ClientConnection::keepAliveUntil() const
{
    return m_d->m_keepAliveUntil;
}

} // namespace lycheelanding::http
