#include "harness/callerconnection.h"

#include "lycheelanding/core/nametable.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <poll.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace lycheelanding::harness {

namespace {

constexpr std::array<core::NameEntry<ExchangeEnd>, 5> endNames{{
    {ExchangeEnd::Answered, "answered"},
    {ExchangeEnd::Unread, "closed before the request was read"},
    {ExchangeEnd::NoAnswer, "closed without an answer to a request that was read"},
    {ExchangeEnd::CutOff, "closed in the middle of the answer"},
    {ExchangeEnd::TimedOut, "no complete answer before the timeout"},
}};

constexpr std::size_t readBufferBytes = 16UL * 1024;
constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
/// Time for a reset to follow the end of the stream.
constexpr int resetWaitMs = 50;
constexpr int decimal = 10;
constexpr int hexadecimal = 16;

std::size_t numberIn(std::string_view text, int base)
{
    std::size_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number, base);
    return number;
}

/// The value of a header in a head in lower case; empty when it is absent.
std::string_view headerIn(std::string_view head, const std::string &name)
{
    const auto begin = head.find("\r\n" + name + ": ");
    if (begin == std::string_view::npos) {
        return {};
    }
    const auto value = head.substr(begin + name.size() + lineEnd.size() + 2);
    return value.substr(0, value.find(lineEnd));
}

asio::ip::tcp::endpoint endpointFrom(const std::string &address)
{
    const auto colon = address.rfind(':');
    const auto port = static_cast<std::uint16_t>(numberIn(std::string_view(address).substr(colon + 1), decimal));
    return {asio::ip::make_address(address.substr(0, colon)), port};
}

int statusIn(std::string_view head)
{
    const auto begin = head.find(' ');
    return begin == std::string_view::npos ? 0 : static_cast<int>(numberIn(head.substr(begin + 1), decimal));
}

} // namespace

std::string_view nameOf(ExchangeEnd end)
{
    return core::nameIn(endNames, end);
}

CallerConnection::CallerConnection(const std::string &address) : m_socket(m_context)
{
    m_socket.connect(endpointFrom(address));
    m_socket.set_option(asio::ip::tcp::no_delay(true));
}

bool CallerConnection::isOpen()
{
    if (!m_isOpen) {
        return false;
    }
    pollfd request{m_socket.native_handle(), POLLIN, 0};
    // Between two requests there is nothing to read but the end of the connection.
    m_isOpen = poll(&request, 1, 0) == 0;
    return m_isOpen;
}

CallerAnswer CallerConnection::exchange(const std::string &request, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    CallerAnswer answer;
    asio::error_code writeError;
    asio::write(m_socket, asio::buffer(request), writeError);
    std::size_t headBytes = 0;
    auto result = readUntilContains(headEnd, 0, headBytes, deadline);
    if (result != ReadResult::Bytes) {
        m_isOpen = false;
        const bool isRead = !writeError && !isReset();
        const auto end
            = m_received.empty() ? (isRead ? ExchangeEnd::NoAnswer : ExchangeEnd::Unread) : ExchangeEnd::CutOff;
        answer.end = result == ReadResult::TimedOut ? ExchangeEnd::TimedOut : end;
        return answer;
    }
    std::string head = m_received.substr(0, headBytes + headEnd.size());
    m_received.erase(0, head.size());
    std::transform(head.begin(), head.end(), head.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    answer.status = statusIn(head);
    if (headerIn(head, "transfer-encoding") == "chunked") {
        result = readChunks(answer.body, deadline);
    } else {
        const auto bodyBytes = numberIn(headerIn(head, "content-length"), decimal);
        result = readBytes(bodyBytes, deadline);
        answer.body = m_received.substr(0, bodyBytes);
        m_received.erase(0, bodyBytes);
    }
    const auto incomplete = result == ReadResult::TimedOut ? ExchangeEnd::TimedOut : ExchangeEnd::CutOff;
    answer.end = result == ReadResult::Bytes ? ExchangeEnd::Answered : incomplete;
    m_isOpen = result == ReadResult::Bytes && headerIn(head, "connection") != "close";
    return answer;
}

CallerConnection::ReadResult CallerConnection::readMore(Deadline deadline)
{
    const auto remaining
        = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    pollfd request{m_socket.native_handle(), POLLIN, 0};
    if (remaining.count() <= 0 || poll(&request, 1, static_cast<int>(remaining.count())) <= 0) {
        return ReadResult::TimedOut;
    }
    std::array<char, readBufferBytes> buffer{};
    asio::error_code error;
    const auto count = m_socket.read_some(asio::buffer(buffer), error);
    m_received.append(buffer.data(), count);
    m_wasReset = m_wasReset || (error && error != asio::error::eof);
    return error ? ReadResult::Closed : ReadResult::Bytes;
}

CallerConnection::ReadResult CallerConnection::readUntilContains(std::string_view text, std::size_t begin,
                                                                 std::size_t &position, Deadline deadline)
{
    for (position = m_received.find(text, begin); position == std::string::npos;
         position = m_received.find(text, begin)) {
        const auto result = readMore(deadline);
        if (result != ReadResult::Bytes) {
            return result;
        }
    }
    return ReadResult::Bytes;
}

CallerConnection::ReadResult CallerConnection::readBytes(std::size_t count, Deadline deadline)
{
    while (m_received.size() < count) {
        const auto result = readMore(deadline);
        if (result != ReadResult::Bytes) {
            return result;
        }
    }
    return ReadResult::Bytes;
}

CallerConnection::ReadResult CallerConnection::readChunks(std::string &body, Deadline deadline)
{
    while (true) {
        std::size_t sizeEnd = 0;
        if (const auto result = readUntilContains(lineEnd, 0, sizeEnd, deadline); result != ReadResult::Bytes) {
            return result;
        }
        const auto size = numberIn(m_received.substr(0, sizeEnd), hexadecimal);
        const auto chunkBegin = sizeEnd + lineEnd.size();
        const auto chunkEnd = chunkBegin + size + lineEnd.size();
        if (const auto result = readBytes(chunkEnd, deadline); result != ReadResult::Bytes) {
            return result;
        }
        body += m_received.substr(chunkBegin, size);
        m_received.erase(0, chunkEnd);
        if (size == 0) {
            return ReadResult::Bytes;
        }
    }
}

bool CallerConnection::isReset()
{
    if (m_wasReset) {
        return true;
    }
    pollfd request{m_socket.native_handle(), 0, 0};
    return poll(&request, 1, resetWaitMs) > 0 && (request.revents & (POLLERR | POLLHUP)) != 0;
}

} // namespace lycheelanding::harness
