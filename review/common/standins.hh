// Stand-ins for the scripts under review/: the platform's store, plain workers, clients, and the start of the
// project's own programs. One thread per connection, blocking sockets, loopback addresses only.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

inline const Clock::time_point startTime = Clock::now();

inline double secondsSinceStart(Clock::time_point time = Clock::now())
{
    return std::chrono::duration<double>(time - startTime).count();
}

/// What was sent, answered and run, one line each, with the seconds since the start.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(std::fopen(path.c_str(), "w")) { }
    ~Record()
    {
        if (m_file != nullptr) {
            std::fclose(m_file);
        }
    }

    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        const std::lock_guard lock(m_mutex);
        if (m_file == nullptr) {
            return;
        }
        std::fprintf(m_file, "%8.3f ", secondsSinceStart());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

inline bool isTroubleOn()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

// Sockets

inline sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline void setNoDelay(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/// A TCP port that is free now, or the first of `count` consecutive ones that are free for UDP.
inline std::uint16_t freePort(const std::string &ip = "127.0.0.1", int type = SOCK_STREAM)
{
    const int socket = ::socket(AF_INET, type, 0);
    sockaddr_in address = addressOf(ip, 0);
    ::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address);
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

/// A connected socket, or -1.
inline int connectTo(const std::string &ip, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = addressOf(ip, port);
    if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    setNoDelay(socket);
    return socket;
}

inline bool sendAll(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// Closes with a reset instead of a regular end.
inline void closeWithReset(int socket)
{
    const linger option{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    ::close(socket);
}

/// A listening socket with a thread for each connection. Connections are closed when it is destroyed.
class Listener
{
public:
    using Handler = std::function<void(int socket)>;

    Listener(std::string ip, std::uint16_t port, Handler handler) : m_ip(std::move(ip)), m_handler(std::move(handler))
    {
        m_socket = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = addressOf(m_ip, port);
        if (::bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            || ::listen(m_socket, 512) != 0) {
            std::perror("listen");
            std::exit(couldNotRun);
        }
        socklen_t size = sizeof address;
        ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { accept(); });
    }

    ~Listener() { stop(); }

    /// Ends the listening socket and all connections, as the end of the process would.
    void stop()
    {
        if (m_isStopped.exchange(true)) {
            return;
        }
        ::shutdown(m_socket, SHUT_RDWR);
        m_thread.join();
        ::close(m_socket);
        closeConnections();
        while (m_running.load() > 0) {
            std::this_thread::sleep_for(milliseconds(1));
        }
    }

    void closeConnections()
    {
        const std::lock_guard lock(m_mutex);
        for (const int socket : m_connections) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }

    std::uint16_t port() const { return m_port; }
    std::string address() const { return m_ip + ":" + std::to_string(m_port); }

private:
    void accept()
    {
        while (!m_isStopped) {
            const int socket = ::accept(m_socket, nullptr, nullptr);
            if (socket < 0) {
                if (m_isStopped) {
                    return;
                }
                continue;
            }
            setNoDelay(socket);
            {
                const std::lock_guard lock(m_mutex);
                m_connections.insert(socket);
            }
            ++m_running;
            std::thread([this, socket] {
                m_handler(socket);
                {
                    const std::lock_guard lock(m_mutex);
                    m_connections.erase(socket);
                }
                ::close(socket);
                --m_running;
            }).detach();
        }
    }

    const std::string m_ip;
    const Handler m_handler;
    int m_socket = -1;
    std::uint16_t m_port = 0;
    std::thread m_thread;
    std::atomic<bool> m_isStopped = false;
    std::atomic<int> m_running = 0;
    std::mutex m_mutex;
    std::set<int> m_connections;
};

// HTTP

inline bool isSameName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char one, char other) { return std::tolower(one) == std::tolower(other); });
}

