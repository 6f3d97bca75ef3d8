#pragma once

// Stand-ins for the platform, its backend servers and its callers, shared by the cases of the second review.
// Blocking sockets, one thread for each connection; loopback addresses only.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline constexpr int exitHeld = 0;
inline constexpr int exitBroken = 1;
inline constexpr int exitNotRun = 2;

inline bool hasTrouble()
{
    const char *const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

inline void sleepMs(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/// What was sent, answered and run, with the seconds since the start.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path) { }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f s  ", secondsNow());
        m_file << time << text << std::endl;
        std::cout << time << text << std::endl;
    }
    double secondsNow() const { return std::chrono::duration<double>(Clock::now() - m_start).count(); }

private:
    const Clock::time_point m_start = Clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// A port of `ip` that is free for TCP now.
inline int freePort(const std::string &ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    auto address = addressOf(ip, 0);
    socklen_t size = sizeof(address);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("no free port on " + ip);
    }
    ::close(fd);
    return ntohs(address.sin_port);
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

/// A connected socket, or -1. `receiveBytes` bounds the receive buffer; 0 leaves the default.
inline int connectTo(const std::string &ip, int port, int receiveBytes = 0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    if (receiveBytes > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
    }
    const auto address = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

struct Request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

/// Reads requests with a length from one connection, one after the other.
class RequestReader
{
public:
    explicit RequestReader(int fd) : m_fd(fd) { }

    std::optional<Request> next()
    {
        std::size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore()) {
                return std::nullopt;
            }
        }
        Request request;
        std::istringstream head(m_bytes.substr(0, end));
        std::string line;
        std::getline(head, line);
        std::istringstream(line) >> request.method >> request.target;
        while (std::getline(head, line)) {
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string name = line.substr(0, colon);
            for (char &letter : name) {
                letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
            }
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of("\r ") + 1);
            request.fields[name] = value;
        }
        const auto length = request.field("content-length");
        const std::size_t bodyBytes = length.empty() ? 0 : std::stoul(length);
        m_bytes.erase(0, end + 4);
        while (m_bytes.size() < bodyBytes) {
            if (!readMore()) {
                return std::nullopt;
            }
        }
        request.body = m_bytes.substr(0, bodyBytes);
        m_bytes.erase(0, bodyBytes);
        return request;
    }

private:
    bool readMore()
    {
        char buffer[16384];
        const auto size = ::recv(m_fd, buffer, sizeof(buffer), 0);
        if (size <= 0) {
            return false;
        }
        m_bytes.append(buffer, static_cast<std::size_t>(size));
        return true;
    }

    const int m_fd;
    std::string m_bytes;
};

/// Accepts connections on a loopback address; calls the handler in a thread of its own for each.
class Listener
{
public:
    using Handler = std::function<void(int fd)>;

    Listener(const std::string &ip, int port, Handler handler) : m_handler(std::move(handler))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto address = addressOf(ip, port);
        if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
            || ::listen(m_fd, 128) != 0) {
            throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
        }
        std::thread([this] {
            while (true) {
                const int fd = ::accept(m_fd, nullptr, nullptr);
                if (fd < 0) {
                    return;
                }
                const int noDelay = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
                std::thread([this, fd] {
                    m_handler(fd);
                    ::close(fd);
                }).detach();
            }
        }).detach();
    }

private:
    const Handler m_handler;
    int m_fd = -1;
};

inline std::string base64(const std::string &bytes)
{
    static const char *const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            const auto byte = at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0U;
            group = (group << 8U) | byte;
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += at + index > bytes.size() ? '=' : letters[(group >> (18 - 6 * index)) & 63U];
        }
    }
    return text;
}

