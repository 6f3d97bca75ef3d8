// A small HTTP/1.1 server and client for stand-ins: one thread for each connection, blocking sockets.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace standin {

using Clock = std::chrono::steady_clock;
using Fields = std::map<std::string, std::string>; // Names in lower case.

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

inline std::string percentDecoded(std::string_view text)
{
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            out += static_cast<char>(std::stoi(std::string(text.substr(at + 1, 2)), nullptr, 16));
            at += 2;
        } else {
            out += text[at];
        }
    }
    return out;
}

struct Request
{
    std::string method, target, path, body;
    std::map<std::string, std::string> query;
    Fields fields;
    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    std::string parameter(const std::string &name) const
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    }
};

/// A connected socket with a read buffer.
class Stream
{
public:
    explicit Stream(int socket) : m_socket(socket) { }
    Stream(const Stream &) = delete;
    ~Stream() { ::close(m_socket); }

    bool write(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    /// Reads more into the buffer; false at the end of the connection, an error, or the deadline.
    bool fill(Clock::time_point deadline = Clock::time_point::max())
    {
        if (deadline != Clock::time_point::max()) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
            pollfd state{m_socket, POLLIN, 0};
            if (left <= 0 || ::poll(&state, 1, static_cast<int>(left)) <= 0) {
                return false;
            }
        }
        char bytes[16384];
        const auto size = ::recv(m_socket, bytes, sizeof bytes, 0);
        if (size <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }
    std::optional<std::string> line(Clock::time_point deadline = Clock::time_point::max())
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        std::string result = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return result;
    }
    std::optional<std::string> bytes(std::size_t size, Clock::time_point deadline = Clock::time_point::max())
    {
        while (m_buffer.size() < size) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        std::string result = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return result;
    }
    /// Whether the peer has closed the connection.
    bool isClosed()
    {
        char byte = 0;
        const auto size = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    void reset()
    {
        const linger option{1, 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }

private:
    int m_socket;
    std::string m_buffer;
};

inline std::optional<Fields> readFields(Stream &stream, Clock::time_point deadline = Clock::time_point::max())
{
    Fields fields;
    while (auto line = stream.line(deadline)) {
        if (line->empty()) {
            return fields;
        }
        const auto colon = line->find(':');
        auto value = line->substr(std::min(colon + 1, line->size()));
        value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
        fields[lower(line->substr(0, colon))] = value;
    }
    return std::nullopt;
}

inline std::optional<Request> readRequest(Stream &stream)
{
    const auto first = stream.line();
    if (!first) {
        return std::nullopt;
    }
    Request request;
    const auto space = first->find(' ');
    const auto second = first->find(' ', space + 1);
    if (space == std::string::npos || second == std::string::npos) {
        return std::nullopt;
    }
    request.method = first->substr(0, space);
    request.target = first->substr(space + 1, second - space - 1);
    request.path = request.target.substr(0, request.target.find('?'));
    if (const auto mark = request.target.find('?'); mark != std::string::npos) {
        std::string_view rest = std::string_view(request.target).substr(mark + 1);
        while (!rest.empty()) {
            const auto pair = rest.substr(0, rest.find('&'));
            rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
            const auto equals = pair.find('=');
            request.query[percentDecoded(pair.substr(0, equals))]
                = equals == std::string_view::npos ? "" : percentDecoded(pair.substr(equals + 1));
        }
    }
    auto fields = readFields(stream);
    if (!fields) {
        return std::nullopt;
    }
    request.fields = std::move(*fields);
    if (const auto length = request.field("content-length"); !length.empty()) {
        auto body = stream.bytes(std::stoul(length));
        if (!body) {
            return std::nullopt;
        }
        request.body = std::move(*body);
    }
    return request;
}

inline std::string answer(int status, const std::string &body, const std::string &extraFields = {},
                          const std::string &type = "application/json")
{
    return "HTTP/1.1 " + std::to_string(status) + " S\r\nContent-Type: " + type + "\r\n" + extraFields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A listening socket, or -1 if the address is taken.
inline int listenOn(const std::string &ip, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(socket, 256) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

inline int connectTo(const std::string &ip, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

/// Serves each connection on its own thread. The handler writes the answer; it returns whether the connection goes on.
inline void serve(int listener, std::function<bool(Stream &, const Request &)> handler)
{
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            const int socket = ::accept(listener, nullptr, nullptr);
            if (socket < 0) {
                return;
            }
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([socket, handler] {
                Stream stream(socket);
                while (auto request = readRequest(stream)) {
                    if (!handler(stream, *request)) {
                        return;
                    }
                }
            }).detach();
        }
    }).detach();
}

} // namespace standin
