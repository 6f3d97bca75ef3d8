// Planned stop of an entry while requests with much time left wait in it for a place at a backend server.
//
// Usage: case7 ROOT FOLDER TEMPORARY-FOLDER. Writes FOLDER/record.txt; exits with 1 if LOST was broken, 0 if it held
// and 2 if the case could not run. With TROUBLE=0 the entry gets no SIGTERM.

#include "../common-2/harness.hh"

#include <set>

using namespace review;

namespace {

const std::string entryIp = "127.71.0.1";
const std::string storeIp = "127.71.0.2";

constexpr int workers = 3;
constexpr int slots = 2;
constexpr int queuePlaces = 2;
constexpr int workMs = 6000;
constexpr int callers = 20;

constexpr int graceMs = 8000;
constexpr int lossSlackMs = 200;
constexpr int timeoutMs = 20000;
constexpr int stableWindowMs = 3000;

std::string workerIpOf(int index)
{
    return "127.71.1." + std::to_string(index + 1);
}

/// Ids of requests that reached a worker, and of those that ran.
class Arrivals
{
public:
    void add(const std::string &attempt)
    {
        const std::lock_guard lock(m_mutex);
        m_attempts.insert(attempt);
    }
    bool contains(const std::string &attempt)
    {
        const std::lock_guard lock(m_mutex);
        return m_attempts.contains(attempt);
    }

private:
    std::mutex m_mutex;
    std::set<std::string> m_attempts;
};

/// A sound backend server: runs `slots` requests at once, queues a few more and rejects the others as not run.
class Worker
{
public:
    Worker(Arrivals &arrivals, Record &record) : m_arrivals(arrivals), m_record(record) { }

    void serve(int fd)
    {
        RequestReader reader(fd);
        while (const auto request = reader.next()) {
            const auto attempt = request->field("attempt-id");
            const std::string head = "Attempt-Id: " + attempt + "\r\n";
            if (!enter(attempt)) {
                if (!sendAll(fd, "HTTP/1.1 503 Service Unavailable\r\n" + head
                                 + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")) {
                    return;
                }
                continue;
            }
            m_record.line("worker runs " + attempt);
            sleepMs(workMs);
            leave();
            if (!sendAll(fd, "HTTP/1.1 200 OK\r\n" + head + "Response-Seal: seal-" + attempt
                             + "\r\nContent-Length: 4\r\n\r\ndone")) {
                return;
            }
        }
    }

private:
    bool enter(const std::string &attempt)
    {
        std::unique_lock lock(m_mutex);
        if (m_running + m_waiting >= slots + queuePlaces) {
            return false;
        }
        m_arrivals.add(attempt);
        ++m_waiting;
        m_free.wait(lock, [this] { return m_running < slots; });
        --m_waiting;
        ++m_running;
        return true;
    }
    void leave()
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_free.notify_one();
    }

