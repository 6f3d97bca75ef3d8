#include "private/httptransfer.h"

#include <array>
#include <charconv>
#include <utility>

namespace lycheelanding::http {

namespace {

constexpr std::array<std::string_view, 3> safeMethods{"GET", "HEAD", "OPTIONS"};

bool isSafe(std::string_view method)
{
    for (const auto safe : safeMethods) {
        if (method == safe) {
            return true;
        }
    }
    return false;
}

} // namespace

std::optional<UrlParts> urlPartsOf(std::string_view url)
{
    constexpr std::string_view scheme = "http://";
    constexpr std::uint16_t defaultPort = 80;
    if (!url.starts_with(scheme)) {
        return std::nullopt;
    }
    url.remove_prefix(scheme.size());
    UrlParts parts;
    const auto slash = std::min(url.find('/'), url.size());
    parts.authority = url.substr(0, slash);
    parts.target = slash == url.size() ? "/" : std::string(url.substr(slash));
    const auto colon = std::min(parts.authority.find(':'), parts.authority.size());
    asio::error_code error;
    const auto address = asio::ip::make_address_v4(parts.authority.substr(0, colon), error);
    std::uint16_t port = defaultPort;
    if (!error && colon < parts.authority.size()) {
        const char *const end = parts.authority.data() + parts.authority.size();
        const auto [last, portError] = std::from_chars(parts.authority.data() + colon + 1, end, port);
        if (portError != std::errc() || last != end) {
            return std::nullopt;
        }
    }
    if (error) {
        return std::nullopt;
    }
    parts.server = {address, port};
    return parts;
}

HttpTransfer::HttpTransfer(const asio::any_io_executor &executor, ConnectionPool &pool, HttpClientRequest request,
                           HttpClientHandlers handlers, std::function<void()> onFinished)
    : m_executor(executor), m_pool(pool), m_request(std::move(request)), m_handlers(std::move(handlers)),
      m_onFinished(std::move(onFinished)), m_timer(executor)
{ }

core::Error HttpTransfer::transferError(core::ErrorKind kind, const std::string &reason) const
{
    return {kind, m_request.url + ": " + reason};
}

void HttpTransfer::start()
{
    auto url = urlPartsOf(m_request.url);
    if (!url) {
        finish(transferError(core::ErrorKind::PeerUnreachable, "not a URL with an IP number"));
        return;
    }
    m_url = std::move(*url);
    if (m_request.timeout.count() > 0) {
        m_timer.expires_after(m_request.timeout);
        m_timer.async_wait([self = shared_from_this()](const auto &error) {
            if (!error) {
                const auto kind
                    = self->m_wasSent ? core::ErrorKind::DeadlineExceeded : core::ErrorKind::PeerUnreachable;
                self->finish(self->transferError(kind, "no whole answer in time"));
            }
        });
    }
    const auto idle = m_request.sharesConnection ? m_pool.acquire(m_url.server) : nullptr;
    if (idle) {
        send(idle, true);
        return;
    }
    sendOnNewConnection();
}

void HttpTransfer::sendOnNewConnection()
{
    m_connection = std::make_shared<ClientConnection>(m_executor, m_url.server);
    m_connection->connect(m_request.connectTimeout, [self = shared_from_this()](const core::Status &status) {
        if (self->m_isFinished) {
            return;
        }
        if (!core::isOk(status)) {
            // The request may have arrived on the connection that was tried before.
            const auto &error = core::errorOf(status);
            self->finish(self->m_wasSent ? self->transferError(core::ErrorKind::BackendServerLost, error.detail)
                                         : error);
            return;
        }
        self->send(self->m_connection, false);
    });
}

void HttpTransfer::send(const ClientConnectionPointer &connection, bool isReused)
{
    m_connection = connection;
    m_wasSent = true;
    AnswerHandlers handlers;
    const auto self = shared_from_this();
    handlers.onHead = [self](const AnswerHead &head) {
        self->m_hasHead = true;
        // An answer to HEAD, or with status 304, states the length of a body that it does not have.
        if (head.framing == BodyFraming::ContentLength && self->isTooLarge(head.bodyBytes.value_or(0))) {
            self->finishTooLarge();
            return;
        }
        if (!self->m_isFinished && self->m_handlers.onHead) {
            self->m_handlers.onHead(head.status, head.headers);
        }
    };
    handlers.onBody = [self](std::string_view bytes) { self->onBody(bytes); };
    handlers.onEnd = [self](bool isReusable) {
        if (self->m_isFinished) {
            return;
        }
        if (isReusable && self->m_request.sharesConnection) {
            self->m_pool.release(self->m_connection);
        }
        if (!self->m_request.sharesConnection) {
            self->m_connection->close();
        }
        self->m_connection.reset();
        self->finish(core::Done());
    };
    handlers.onFailed = [self, isReused](const core::Error &error) { self->onFailed(error, isReused); };
    HttpRequest request{m_request.method, m_url.target, m_request.headers, m_request.body};
    if (!m_request.sharesConnection) {
        request.headers.add("Connection", "close");
    }
    connection->send({serializedRequest(request, m_url.authority)}, m_request.method == "HEAD", std::move(handlers));
}

void HttpTransfer::onBody(std::string_view bytes)
{
    if (m_isFinished) {
        return;
    }
    m_bodyBytes += bytes.size();
    if (isTooLarge(m_bodyBytes)) {
        finishTooLarge();
        return;
    }
    if (m_handlers.onChunk) {
        m_handlers.onChunk(bytes);
    }
}

bool HttpTransfer::isTooLarge(std::uint64_t bodyBytes) const
{
    return m_request.maxBodyBytes != 0 && bodyBytes > m_request.maxBodyBytes;
}

void HttpTransfer::finishTooLarge()
{
    finish(transferError(core::ErrorKind::BackendServerFailed,
                         "answered with more than " + std::to_string(m_request.maxBodyBytes) + " bytes"));
}

void HttpTransfer::onFailed(const core::Error &error, bool isReused)
{
    if (m_isFinished) {
        return;
    }
    // The server may have closed a reused connection just before the request arrived; only safe requests are sent
    // again.
    if (isReused && !m_hasHead && isSafe(m_request.method)) {
        sendOnNewConnection();
        return;
    }
    finish(transferError(core::ErrorKind::BackendServerLost, error.detail));
}

void HttpTransfer::cancel()
{
    finish(transferError(core::ErrorKind::Cancelled, "the request was cancelled"));
}

void HttpTransfer::discard()
{
    m_handlers = {};
    cancel();
}

void HttpTransfer::finish(const core::Status &status)
{
    if (std::exchange(m_isFinished, true)) {
        return;
    }
    m_timer.cancel();
    if (const auto connection = std::exchange(m_connection, nullptr)) {
        connection->close();
    }
    if (m_handlers.onDone) {
        m_handlers.onDone(status);
    }
    m_onFinished();
}

} // namespace lycheelanding::http
