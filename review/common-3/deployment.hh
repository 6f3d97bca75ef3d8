// A small deployment on loopback addresses: the project's programs as processes, started with the commands of the deploy
// file, beside stand-ins for the platform's store, the workers and the clients.
#pragma once

#include "rankgroup.hh"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace standin {

/// Lines with the time since the start, in record.txt.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path) { }
    void operator()(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_start).count();
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f s  ", static_cast<double>(ms) / 1000.0);
        m_file << time << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const Clock::time_point m_start = Clock::now();
};

struct Ports
{
    std::uint16_t front = 0, readiness = 0, store = 0, app = 0, internal = 0;
};

/// Ports that are free at the loopback addresses of the deployment.
inline std::optional<Ports> freePorts(int net)
{
    std::mt19937 random(static_cast<unsigned>(::getpid()) * 2654435761U ^ static_cast<unsigned>(std::time(nullptr)));
    for (int attempt = 0; attempt < 50; ++attempt) {
        const auto base = static_cast<std::uint16_t>(20000 + random() % 9000);
        bool isFree = true;
        for (int offset = 0; offset < 6 && isFree; ++offset) {
            for (const int host : {2, 3, 11, 18, 22}) {
                const int socket = listenOn("127.0." + std::to_string(net) + "." + std::to_string(host),
                                            static_cast<std::uint16_t>(base + offset));
                isFree = isFree && socket >= 0;
                if (socket >= 0) {
                    ::close(socket);
                }
            }
        }
        if (isFree) {
            const auto port = [base](int offset) { return static_cast<std::uint16_t>(base + offset); };
            return Ports{port(0), port(1), port(2), port(3), port(4)};
        }
    }
    return std::nullopt;
}

class Process
{
public:
    Process(std::string role, std::string settingsPath, std::string logPath)
        : m_role(std::move(role)), m_settings(std::move(settingsPath)), m_log(std::move(logPath))
    { }
    void start()
    {
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            std::signal(SIGPIPE, SIG_DFL);
            ::setenv("LYCHEELANDING_CONFIG", m_settings.c_str(), 1);
            if (std::freopen(m_log.c_str(), "a", stdout) == nullptr || ::dup2(1, 2) < 0) {
                ::_exit(127);
            }
            ::execl("target/bin/lycheelandingd", "target/bin/lycheelandingd", m_role.c_str(), "--platform",
                    static_cast<char *>(nullptr));
            ::_exit(127);
        }
    }
    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    void kill()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }
    /// Whether it has ended by itself.
    bool hasEnded()
    {
        return m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid;
    }

private:
    std::string m_role, m_settings, m_log;
    pid_t m_pid = -1;
};

/// What a client saw of one request.
struct Outcome
{
    std::string attempt;
    Clock::time_point sentAt;
    int status = 0; // 0: no answer.
    bool isWhole = false;
    std::size_t events = 0;
    std::string body;
    Fields fields;
    bool isServed() const { return isWhole && status >= 200 && status < 300; }
};

/// Sends one request on a new connection and reads its answer, up to the deadline.
inline Outcome call(const std::string &ip, std::uint16_t port, const std::string &head, const std::string &attempt,
                    const std::string &body, std::chrono::milliseconds deadline)
{
    Outcome outcome;
    outcome.attempt = attempt;
    outcome.sentAt = Clock::now();
    const auto end = outcome.sentAt + deadline;
    const int socket = connectTo(ip, port);
    if (socket < 0) {
        return outcome;
    }
    Stream stream(socket);
    const std::string length = body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (!stream.write(head + "Attempt-Id: " + attempt + "\r\nDeadline-Ms: " + std::to_string(deadline.count()) + "\r\n"
                      + length + "\r\n" + body)) {
        return outcome;
    }
    const auto first = stream.line(end);
    if (!first || first->size() < 12) {
        return outcome;
    }
    auto fields = readFields(stream, end);
    if (!fields) {
        return outcome;
    }
    outcome.status = std::stoi(first->substr(9, 3));
    outcome.fields = *fields;
    if (fields->contains("content-length")) {
        if (auto bytes = stream.bytes(std::stoul(fields->at("content-length")), end)) {
            outcome.body = std::move(*bytes);
            outcome.isWhole = true;
        }
        return outcome;
    }
    while (auto size = stream.line(end)) {
        const auto bytes = std::stoul(*size, nullptr, 16);
        if (bytes == 0) {
            outcome.isWhole = true;
            break;
        }
        auto chunk = stream.bytes(bytes + 2, end);
        if (!chunk) {
            break;
        }
        outcome.body.append(*chunk, 0, bytes);
    }
    for (std::size_t at = outcome.body.find("\n\n"); at != std::string::npos; at = outcome.body.find("\n\n", at + 2)) {
        ++outcome.events;
    }
    return outcome;
}

