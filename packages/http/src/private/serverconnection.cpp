#include "private/serverconnection.h"

#include "private/headertext.h"
#include "private/parsererrors.h"
#include "private/serversocketoptions.h"

#include "lycheelanding/core/errorkind.h"

#include <asio/bind_executor.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace lycheelanding::http {

namespace {

/// Requests parsed while an answer is in progress; one is enough to detect that the caller has sent malformed data.
constexpr std::size_t maxPipelinedRequests = 1;
/// Reading from the socket pauses when this many received bytes have not been parsed.
constexpr std::size_t maxPendingBytes = 64UL * 1024;
/// Memory that output occupies: in the process, and in the kernel while the caller does not read.
std::size_t memoryOf(const std::string &output)
{
    return output.size() + std::min(output.size(), kernelBufferBytes);
}

ParserBounds boundsOf(const HttpServerSettings &settings)
{
    ParserBounds bounds;
    bounds.maxHeaderValueBytes = settings.maxHeaderValueBytes;
    bounds.maxBodyBytes = settings.maxBodyBytes;
    return bounds;
}

std::string chunkOf(std::string_view bytes)
{
    std::array<char, 16> size{};
    constexpr int hexadecimal = 16;
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), hexadecimal).ptr;
    std::string chunk(size.data(), end);
    chunk.reserve(chunk.size() + bytes.size() + 4);
    return chunk.append("\r\n").append(bytes).append("\r\n");
}

} // namespace

ServerConnection::ServerConnection(asio::ip::tcp::socket socket, ConnectionsPointer connections)
    : m_socket(std::move(socket)), m_strand(connections->context().get_executor()),
      m_connections(std::move(connections)), m_parser(MessageType::Request, boundsOf(m_connections->settings()), *this)
{
    recordActivity();
}

ServerConnection::~ServerConnection()
{
    m_connections->remove(this);
}

void ServerConnection::start()
{
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    post([self = shared_from_this()] { self->read(); });
}

bool ServerConnection::isCurrent(const ServerAnswerPointer &answer) const
{
    return !m_isClosed && answer == m_current && !answer->hasEnded;
}

void ServerConnection::read()
{
    if (m_isReading || m_isClosed || isWaitingForMemory() || m_pending.size() >= maxPendingBytes || !reserveMemory()) {
        return;
    }
    m_isReading = true;
    m_socket.async_read_some(asio::buffer(m_buffer),
                             asio::bind_executor(m_strand, [self = shared_from_this()](const auto &error, auto size) {
                                 self->m_isReading = false;
                                 self->onRead(error, size);
                             }));
}

void ServerConnection::onRead(const asio::error_code &error, std::size_t size)
{
    if (m_isClosed) {
        return;
    }
    if (error) {
        close();
        return;
    }
    if (m_isClosing) {
        read();
        return;
    }
    m_lastRead = std::chrono::steady_clock::now();
    if (!m_parser.isInMessage()) {
        m_lastActivity = m_lastRead;
    }
    recordActivity();
    m_incoming.progressed(size);
    m_pending.append(m_buffer.data(), size);
    parsePending();
    read();
}

void ServerConnection::parsePending()
{
    std::string_view rest = m_pending;
    while (!rest.empty() && !m_isClosing && m_requests.size() < maxPipelinedRequests) {
        const auto state = m_parser.parse(rest);
        if (state == ParseState::MessageEnded) {
            startNextRequest();
        } else if (state == ParseState::Upgrade) {
            refuse(core::ErrorKind::ProtocolMismatch);
        } else if (state == ParseState::Failed) {
            refuse(parserErrorKind(m_parser.errorName()));
        }
    }
    m_pending.erase(0, m_pending.size() - rest.size());
}

bool ServerConnection::onHead(ParsedHead head)
{
    m_incoming.setHead(std::move(head.method), std::move(head.target), std::move(head.headers),
                       m_parser.announcedBytes());
    return true;
}

void ServerConnection::onBody(std::string_view bytes)
{
    m_incoming.append(bytes, m_connections->settings().maxBodyBytes);
}

void ServerConnection::onMessageEnd()
{
    auto answer = std::make_shared<ServerAnswer>();
    answer->isHeadRequest = m_incoming.request().method == "HEAD";
    answer->isHttp10 = m_parser.isHttp10();
    answer->isKeepAlive = m_parser.isKeepAlive();
    m_requests.push_back({m_incoming.takeRequest(), std::move(answer), m_incoming.takeHold()});
}