inline std::string httpAnswer(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store, without disruptions: items, lists of a prefix, watches, leases that never end by themselves
/// while they are renewed, and transactions.
class Store
{
public:
    Store(const std::string &ip, int port)
        : m_listener(ip, port, [this](int fd) { serve(fd); })
    { }

    void put(const std::string &key, const std::string &value, std::uint64_t lease = 0)
    {
        const std::lock_guard lock(m_mutex);
        write(key, base64(value), lease);
    }

private:
    void write(const std::string &key, const std::string &encoded, std::uint64_t lease)
    {
        ++m_revision;
        const auto known = m_items.find(key);
        const Json created = known == m_items.end() ? Json(m_revision) : known->second["Created"];
        m_items[key] = {{"Key", key}, {"Value", encoded}, {"Revision", m_revision}, {"Created", created},
                        {"Lease", lease}};
        m_log.push_back(m_items[key]);
        m_changed.notify_all();
    }

    void serve(int fd)
    {
        RequestReader reader(fd);
        while (auto request = reader.next()) {
            const auto [status, body] = answer(*request);
            if (!sendAll(fd, httpAnswer(status, body.dump()))) {
                return;
            }
        }
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const auto at = target.find(name + "=");
        if (at == std::string::npos) {
            return {};
        }
        const auto start = at + name.size() + 1;
        return target.substr(start, target.find('&', start) - start);
    }

    std::pair<int, Json> answer(const Request &request)
    {
        std::unique_lock lock(m_mutex);
        const auto path = request.target.substr(0, request.target.find('?'));
        const auto prefix = parameter(request.target, "Prefix");
        if (path == "/-/kv-range") {
            Json items = Json::array();
            for (const auto &[key, item] : m_items) {
                if (key.starts_with(prefix) && key > parameter(request.target, "After")) {
                    items.push_back(item);
                }
            }
            return {200, {{"Items", items}, {"HasMore", false}, {"At", m_revision}}};
        }
        if (path == "/-/kv-watch") {
            const auto after = std::stoull(parameter(request.target, "After"));
            const auto end = Clock::now() + std::chrono::milliseconds(std::stoi(parameter(request.target, "WaitMs")));
            Json events = Json::array();
            do {
                for (const auto &item : m_log) {
                    if (item["Revision"].get<std::uint64_t>() > after
                        && item["Key"].get<std::string>().starts_with(prefix)) {
                        events.push_back(item);
                    }
                }
            } while (events.empty() && m_changed.wait_until(lock, end) != std::cv_status::timeout);
            return {200, {{"events", events}, {"At", m_revision}}};
        }
        if (path == "/-/kv-lease") {
            return {200, {{"Lease", ++m_lastLease}, {"TtlMs", Json::parse(request.body)["TtlMs"]}}};
        }
        if (path.starts_with("/-/kv-keep/")) {
            return {200, {{"TtlMs", 3000}}};
        }
        if (path == "/-/kv-txn") {
            return transact(Json::parse(request.body));
        }
        return {404, Json::object()};
    }

    std::pair<int, Json> transact(const Json &body)
    {
        for (const auto &expected : body["Expected"]) {
            const auto found = m_items.find(expected["Key"].get<std::string>());
            const auto revision = found == m_items.end() ? Json(0) : found->second["Revision"];
            if (revision != expected["Revision"]) {
                return {412, {{"Items", found == m_items.end() ? Json::array() : Json::array({found->second})}}};
            }
        }
        for (const auto &each : body["Writes"]) {
            write(each["Key"], each["Value"], each.value("Lease", std::uint64_t{0}));
        }
        return {200, {{"Revision", m_revision}}};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 10;
    std::uint64_t m_lastLease = 100;
    std::map<std::string, Json> m_items;
    std::vector<Json> m_log;
    Listener m_listener;
};

/// A program of the project, started with a command of the deploy file in the repository's root.
class Program
{
public:
    Program(const std::string &root, const std::string &role, const std::string &settingsPath,
            const std::string &logPath)
    {
        m_pid = ::fork();
        if (m_pid == 0) {
            // The case itself may be killed at the end of its time.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(logPath.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            if (::chdir(root.c_str()) != 0) {
                ::_exit(127);
            }
            ::setenv("LYCHEELANDING_CONFIG", settingsPath.c_str(), 1);
            ::execl("target/bin/lycheelandingd", "lycheelandingd", role.c_str(), "--platform", nullptr);
            ::_exit(127);
        }
    }
    ~Program()
    {
        if (isRunning()) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
        }
    }
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    pid_t pid() const { return m_pid; }
    void signal(int number) const { ::kill(m_pid, number); }

    bool isRunning()
    {
        if (m_hasEnded) {
            return false;
        }
        m_hasEnded = ::waitpid(m_pid, &m_status, WNOHANG) == m_pid;
        return !m_hasEnded;
    }
    int status() const { return m_status; }

    /// A figure of /proc/PID/status in bytes, such as "VmRSS" or "VmHWM"; 0 if the process has ended.
    std::uint64_t memory(const std::string &name) const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.starts_with(name + ":")) {
                return std::stoull(line.substr(name.size() + 1)) * 1024;
            }
        }
        return 0;
    }

private:
    pid_t m_pid = -1;
    bool m_hasEnded = false;
    int m_status = 0;
};

inline void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

/// The settings of an entry of the deployment jackhead-kol, with the addresses of a case.
inline std::string entrySettings(const std::string &ip, int frontPort, const std::string &store)
{
    const auto address = [&ip](int port) { return ip + ":" + std::to_string(port); };
    const int internalPort = freePort(ip);
    return "NodeName=front-kolkata-a-1\nRole=entry\nMachineClass=front\nServes=front\nIp=" + ip
        + "\nZone=kolkata-a\nRegion=bengal\nListen.Front=" + address(frontPort)
        + "\nListen.Readiness=" + address(freePort(ip)) + "\nInternalPorts=" + std::to_string(internalPort) + ","
        + std::to_string(internalPort + 9)
        + "\nLimits.CpuShare=0.19\nLimits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0"
          "\nDiscovery=platform\nHeartbeatMs=1200"
          "\nContracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,experts"
          "\nBounds.StableWindowMs=3000\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200"
          "\nBounds.ConfigApplyMs=2000\nBounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10"
          "\nBounds.RetryBudgetSlack=92\nBounds.FencingRequired=true\nPlatform.Address="
        + store + "\nPlatform.form=kv\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\n";
}

/// Stops the entry as the platform does: SIGTERM, and SIGKILL after the grace period. Returns the time of the SIGTERM.
inline double stopAsPlanned(Program &entry, Record &record, int graceMs)
{
    const double stoppedAt = record.secondsNow();
    record.line("SIGTERM to the entry; SIGKILL would follow after " + std::to_string(graceMs) + " ms");
    entry.signal(SIGTERM);
    while (entry.isRunning() && record.secondsNow() < stoppedAt + graceMs / 1000.0) {
        sleepMs(10);
    }
    record.line(entry.isRunning() ? "the entry runs at the end of the grace period" : "the entry has ended by itself");
    if (entry.isRunning()) {
        entry.signal(SIGKILL);
    }
    return stoppedAt;
}

/// The main function of a case: runs it with the repository's root, the folder of the case and a temporary folder.
template <typename Run>
int runCase(int argc, char **argv, Run run)
{
    if (argc != 4) {
        std::cerr << "usage: " << argv[0] << " ROOT FOLDER TEMPORARY-FOLDER" << std::endl;
        return exitNotRun;
    }
    try {
        // Threads of the stand-ins are still blocked in their sockets.
        std::_Exit(run(argv[1], argv[2], argv[3]));
    } catch (const std::exception &error) {
        std::cerr << error.what() << std::endl;
        std::_Exit(exitNotRun);
    }
}

} // namespace review