/// A request or an answer.
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    /// The connection ended before the message did.
    bool isCutOff = false;

    std::string field(std::string_view name) const
    {
        for (const auto &[key, value] : fields) {
            if (isSameName(key, name)) {
                return value;
            }
        }
        return {};
    }
    bool has(std::string_view name) const
    {
        return std::any_of(fields.begin(), fields.end(), [name](const auto &each) { return isSameName(each.first, name); });
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const auto first = startLine.find(' ');
        return startLine.substr(first + 1, startLine.rfind(' ') - first - 1);
    }
    std::string path() const
    {
        const std::string whole = target();
        return whole.substr(0, whole.find('?'));
    }
    std::string query(const std::string &name) const
    {
        const std::string whole = target();
        std::string rest = whole.find('?') == std::string::npos ? "" : whole.substr(whole.find('?') + 1);
        while (!rest.empty()) {
            const auto end = std::min(rest.find('&'), rest.size());
            const std::string part = rest.substr(0, end);
            rest.erase(0, std::min(end + 1, rest.size()));
            if (part.rfind(name + "=", 0) == 0) {
                return part.substr(name.size() + 1);
            }
        }
        return {};
    }
    int status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
};

/// Reads messages from a socket, one after the other.
class MessageReader
{
public:
    explicit MessageReader(int socket) : m_socket(socket) { }

    /// Nothing at the end of the connection or after the timeout. A message whose body is cut off is marked so.
    std::optional<Message> next(milliseconds timeout = std::chrono::hours(1))
    {
        m_deadline = Clock::now() + timeout;
        Message message;
        const auto head = readTo("\r\n\r\n");
        if (!head) {
            return std::nullopt;
        }
        std::string_view rest(*head);
        message.startLine = std::string(takeLine(rest));
        while (!rest.empty()) {
            const auto line = takeLine(rest);
            const auto colon = line.find(':');
            if (colon != std::string_view::npos) {
                auto value = line.substr(colon + 1);
                value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
                message.fields.emplace_back(std::string(line.substr(0, colon)), std::string(value));
            }
        }
        if (isSameName(message.field("Transfer-Encoding"), "chunked")) {
            readChunks(message);
        } else {
            const auto size = static_cast<std::size_t>(std::atoll(message.field("Content-Length").c_str()));
            message.isCutOff = !readBytes(size, message.body);
        }
        return message;
    }

    bool hasBytes() const { return !m_bytes.empty(); }

private:
    static std::string_view takeLine(std::string_view &rest)
    {
        const auto end = std::min(rest.find("\r\n"), rest.size());
        const auto line = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 2, rest.size()));
        return line;
    }

    bool receive()
    {
        const auto left = std::chrono::duration_cast<milliseconds>(m_deadline - Clock::now()).count();
        pollfd state{m_socket, POLLIN, 0};
        if (left <= 0 || ::poll(&state, 1, static_cast<int>(std::min<long long>(left, 1 << 30))) <= 0) {
            return false;
        }
        char buffer[16384];
        const auto size = ::recv(m_socket, buffer, sizeof buffer, 0);
        if (size <= 0) {
            return false;
        }
        m_bytes.append(buffer, static_cast<std::size_t>(size));
        return true;
    }

    std::optional<std::string> readTo(const std::string &end)
    {
        while (m_bytes.find(end) == std::string::npos) {
            if (!receive()) {
                return std::nullopt;
            }
        }
        const auto at = m_bytes.find(end);
        std::string result = m_bytes.substr(0, at);
        m_bytes.erase(0, at + end.size());
        return result;
    }

    bool readBytes(std::size_t size, std::string &result)
    {
        while (m_bytes.size() < size) {
            if (!receive()) {
                return false;
            }
        }
        result.append(m_bytes, 0, size);
        m_bytes.erase(0, size);
        return true;
    }

    void readChunks(Message &message)
    {
        message.isCutOff = true;
        while (true) {
            const auto line = readTo("\r\n");
            if (!line) {
                return;
            }
            const auto size = static_cast<std::size_t>(std::strtoull(line->c_str(), nullptr, 16));
            if (size == 0) {
                message.isCutOff = !readTo("\r\n");
                return;
            }
            if (!readBytes(size, message.body) || !readTo("\r\n")) {
                return;
            }
        }
    }

    const int m_socket;
    std::string m_bytes;
    Clock::time_point m_deadline;
};