/// One entry, and a side beside each rank of one group.
class GroupDeployment
{
public:
    GroupDeployment(int net, const GroupShape &shape, Record &record)
        : m_net(net), m_shape(shape), m_record(record),
          m_group(shape, "g1", [&record](const std::string &line) { record(line); })
    { }
    /// Ends all processes. The object stays: threads of the stand-ins use it until the program exits.
    void stop()
    {
        killAll();
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    /// False if the case cannot run here.
    bool start()
    {
        const auto ports = freePorts(m_net);
        char folder[] = "/tmp/review-XXXXXX";
        if (!ports || ::mkdtemp(folder) == nullptr || !std::filesystem::exists("target/bin/lycheelandingd")) {
            return false;
        }
        m_ports = *ports;
        m_folder = folder;
        const int storeSocket = listenOn(ip(3), m_ports.store);
        if (storeSocket < 0) {
            return false;
        }
        m_store = std::make_unique<Store>(storeSocket);
        m_store->put("op/config", configuration());
        for (std::size_t rank = 0; rank < m_shape.ranks; ++rank) {
            const int socket = listenOn(rankIp(rank), m_ports.app);
            if (socket < 0) {
                return false;
            }
            m_group.start(rank, rankIp(rank), socket);
        }
        m_group.run();
        std::thread([this] { heartbeats(); }).detach();
        addProcess("entry", "front-a-1",
                   "Listen.Front=" + ip(2) + ":" + std::to_string(m_ports.front) + "\nListen.Readiness=" + ip(2) + ":"
                       + std::to_string(m_ports.readiness)
                       + "\nLimits.CpuShare=0.19\nLimits.MemoryMb=260\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0\n",
                   ip(2));
        for (std::size_t rank = 0; rank < m_shape.ranks; ++rank) {
            addProcess("side", "side-a-" + std::to_string(rank + 1),
                       "app=" + rankIp(rank) + ":" + std::to_string(m_ports.app)
                           + "\nService=drafts\nLimits.CpuShare=0.15\nLimits.MemoryMb=128\nLimits.MaxFds=2048\n"
                             "Limits.LinkMbps=20.0\n",
                       rankIp(rank));
        }
        startAll();
        return waitUntilReady();
    }
    void startAll()
    {
        for (auto &process : m_processes) {
            process->start();
        }
    }
    void killAll()
    {
        for (auto &process : m_processes) {
            process->kill();
        }
    }
    bool waitUntilReady()
    {
        const auto end = Clock::now() + std::chrono::seconds(15);
        while (Clock::now() < end) {
            const auto outcome = call(ip(2), m_ports.readiness, "GET /-/readiness HTTP/1.1\r\nHost: front\r\n", "probe",
                                      "", std::chrono::milliseconds(500));
            if (outcome.status == 200) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        return false;
    }
    bool hasProcessEnded()
    {
        return std::any_of(m_processes.begin(), m_processes.end(), [](auto &each) { return each->hasEnded(); });
    }
    /// The operator writes the next version.
    void changeConfiguration()
    {
        ++m_version;
        m_store->put("op/config", configuration());
    }

    /// A streaming request of a client.
    Outcome request(std::size_t outTokens, std::chrono::milliseconds deadline = std::chrono::milliseconds(8000))
    {
        char attempt[32];
        std::snprintf(attempt, sizeof attempt, "%016llx", 0x9c41d07be2a30000ULL + ++m_requests);
        auto outcome = call(ip(2), m_ports.front,
                            "POST /draft/2f HTTP/1.1\r\nHost: ficu95.example\r\nModel: m\r\nToken-Count: 700,"
                                + std::to_string(outTokens)
                                + "\r\nPrompt-Prefix: 5c1e07a2:40,e4402b7d:660\r\nApi-Key: n2ctnfzs989anu6wsjnb\r\n",
                            attempt, "draft this", deadline);
        const auto ms
            = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - outcome.sentAt).count();
        m_record("client: request " + outcome.attempt + " -> status " + std::to_string(outcome.status) + ", "
                 + std::to_string(outcome.events) + " events, " + (outcome.isWhole ? "whole" : "not whole") + ", after "
                 + std::to_string(ms) + " ms");
        return outcome;
    }

    RankGroup &group() { return m_group; }
    const std::string &folder() const { return m_folder; }

private:
    std::string ip(int host) const { return "127.0." + std::to_string(m_net) + "." + std::to_string(host); }
    std::string rankIp(std::size_t rank) const { return ip(static_cast<int>(11 + rank)); }

    void addProcess(const std::string &role, const std::string &name, const std::string &lines, const std::string &ip)
    {
        const std::string path = m_folder + "/" + name + ".conf";
        std::ofstream(path)
            << "NodeName=" << name << "\nRole=" << role << "\nMachineClass=" << (role == "entry" ? "front" : "side")
            << "\nServes=" << (role == "entry" ? "front" : "side") << "\nIp=" << ip
            << "\nZone=a\nRegion=r\nZones.a=r\nInternalPorts=" << m_ports.internal << "," << m_ports.internal + 1
            << "\nBootstrap=true\nFaultCounted=false\nLimits.Cores=1\nLimits.DiskMb=0\nDiscovery=platform\nEntry=vip\n"
               "HeartbeatMs=1200\nContracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,experts\n"
               "Bounds.StableWindowMs=3000\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.ConfigApplyMs=2000\n"
               "Bounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\nBounds.RetryBudgetSlack=92\nBounds.RecoveryS=12\n"
               "Bounds.stall_ms=1500\nBounds.FencingRequired=true\nPlatform.Address="
            << this->ip(3) << ":" << m_ports.store
            << "\nPlatform.form=kv\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\nPlatform.HistoryS=20\n"
               "Platform.ValueBytes=1048576\nPlatform.MinTtlMs=1000\n"
            << lines;
        m_processes.push_back(std::make_unique<Process>(role, path, m_folder + "/" + name + ".log"));
    }

    std::string configuration() const
    {
        const Json engine{{"Slots", 12},
                          {"KvCapacityTokens", 494000},
                          {"KvTokenBytes", 35136},
                          {"LinkMbps", 92000.0},
                          {"Stride", 6},
                          {"Models", Json::array({{{"Name", "m"}}})},
                          {"step_ms", 4.84},
                          {"per_seq_ms", 0.362},
                          {"context_per_k", 0.011},
                          {"read_per_s", 74800.0},
                          {"pairs_per_m", 0.232},
                          {"chunk", 512},
                          {"report_lag_ms", 200.0},
                          {"usual", {{"prompt", 835}, {"answer", 159}}},
                          {"Sets", m_shape.sets},
                          {"Experts", m_shape.experts},
                          {"Placements", m_shape.placements},
                          {"Spare", m_shape.spare},
                          {"ExpertMb", 1700.0},
                          {"ExpertShare", 0.85},
                          {"form_ms", 600.0}};
        return Json{{"Version", m_version},
                    {"Routes", Json::array({{{"Name", "r-draft"},
                                             {"Host", "ficu95.example"},
                                             {"Prefix", "/draft/"},
                                             {"RouteType", "streaming"},
                                             {"TimeoutMs", 8000},
                                             {"TargetLatencyMs", 400},
                                             {"Priority", 1},
                                             {"Service", "drafts"},
                                             {"MaxAttempts", 2},
                                             {"Public", false},
                                             {"SessionAffinity", true},
                                             {"StreamResume", true},
                                             {"TargetGapMs", 120}}})},
                    {"Services", Json::array({{{"Name", "drafts"},
                                               {"HealthPath", "/health"},
                                               {"MaxConnections", 348},
                                               {"Protocol", "h1"},
                                               {"Tls", false},
                                               {"Engine", engine}}})},
                    {"Limits",
                     {{"MaxHeaderBytes", 16384},
                      {"MaxBodyBytes", 4194304},
                      {"HeaderTimeoutMs", 3000},
                      {"IdleTimeoutMs", 15000}}},
                    {"Tenants", Json::array({{{"Name", "hule930"}, {"ApiKeys", {"n2ctnfzs989anu6wsjnb"}}}})}}
            .dump();
    }

    void heartbeats()
    {
        for (std::uint64_t sequence = 1;; ++sequence) {
            for (std::size_t rank = 0; rank < m_shape.ranks; ++rank) {
                m_store->put("servers/" + m_group.rank(rank).id,
                             m_group.registration(rank, "drafts", m_ports.app, sequence));
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1200));
        }
    }

    const int m_net;
    const GroupShape m_shape;
    Record &m_record;
    RankGroup m_group;
    std::unique_ptr<Store> m_store;
    Ports m_ports;
    std::string m_folder;
    std::vector<std::unique_ptr<Process>> m_processes;
    std::atomic<unsigned long long> m_requests = 0;
    std::uint64_t m_version = 7;
};

} // namespace standin