void ServerConnection::refuse(core::ErrorKind kind)
{
    // A refusal sent within the answer to an earlier request would become part of that answer.
    if (m_current) {
        close();
        return;
    }
    constexpr int notImplemented = 501;
    const auto &row = core::answerOf(kind);
    const int status = kind == core::ErrorKind::ProtocolMismatch ? notImplemented : row.httpStatus;
    const std::string body = "{\"kind\":\"" + std::string(row.name) + "\",\"ran\":\"no\"}";
    std::string text = statusLine(status);
    appendHeaderLine(text, "Content-Type", "application/json");
    appendHeaderLine(text, "Connection", "close");
    if (row.retryCanSucceed) {
        appendHeaderLine(text, "Retry-After", "1");
    }
    appendHeaderLine(text, "Content-Length", std::to_string(body.size()));
    text.append("\r\n").append(body);
    m_isClosing = true;
    m_selfWhileWaiting.reset();
    m_incoming.clear();
    m_lastActivity = std::chrono::steady_clock::now();
    send({std::move(text), nullptr, 0, false});
}

void ServerConnection::startNextRequest()
{
    if (m_current || m_requests.empty() || m_isClosed) {
        return;
    }
    auto [request, answer, memory] = std::move(m_requests.front());
    m_requests.pop_front();
    m_current = answer;
    recordActivity();
    m_connections->exchangeOpened();
    auto exchange = std::make_shared<HttpExchange>(std::make_unique<HttpExchange::Private>(
        std::move(request), std::move(memory), std::move(answer), shared_from_this()));
    // The handler runs outside the strand. Its calls are posted to the strand and keep their order.
    asio::post(m_connections->context(),
               [connections = m_connections, exchange = std::move(exchange)] { connections->handler()(exchange); });
}

void ServerConnection::begin(const ServerAnswerPointer &answer, int status, const HttpHeaders &headers,
                             std::optional<std::uint64_t> bodyBytes)
{
    if (!isCurrent(answer) || answer->hasBegun) {
        return;
    }
    answer->hasBegun = true;
    // A request that the caller has sent already gets its answer, which then closes the connection.
    const bool hasNextRequest = !m_requests.empty() || m_parser.isInMessage() || !m_pending.empty();
    answer->isKeepAlive = answer->isKeepAlive && (!m_connections->isDraining() || hasNextRequest);
    std::string text = statusLine(status);
    appendHeaderLines(text, headers);
    if (bodyBytes) {
        answer->framing = ServerAnswer::Framing::ContentLength;
        answer->remainingBytes = *bodyBytes;
        appendHeaderLine(text, "Content-Length", std::to_string(*bodyBytes));
    } else if (answer->isHttp10) {
        answer->framing = ServerAnswer::Framing::UntilClose;
        answer->isKeepAlive = false;
    } else {
        appendHeaderLine(text, "Transfer-Encoding", "chunked");
    }
    if (!answer->isKeepAlive) {
        appendHeaderLine(text, "Connection", "close");
    }
    text.append("\r\n");
    send({std::move(text), answer, 0, false});
}

void ServerConnection::respond(const ServerAnswerPointer &answer, HttpResponse response)
{
    if (!isCurrent(answer) || answer->hasBegun) {
        return;
    }
    begin(answer, response.status, response.headers, response.body.size());
    write(answer, std::move(response.body));
    finish(answer);
}

void ServerConnection::write(const ServerAnswerPointer &answer, std::string bytes)
{
    const std::size_t size = bytes.size();
    const bool fits = answer->framing != ServerAnswer::Framing::ContentLength || size <= answer->remainingBytes;
    if (!isCurrent(answer) || !answer->hasBegun || size == 0 || answer->isHeadRequest || !fits) {
        answer->unsentBytes -= size;
        return;
    }
    if (answer->framing == ServerAnswer::Framing::ContentLength) {
        answer->remainingBytes -= size;
    }
    const bool isChunked = answer->framing == ServerAnswer::Framing::Chunked;
    send({isChunked ? chunkOf(bytes) : std::move(bytes), answer, size, false});
}

void ServerConnection::finish(const ServerAnswerPointer &answer)
{
    if (!isCurrent(answer) || !answer->hasBegun) {
        return;
    }
    if (answer->framing == ServerAnswer::Framing::ContentLength && answer->remainingBytes > 0
        && !answer->isHeadRequest) {
        abort(answer);
        return;
    }
    answer->hasEnded = true;
    const bool needsLastChunk = answer->framing == ServerAnswer::Framing::Chunked && !answer->isHeadRequest;
    send({needsLastChunk ? "0\r\n\r\n" : "", answer, 0, true});
}