inline std::string answerText(int status, const std::string &fields, const std::string &body)
{
    const char *const phrase = status == 200 ? "OK" : status == 503 ? "Service Unavailable" : "Answer";
    return "HTTP/1.1 " + std::to_string(status) + " " + phrase + "\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store

inline std::string base64(std::string_view bytes)
{
    static constexpr char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t offset = 0; offset < bytes.size(); offset += 3) {
        unsigned group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - offset);
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8 | (index < count ? static_cast<unsigned char>(bytes[offset + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index <= count ? alphabet[group >> (18 - 6 * index) & 63U] : '=';
        }
    }
    return text;
}

inline std::string percentDecoded(const std::string &text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            result += text[index];
        }
    }
    return result;
}

/// The platform's store: keys, ranges, watches, transactions and leases, as the users' pages describe them. It answers
/// after 4 ms and keeps its whole history.
class Store
{
public:
    explicit Store(Record &record, const std::string &ip = "127.0.0.1", std::uint16_t port = 0)
        : m_record(record), m_listener(ip, port, [this](int socket) { serve(socket); })
    { }

    ~Store() { stop(); }

    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopped = true;
        }
        m_changed.notify_all();
        m_listener.stop();
    }

    std::string address() const { return m_listener.address(); }

    /// Writes or removes a key as the operator or a worker; returns when the store has acknowledged it.
    Clock::time_point put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        write(key, value, 0);
        m_changed.notify_all();
        return Clock::now();
    }
    Clock::time_point remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        erase(key);
        m_changed.notify_all();
        return Clock::now();
    }

    /// Takes over all keys and the revision of another store that is about to end.
    void takeOver(Store &other)
    {
        const std::scoped_lock lock(m_mutex, other.m_mutex);
        m_items = other.m_items;
        m_history = other.m_history;
        m_leases = other.m_leases;
        m_revision = other.m_revision;
        m_lastLease = other.m_lastLease;
    }

    /// Cuts all watches that wait under `prefix`: their connections end without an answer.
    int cutWatches(const std::string &prefix)
    {
        const std::lock_guard lock(m_mutex);
        ++m_cuts[prefix];
        const int waiting = m_waiting[prefix];
        m_changed.notify_all();
        return waiting;
    }
    /// All connections that are open now go silent for good, while new ones work. The other side's own TCP would show it
    /// after `detection` without an acknowledgement, so each is reset that long after the first bytes that come on it, or
    /// after its last use where none come.
    Clock::time_point silenceConnections(milliseconds detection)
    {
        const std::lock_guard lock(m_mutex);
        m_detection = detection;
        ++m_silences;
        m_changed.notify_all();
        return Clock::now();
    }
    /// Watches that wait under `prefix`.
    int waiting(const std::string &prefix)
    {
        const std::lock_guard lock(m_mutex);
        return m_waiting[prefix];
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Event
    {
        std::string key;
        std::optional<Item> item;
        std::uint64_t revision = 0;
    };
    struct Lease
    {
        milliseconds timeToLive{};
        Clock::time_point end;
    };

    void write(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        Item &item = m_items[key];
        item.value = value;
        item.lease = lease;
        item.revision = ++m_revision;
        item.created = item.created == 0 ? m_revision : item.created;
        m_history.push_back({key, item, m_revision});
    }

    void erase(const std::string &key)
    {
        if (m_items.erase(key) > 0) {
            m_history.push_back({key, std::nullopt, ++m_revision});
        }
    }

    void endLeases()
    {
        const auto now = Clock::now();
        std::vector<std::string> ended;
        std::erase_if(m_leases, [now](const auto &each) { return now >= each.second.end; });
        for (const auto &[key, item] : m_items) {
            if (item.lease != 0 && !m_leases.contains(item.lease)) {
                ended.push_back(key);
            }
        }
        for (const auto &key : ended) {
            erase(key);
        }
        if (!ended.empty()) {
            m_changed.notify_all();
        }
    }

    static Json jsonOf(const std::string &key, const Item &item)
    {
        return {{"Key", key},
                {"Value", base64(item.value)},
                {"Revision", item.revision},
                {"Created", item.created},
                {"Lease", item.lease}};
    }

    void serve(int socket)
    {
        MessageReader reader(socket);
        const int silences = m_silences;
        auto lastUse = Clock::now();
        while (true) {
            // Short waits, so that a silence is seen.
            pollfd state{socket, POLLIN, 0};
            const bool isReadable = reader.hasBytes() || ::poll(&state, 1, 5) > 0;
            if (m_silences != silences) {
                staySilent(socket, isReadable ? Clock::now() : lastUse, isReadable);
                return;
            }
            if (!isReadable) {
                continue;
            }
            const auto request = reader.next();
            if (!request) {
                return;
            }
            lastUse = Clock::now();
            std::string body;
            const int status = request->path() == "/-/kv-watch" ? watch(*request, body) : call(*request, body);
            if (m_silences != silences) {
                staySilent(socket, lastUse, true);
                return;
            }
            if (status == 0) {
                return;
            }
            std::this_thread::sleep_for(milliseconds(4));
            if (!sendAll(socket, answerText(status, "Content-Type: application/json\r\n", body))) {
                return;
            }
        }
    }

    void staySilent(int socket, Clock::time_point lastUse, bool hasBytes)
    {
        pollfd state{socket, POLLIN, 0};
        while (!hasBytes && Clock::now() < lastUse + m_detection && !m_isStopped) {
            hasBytes = ::poll(&state, 1, 5) > 0;
            lastUse = hasBytes ? Clock::now() : lastUse;
        }
        while (Clock::now() < lastUse + m_detection && !m_isStopped) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        const linger option{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }

    /// Status 0: the watch is cut.
    int watch(const Message &request, std::string &body)
    {
        const std::string prefix = percentDecoded(request.query("Prefix"));
        std::uint64_t after = std::strtoull(request.query("After").c_str(), nullptr, 10);
        const auto end = Clock::now() + milliseconds(std::atoi(request.query("WaitMs").c_str()));
        std::unique_lock lock(m_mutex);
        const int cuts = m_cuts[prefix];
        const int silences = m_silences;
        Json events = Json::array();
        ++m_waiting[prefix];
        while (true) {
            endLeases();
            for (const auto &event : m_history) {
                if (event.revision > after && event.key.rfind(prefix, 0) == 0) {
                    events.push_back(event.item ? jsonOf(event.key, *event.item)
                                                : Json{{"Key", event.key}, {"Revision", event.revision}, {"Tombstone", true}});
                }
            }
            if (!events.empty() || Clock::now() >= end || m_isStopped || m_cuts[prefix] != cuts
                || m_silences != silences) {
                break;
            }
            m_changed.wait_until(lock, std::min(end, Clock::now() + milliseconds(50)));
        }
        --m_waiting[prefix];
        if (m_isStopped || (events.empty() && m_cuts[prefix] != cuts)) {
            return 0;
        }
        body = Json{{"events", events}, {"At", m_revision}}.dump();
        return 200;
    }

    int call(const Message &request, std::string &body)
    {
        const std::lock_guard lock(m_mutex);
        endLeases();
        const std::string path = request.path();
        if (path == "/-/kv-range") {
            const std::string prefix = percentDecoded(request.query("Prefix"));
            const std::string after = percentDecoded(request.query("After"));
            Json items = Json::array();
            for (const auto &[key, item] : m_items) {
                if (key.rfind(prefix, 0) == 0 && key > after) {
                    items.push_back(jsonOf(key, item));
                }
            }
            body = Json{{"Items", items}, {"HasMore", false}, {"At", m_revision}}.dump();
            return 200;
        }
        if (path == "/-/kv-key") {
            const std::string key = percentDecoded(request.query("Key"));
            const auto found = m_items.find(key);
            if (found == m_items.end()) {
                return 404;
            }
            Json item = jsonOf(key, found->second);
            item["At"] = m_revision;
            body = item.dump();
            return 200;
        }
        const Json json = Json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
        if (path == "/-/kv-lease") {
            const milliseconds timeToLive(json.value("TtlMs", 1000));
            m_leases[++m_lastLease] = {timeToLive, Clock::now() + timeToLive};
            body = Json{{"Lease", m_lastLease}, {"TtlMs", timeToLive.count()}}.dump();
            return 200;
        }
        if (path.rfind("/-/kv-keep/", 0) == 0) {
            const auto found = m_leases.find(std::strtoull(path.c_str() + 11, nullptr, 10));
            if (found == m_leases.end()) {
                return 404;
            }
            found->second.end = Clock::now() + found->second.timeToLive;
            body = Json{{"TtlMs", found->second.timeToLive.count()}}.dump();
            return 200;
        }
        if (path == "/-/kv-txn") {
            return transact(json, body);
        }
        return 400;
    }

    int transact(const Json &json, std::string &body)
    {
        bool isMet = true;
        Json current = Json::array();
        for (const auto &expected : json.value("Expected", Json::array())) {
            const std::string key = expected.value("Key", "");
            const auto found = m_items.find(key);
            const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
            isMet = isMet && revision == expected.value("Revision", std::uint64_t{0});
            if (found != m_items.end()) {
                current.push_back(jsonOf(key, found->second));
            }
        }
        if (!isMet) {
            body = Json{{"Items", current}}.dump();
            return 412;
        }
        for (const auto &each : json.value("Writes", Json::array())) {
            const auto lease = each.value("Lease", std::uint64_t{0});
            if (lease != 0 && !m_leases.contains(lease)) {
                return 404;
            }
        }
        for (const auto &each : json.value("Writes", Json::array())) {
            write(each.value("Key", ""), "", each.value("Lease", std::uint64_t{0}));
        }
        for (const auto &each : json.value("Remove", Json::array())) {
            erase(each.get<std::string>());
        }
        m_changed.notify_all();
        body = Json{{"Revision", m_revision}}.dump();
        return 200;
    }

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_isStopped = false;
    std::atomic<int> m_silences = 0;
    milliseconds m_detection{};
    std::uint64_t m_revision = 100;
    std::uint64_t m_lastLease = 70000;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_history;
    std::map<std::uint64_t, Lease> m_leases;
    std::map<std::string, int> m_cuts;
    std::map<std::string, int> m_waiting;
    Listener m_listener;
};

// The project's programs

/// A child process. It is killed when it is destroyed.
class Process
{
public:
    Process(const std::vector<std::string> &command, const std::string &settingsPath, const std::string &logPath)
    {
        m_id = ::fork();
        if (m_id == 0) {
            // It must not outlive a case that is ended from outside.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            std::FILE *const log = std::freopen(logPath.c_str(), "a", stdout);
            if (log != nullptr) {
                ::dup2(::fileno(stdout), 2);
            }
            ::setenv("LYCHEELANDING_CONFIG", settingsPath.c_str(), 1);
            std::vector<char *> arguments;
            for (const auto &word : command) {
                arguments.push_back(const_cast<char *>(word.c_str()));
            }
            arguments.push_back(nullptr);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
    }
    ~Process() { end(); }
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const
    {
        if (m_id > 0) {
            ::kill(m_id, number);
        }
    }
    bool isRunning()
    {
        int status = 0;
        if (m_id > 0 && ::waitpid(m_id, &status, WNOHANG) == m_id) {
            m_status = status;
            m_id = -1;
        }
        return m_id > 0;
    }
    /// The status of waitpid(), once it has ended.
    std::optional<int> status() const { return m_status; }

    void end()
    {
        if (isRunning()) {
            ::kill(m_id, SIGCONT);
            ::kill(m_id, SIGKILL);
            int status = 0;
            ::waitpid(m_id, &status, 0);
            m_status = status;
            m_id = -1;
        }
    }

private:
    pid_t m_id = -1;
    std::optional<int> m_status;
};

/// Folder of the run's settings and logs; removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        const char *const base = std::getenv("TMPDIR");
        std::string pattern = std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
        m_path = ::mkdtemp(pattern.data());
    }
    ~TemporaryFolder()
    {
        for (const auto &name : m_files) {
            ::unlink((m_path + "/" + name).c_str());
        }
        ::rmdir(m_path.c_str());
    }

    std::string file(const std::string &name)
    {
        m_files.insert(name);
        return m_path + "/" + name;
    }
    /// Replaces the file in one step, as the platform does.
    std::string write(const std::string &name, const std::string &text)
    {
        const std::string path = file(name);
        {
            std::ofstream out(path + ".new");
            out << text;
        }
        std::rename((path + ".new").c_str(), path.c_str());
        return path;
    }

private:
    std::string m_path;
    std::set<std::string> m_files;
};