    Arrivals &m_arrivals;
    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_free;
    int m_running = 0;
    int m_waiting = 0;
};

struct Caller
{
    std::string attempt;
    double sentAt = 0.0;
    double endedAt = 0.0;
    std::string status;
};

std::string configuration()
{
    const Json route{{"Name", "r-book"}, {"Host", "desk.example"}, {"Prefix", "/book/"}, {"RouteType", "unsafe"},
                     {"TimeoutMs", timeoutMs}, {"TargetLatencyMs", 8000}, {"Priority", 2}, {"Service", "desk"},
                     {"MaxAttempts", 1}, {"Public", false}, {"SessionAffinity", false}};
    const Json service{{"Name", "desk"}, {"HealthPath", "/health"}, {"MaxConnections", 110}, {"Protocol", "h1"},
                       {"Tls", false}};
    const Json limits{{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 3000},
                      {"IdleTimeoutMs", 15000}};
    const Json tenant{{"Name", "club"}, {"ApiKeys", {"key-1"}}, {"Priority", 1}};
    return Json{{"Version", 7}, {"Routes", {route}}, {"Services", {service}}, {"Limits", limits},
                {"Tenants", {tenant}}}
        .dump();
}

/// Sends one request and waits for its answer, or for the end of the connection.
void call(int port, Caller &caller, Record &record)
{
    const int fd = connectTo(entryIp, port);
    if (fd < 0) {
        caller.status = "no connection";
        return;
    }
    sendAll(fd, "POST /book/" + caller.attempt + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + caller.attempt
                + "\r\nDeadline-Ms: " + std::to_string(timeoutMs)
                + "\r\nApi-Key: key-1\r\nContent-Length: 1\r\n\r\nx");
    caller.sentAt = record.secondsNow();
    char buffer[4096];
    const auto size = ::recv(fd, buffer, sizeof(buffer), 0);
    caller.endedAt = record.secondsNow();
    const std::string answer(buffer, size > 0 ? static_cast<std::size_t>(size) : 0);
    caller.status = answer.empty() ? "closed without an answer" : answer.substr(0, answer.find("\r\n"));
    record.line("caller of " + caller.attempt + ": " + caller.status);
    ::close(fd);
}

/// Bytes that the connections of a listening address have received and the process has not read.
std::size_t unreadBytes(const std::string &ip, int port)
{
    char local[32];
    std::snprintf(local, sizeof(local), "%08X:%04X", addressOf(ip, 0).sin_addr.s_addr, port);
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::size_t sum = 0;
    while (std::getline(file, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string address;
        std::string peer;
        std::string state;
        std::string queues;
        fields >> number >> address >> peer >> state >> queues;
        if (address == local && state == "01") {
            sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
        }
    }
    return sum;
}

int run(const std::string &root, const std::string &folder, const std::string &temporary)
{
    auto &record = *new Record(folder + "/record.txt");
    const int storePort = freePort(storeIp);
    const int frontPort = freePort(entryIp);
    // Never destroyed: their threads run until the end of the process.
    auto &store = *new Store(storeIp, storePort);
    auto &arrivals = *new Arrivals();
    for (int index = 0; index < workers; ++index) {
        const int port = freePort(workerIpOf(index));
        auto &worker = *new Worker(arrivals, record);
        new Listener(workerIpOf(index), port, [&worker](int fd) { worker.serve(fd); });
        const Json entry{{"Service", "desk"}, {"Address", workerIpOf(index) + ":" + std::to_string(port)},
                         {"Zone", "kolkata-a"}, {"Version", "v1"}, {"Slots", slots}, {"State", "ready"},
                         {"ColdRemainingMs", 0}, {"Sequence", 1}};
        store.put("servers/i-" + std::to_string(index), entry.dump());
    }
    store.put("op/config", configuration());
    writeFile(temporary + "/entry.conf", entrySettings(entryIp, frontPort, storeIp + ":" + std::to_string(storePort)));
    Program entry(root, "entry", temporary + "/entry.conf", temporary + "/entry.log");
    sleepMs(stableWindowMs + 1000);
    if (!entry.isRunning()) {
        record.line("the entry does not run");
        return exitNotRun;
    }

    std::vector<Caller> all(callers);
    std::vector<std::thread> threads;
    for (int index = 0; index < callers; ++index) {
        char attempt[32];
        std::snprintf(attempt, sizeof(attempt), "7c000000000000%02x", index + 1);
        all[index].attempt = attempt;
        threads.emplace_back([&, index] { call(frontPort, all[index], record); });
    }
    sleepMs(1000);
    record.line(std::to_string(callers) + " requests were sent; " + std::to_string(unreadBytes(entryIp, frontPort))
                + " bytes of them are unread");
    const bool areAllRead = unreadBytes(entryIp, frontPort) == 0;
    double stoppedAt = 0.0;
    if (hasTrouble()) {
        stoppedAt = stopAsPlanned(entry, record, graceMs);
    }
    for (auto &thread : threads) {
        thread.join();
    }
    if (!areAllRead) {
        record.line("not all requests were read");
        return exitNotRun;
    }
    int lost = 0;
    for (const auto &caller : all) {
        const double time = caller.endedAt - caller.sentAt;
        const bool isAroundStop = stoppedAt > 0.0 && caller.endedAt < stoppedAt + graceMs / 1000.0 + 1.0;
        // Requests that a worker was still at work on don't count.
        lost += caller.status == "closed without an answer" && !arrivals.contains(caller.attempt) && isAroundStop
                && time > lossSlackMs / 1000.0 && time < timeoutMs / 1000.0
            ? 1
            : 0;
    }
    record.line(std::to_string(lost)
                + " requests were read, sent to no backend server and ended without an answer, before their deadline");
    return lost > 0 ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