void ServerConnection::abort(const ServerAnswerPointer &answer)
{
    if (!isCurrent(answer)) {
        return;
    }
    answer->hasEnded = true;
    answer->isKeepAlive = false;
    answer->isAborted = true;
    // Output that is queued still reaches the caller, which sees an incomplete answer when the connection closes.
    send({"", answer, 0, true});
}

void ServerConnection::setCallerGoneHandler(const ServerAnswerPointer &answer, std::function<void()> handler)
{
    if (answer->hasEnded) {
        return;
    }
    if (answer->isCallerGone) {
        asio::post(m_connections->context(), std::move(handler));
        return;
    }
    answer->onCallerGone = std::move(handler);
}

void ServerConnection::send(Output output)
{
    output.drawnBytes = memoryOf(output.bytes);
    if (m_output.empty()) {
        m_outputMemory.restartProgress();
    }
    if (!m_outputMemory.isSet() && m_connections->settings().memory) {
        m_outputMemory = newHold(&ServerConnection::close);
    }
    m_outputMemory.drawExisting(output.drawnBytes);
    // Output that is sent in one go, or waits for a running write, is merged into one write.
    const std::size_t firstWaiting = m_isWriting ? 1 : 0;
    if (m_output.size() > firstWaiting && !m_output.back().endsAnswer) {
        Output &last = m_output.back();
        last.bytes.append(output.bytes);
        last.bodyBytes += output.bodyBytes;
        last.endsAnswer = output.endsAnswer;
        last.drawnBytes += output.drawnBytes;
    } else {
        m_output.push_back(std::move(output));
    }
    if (!m_isWriting && !std::exchange(m_isFlushPosted, true)) {
        post([self = shared_from_this()] {
            self->m_isFlushPosted = false;
            self->writeNext();
        });
    }
}

void ServerConnection::writeNext()
{
    if (m_isWriting || m_isClosed) {
        return;
    }
    if (m_output.empty()) {
        if (m_isClosing) {
            startLingeringClose();
        }
        return;
    }
    m_isWriting = true;
    m_writeStart = std::chrono::steady_clock::now();
    recordActivity();
    const auto recordProgress = [this, written = std::size_t{0}](const auto &error, std::size_t size) mutable {
        m_outputMemory.progressed(size - std::exchange(written, size));
        recordActivity();
        return asio::transfer_all()(error, size);
    };
    asio::async_write(m_socket, asio::buffer(m_output.front().bytes), recordProgress,
                      asio::bind_executor(m_strand, [self = shared_from_this()](const auto &error, auto) {
                          self->m_isWriting = false;
                          self->recordActivity();
                          self->onWritten(error);
                      }));
}

void ServerConnection::onWritten(const asio::error_code &error)
{
    if (m_isClosed) {
        return;
    }
    if (error) {
        close();
        return;
    }
    const Output done = std::move(m_output.front());
    m_output.pop_front();
    m_outputMemory.release(done.drawnBytes);
    if (done.answer) {
        done.answer->unsentBytes -= done.bodyBytes;
    }
    if (done.endsAnswer) {
        endAnswer(done.answer);
    }
    writeNext();
}

void ServerConnection::endAnswer(const ServerAnswerPointer &answer)
{
    if (answer->isAborted && answer->framing == ServerAnswer::Framing::UntilClose) {
        close();
        return;
    }
    m_current.reset();
    recordActivity();
    answer->onCallerGone = nullptr;
    m_connections->exchangeClosed();
    m_lastActivity = std::chrono::steady_clock::now();
    if (!answer->isKeepAlive) {
        m_isClosing = true;
        return;
    }
    startNextRequest();
    parsePending();
    read();
}

void ServerConnection::startLingeringClose()
{
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_pending.clear();
    read();
}

void ServerConnection::handleCallerGone()
{
    const auto answer = std::exchange(m_current, nullptr);
    if (!answer) {
        return;
    }
    answer->isCallerGone = true;
    m_connections->exchangeClosed();
    if (auto handler = std::exchange(answer->onCallerGone, nullptr); handler && !answer->hasEnded) {
        asio::post(m_connections->context(), std::move(handler));
    }
}

void ServerConnection::close()
{
    if (std::exchange(m_isClosed, true)) {
        return;
    }
    asio::error_code ignored;
    if (m_current && m_current->framing == ServerAnswer::Framing::UntilClose) {
        // A regular close would mark the end of a complete answer.
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    m_socket.close(ignored);
    m_connections->remove(this);
    handleCallerGone();
    m_selfWhileWaiting.reset();
    m_requests.clear();
    m_incoming.clear();
    m_outputMemory = MemoryHold();
}

} // namespace lycheelanding::http