struct EntryAddresses
{
    std::string ip = "127.0.0.1";
    std::uint16_t front = freePort();
    std::uint16_t readiness = freePort();
    std::uint16_t internal = freePort("127.0.0.1", SOCK_DGRAM);
};

/// The settings of an entry, with the bounds of the site bvp-lines.
inline std::string entrySettings(const EntryAddresses &addresses, const std::string &store,
                                 const std::string &name = "front-qld-se-a-1")
{
    const auto endpoint = [&](std::uint16_t port) { return addresses.ip + ":" + std::to_string(port); };
    return "NodeName=" + name + "\nRole=entry\nMachineClass=front\nServes=front\nIp=" + addresses.ip
        + "\nZone=qld-se-a\nRegion=qld-se\nListen.Front=" + endpoint(addresses.front)
        + "\nListen.Readiness=" + endpoint(addresses.readiness) + "\nInternalPorts="
        + std::to_string(addresses.internal) + "," + std::to_string(addresses.internal + 15)
        + "\nBootstrap=true\nLimits.CpuShare=0.19\nLimits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\n"
          "Limits.LinkMbps=1000.0\nDiscovery=platform\nEntry=vip\nHeartbeatMs=1200\nBounds.AddrReuseS=2\n"
          "Bounds.StableWindowMs=3000\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200\n"
          "Bounds.ConfigApplyMs=2000\nBounds.RollbackSlackMs=250\nBounds.OuterMs=5000\nBounds.RetryBudgetRatio=0.2\n"
          "Bounds.BudgetWindowS=10\nBounds.RetryBudgetSlack=92\nBounds.RecoveryS=12\nBounds.FencingRequired=true\n"
          "Platform.Address="
        + store
        + "\nPlatform.form=kv\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\nPlatform.HistoryS=20\n"
          "Platform.ValueBytes=1048576\nPlatform.MinTtlMs=1000\n";
}

inline const std::string program = "target/bin/lycheelandingd";

/// GET /-/readiness of an entry answers 200.
inline bool isReady(const EntryAddresses &addresses)
{
    const int socket = connectTo(addresses.ip, addresses.readiness);
    if (socket < 0) {
        return false;
    }
    sendAll(socket, "GET /-/readiness HTTP/1.1\r\nHost: a\r\n\r\n");
    MessageReader reader(socket);
    const auto answer = reader.next(milliseconds(500));
    ::close(socket);
    return answer && answer->status() == 200;
}

inline bool waitUntilReady(const EntryAddresses &addresses)
{
    for (int tries = 0; tries < 200; ++tries) {
        if (isReady(addresses)) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

// Documents

inline std::string registration(const std::string &service, const std::string &address, const std::string &state,
                                std::uint64_t born, std::uint64_t sequence, int slots = 6)
{
    return Json{{"Service", service},
                {"Address", address},
                {"Zone", "qld-se-a"},
                {"Version", "v1"},
                {"Slots", slots},
                {"State", state},
                {"ColdRemainingMs", 0},
                {"Sequence", sequence},
                {"born", born}}
        .dump();
}

inline std::uint64_t unixMilliseconds()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

} // namespace review
