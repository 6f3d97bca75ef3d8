// Stand-ins of the platform's store, of a rank group of four model engines and of the callers, for review cases 12 and 13.
// They start one entry and four sides with the commands of the deploy file, on loopback addresses.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

static const Clock::time_point start = Clock::now();
static double nowS() { return std::chrono::duration<double>(Clock::now() - start).count(); }
static void sleepMs(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }
static std::mutex recordMutex;
static std::ofstream record;
static void note(const std::string &text)
{
    const std::lock_guard lock(recordMutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", nowS());
    record << time << text << '\n';
}

static std::string base64(const std::string &in)
{
    static const char *t = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    std::size_t i = 0;
    for (; i + 2 < in.size(); i += 3) {
        const unsigned v = (unsigned char)in[i] << 16 | (unsigned char)in[i + 1] << 8 | (unsigned char)in[i + 2];
        out += {t[v >> 18], t[v >> 12 & 63], t[v >> 6 & 63], t[v & 63]};
    }
    if (i + 1 == in.size()) {
        const unsigned v = (unsigned char)in[i] << 16;
        out += {t[v >> 18], t[v >> 12 & 63], '=', '='};
    } else if (i + 2 == in.size()) {
        const unsigned v = (unsigned char)in[i] << 16 | (unsigned char)in[i + 1] << 8;
        out += {t[v >> 18], t[v >> 12 & 63], t[v >> 6 & 63], '='};
    }
    return out;
}

// ---- a small HTTP server, one thread a connection ----
struct Request
{
    std::string method, target, head, body;
    std::string field(const std::string &name) const
    {
        const auto at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos) return {};
        const auto from = at + name.size() + 4;
        return head.substr(from, head.find("\r\n", from) - from);
    }
    std::string query(const std::string &name) const
    {
        for (const char *mark : {"?", "&"}) {
            const auto at = target.find(mark + name + "=");
            if (at != std::string::npos) {
                const auto from = at + name.size() + 2;
                return target.substr(from, std::min(target.find('&', from), target.size()) - from);
            }
        }
        return {};
    }
};
static bool sendAll(int fd, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) return false;
        sent += (std::size_t)n;
    }
    return true;
}
static std::string answer(int status, const std::string &body, const std::string &fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n" + fields + "Content-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}
static bool readRequest(int fd, std::string &buffer, Request &request)
{
    char bytes[8192];
    std::size_t end;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        const auto n = ::recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0) return false;
        buffer.append(bytes, (std::size_t)n);
    }
    request.head = buffer.substr(0, end + 2);
    const auto space = request.head.find(' ');
    request.method = request.head.substr(0, space);
    request.target = request.head.substr(space + 1, request.head.find(' ', space + 1) - space - 1);
    const auto length = request.field("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    buffer.erase(0, end + 4);
    while (buffer.size() < size) {
        const auto n = ::recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0) return false;
        buffer.append(bytes, (std::size_t)n);
    }
    request.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
}
static sockaddr_in address(const std::string &ip, int port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons((std::uint16_t)port);
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}
/// The handler answers on the socket; false ends the connection.
static int serve(const std::string &ip, std::function<bool(int, const Request &)> handler)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto own = address(ip, 0);
    socklen_t size = sizeof own;
    if (::bind(listener, (sockaddr *)&own, sizeof own) != 0 || ::listen(listener, 256) != 0) std::exit(2);
    ::getsockname(listener, (sockaddr *)&own, &size);
    std::thread([listener, handler] {
        while (true) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([fd, handler] {
                std::string buffer;
                Request request;
                while (readRequest(fd, buffer, request) && handler(fd, request)) { }
                ::close(fd);
            }).detach();
        }
    }).detach();
    return ntohs(own.sin_port);
}
static int freePort(int type, const std::string &ip)
{
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    auto own = address(ip, 0);
    socklen_t size = sizeof own;
    ::bind(fd, (sockaddr *)&own, sizeof own);
    ::getsockname(fd, (sockaddr *)&own, &size);
    ::close(fd);
    return ntohs(own.sin_port);
}

// ---- the platform's store ----
struct Item
{
    std::string value;
    std::uint64_t revision, created, lease;
};
struct Store
{
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<std::pair<std::uint64_t, Json>> events;
    std::map<std::uint64_t, std::pair<int, Clock::time_point>> leases;
    std::uint64_t revision = 100, lastLease = 1000;
    bool isDown = false;

    static Json json(const std::string &key, const Item &item)
    {
        return {{"Key", key}, {"Value", base64(item.value)}, {"Revision", item.revision}, {"Created", item.created}, {"Lease", item.lease}};
    }
    void put(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        ++revision;
        const auto known = items.find(key);
        const auto created = known == items.end() ? revision : known->second.created;
        items[key] = {value, revision, created, lease};
        events.emplace_back(revision, json(key, items[key]));
        changed.notify_all();
    }
    void remove(const std::string &key)
    {
        if (items.erase(key) == 0) return;
        ++revision;
        events.emplace_back(revision, Json{{"Key", key}, {"Revision", revision}, {"Tombstone", true}});
        changed.notify_all();
    }
    /// Leases run on while the store is down.
    void endLeases()
    {
        for (auto at = leases.begin(); at != leases.end();) {
            if (Clock::now() < at->second.second) {
                ++at;
                continue;
            }
            std::vector<std::string> keys;
            for (const auto &[key, item] : items) {
                if (item.lease == at->first) keys.push_back(key);
            }
            for (const auto &key : keys) remove(key);
            at = leases.erase(at);
        }
    }
    std::string leader(const std::string &prefix)
    {
        const std::lock_guard lock(mutex);
        endLeases();
        for (const auto &[key, item] : items) {
            if (key.starts_with(prefix)) return item.value;
        }
        return {};
    }
    std::string call(const Request &request)
    {
        std::unique_lock lock(mutex);
        if (isDown) return answer(503, "{}");
        endLeases();
        const auto path = request.target.substr(0, request.target.find('?'));
        if (path == "/-/kv-range") {
            Json list = Json::array();
            for (const auto &[key, item] : items) {
                if (key.starts_with(request.query("Prefix")) && key > request.query("After")) list.push_back(json(key, item));
            }
            return answer(200, Json{{"Items", list}, {"HasMore", false}, {"At", revision}}.dump());
        }
        if (path == "/-/kv-watch") {
            const auto after = std::stoull(request.query("After"));
            const auto until = Clock::now() + std::chrono::milliseconds(std::stoi(request.query("WaitMs")));
            while (!isDown) {
                Json list = Json::array();
                for (const auto &[number, event] : events) {
                    if (number > after && event["Key"].get<std::string>().starts_with(request.query("Prefix"))) list.push_back(event);
                }
                if (!list.empty() || Clock::now() >= until) return answer(200, Json{{"events", list}, {"At", revision}}.dump());
                changed.wait_until(lock, until);
            }
            return answer(503, "{}");
        }
        if (path == "/-/kv-lease") {
            const int time = std::max(1000, Json::parse(request.body)["TtlMs"].get<int>());
            leases[++lastLease] = {time, Clock::now() + std::chrono::milliseconds(time)};
            return answer(200, Json{{"Lease", lastLease}, {"TtlMs", time}}.dump());
        }
        if (path.starts_with("/-/kv-keep/")) {
            const auto found = leases.find(std::stoull(path.substr(11)));
            if (found == leases.end()) return answer(404, "{}");
            found->second.second = Clock::now() + std::chrono::milliseconds(found->second.first);
            return answer(200, Json{{"TtlMs", found->second.first}}.dump());
        }
        if (path == "/-/kv-txn") {
            const auto body = Json::parse(request.body);
            Json current = Json::array();
            bool holds = true;
            for (const auto &each : body["Expected"]) {
                const auto known = items.find(each["Key"].get<std::string>());
                const std::uint64_t is = known == items.end() ? 0 : known->second.revision;
                holds = holds && is == each["Revision"].get<std::uint64_t>();
                if (known != items.end()) current.push_back(json(known->first, known->second));
            }
            if (!holds) return answer(412, Json{{"Items", current}}.dump());
            for (const auto &each : body["Writes"]) {
                if (each.value("Lease", 0ULL) != 0 && !leases.contains(each.value("Lease", 0ULL))) return answer(404, "{}");
            }
            static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
            for (const auto &each : body["Writes"]) {
                std::string value;
                unsigned bits = 0, count = 0;
                for (const char c : each["Value"].get<std::string>()) {
                    if (c == '=') break;
                    bits = bits << 6 | (unsigned)digits.find(c);
                    if ((count += 6) >= 8) value += (char)(bits >> (count -= 8) & 255);
                }
                put(each["Key"], value, each.value("Lease", 0ULL));
            }
            for (const auto &each : body["Remove"]) remove(each);
            return answer(200, Json{{"Revision", revision}}.dump());
        }
        return answer(404, "{}");
    }
};
static Store store;

// ---- a rank group of model engines ----
constexpr int ranks = 4, sets = 2, experts = 16, slots = 12;
struct Stream
{
    std::string id;
    int eventsLeft = 26, made = 0;
};
struct Engine
{
    std::uint64_t map = 0, prepared = 0, preparing = 0, highest = 0, armed = 0, armedStep = 0, held = 0, fence = 0, sequence = 0;
    Clock::time_point preparedAt;
    std::vector<std::vector<int>> lists, preparedLists;
    std::vector<std::uint64_t> counts = std::vector<std::uint64_t>(sets * experts);
    std::vector<Stream *> running;
    std::string id, ip;
    int port = 0;
};
static std::mutex groupMutex;
static std::condition_variable passed;
static Engine engines[ranks];
static std::uint64_t step = 0;
static double lastPass = 0, longestStall = 0, stallFrom = 0;
static std::atomic<int> holds = 0, prepares = 0;
static std::atomic<bool> hasLeft = false;
static std::atomic<bool> mixedMaps = false;

static void finishCopies()
{
    for (auto &engine : engines) {
        if (engine.preparing != 0 && Clock::now() >= engine.preparedAt) engine.prepared = std::exchange(engine.preparing, 0);
    }
}
static void runPasses()
{
    bool wasWaiting = false;
    while (true) {
        sleepMs(60);
        const std::lock_guard lock(groupMutex);
        finishCopies();
        bool isBusy = false, isHeld = false;
        for (auto &engine : engines) {
            isBusy = isBusy || !engine.running.empty();
            isHeld = isHeld || engine.held == step + 1;
        }
        if (!isBusy || isHeld) {
            if (isBusy && isHeld) {
                if (!std::exchange(wasWaiting, true)) lastPass = nowS();
                if (nowS() - lastPass > longestStall) { longestStall = nowS() - lastPass; stallFrom = lastPass; }
            }
            continue;
        }
        wasWaiting = false;
        ++step;
        // What is liked shifts every three seconds.
        const int hot = (int)(nowS() / 3) % ranks;
        for (auto &engine : engines) {
            if (engine.armed != 0 && engine.armedStep == step) {
                engine.map = engine.armed;
                engine.lists = engine.preparedLists;
                engine.armed = engine.prepared = 0;
            }
            mixedMaps = mixedMaps || engine.map != engines[0].map;
            for (auto *stream : engine.running) {
                --stream->eventsLeft;
                for (int set = 0; set < sets; ++set) {
                    for (int expert = 0; expert < experts; ++expert) engine.counts[set * experts + expert] += expert % ranks == hot ? 60 : 6;
                }
            }
        }
        passed.notify_all();
    }
}
static Json listsOf(const std::vector<std::vector<int>> &lists) { return Json(lists); }
static int order(Engine &engine, const Json &body, int rank)
{
    finishCopies();
    const std::string operation = body["Operation"];
    const auto token = body.value("FencingToken", 0ULL), version = body.value("Version", 0ULL), at = body.value("step", 0ULL);
    if (token < engine.fence) return 412;
    engine.fence = token;
    if (body.value("epoch", 1ULL) != 1) return 409;
    if (operation == "prepare") {
        if (version == engine.prepared || version == engine.preparing) return 200;
        if (version <= engine.highest || engine.armed != 0) return 409;
        ++prepares;
        engine.highest = engine.preparing = version;
        engine.prepared = 0;
        engine.preparedAt = Clock::now() + 250ms;
        engine.preparedLists.clear();
        for (const auto &set : body["Mapping"]) engine.preparedLists.push_back(set[rank].get<std::vector<int>>());
    } else if (operation == "arm") {
        if (engine.armed == version && engine.armedStep == at) return 200;
        if (engine.prepared != version || at <= step) return 409;
        engine.armed = version;
        engine.armedStep = at;
    } else if (operation == "disarm") {
        if (engine.map == version && version != 0) return 409;
        engine.armed = 0;
    } else if (operation == "Hold") {
        if (engine.held == at) return 200;
        if (at <= step || engine.held > step) return 409;
        engine.held = at;
        ++holds;
    } else if (operation == "go") {
        if (engine.held != at) return 200;
        engine.held = 0;
    } else {
        return 400;
    }
    ++engine.sequence;
    return 202;
}
static bool runStream(int fd, Engine &engine, const Request &request)
{
    Stream stream{request.field("Attempt-Id")};
    std::unique_lock lock(groupMutex);
    const std::string id = "Attempt-Id: " + stream.id + "\r\n";
    if (request.field("Expect-Instance") != engine.id) return sendAll(fd, answer(421, "{}", id));
    if (engine.running.size() >= slots * 2) return sendAll(fd, answer(503, "{}", id + "Not-Executed: 1\r\n"));
    engine.running.push_back(&stream);
    note("engine " + engine.id + " has " + stream.id);
    const int from = request.field("Last-Event-Id").empty() ? 0 : std::stoi(request.field("Last-Event-Id"));
    stream.eventsLeft -= from;
    int sent = stream.eventsLeft;
    bool isOpen = true, hasHead = false;
    while (isOpen && (sent > 0)) {
        passed.wait_for(lock, 50ms);
        const int left = stream.eventsLeft;
        lock.unlock();
        char byte;
        const auto peeked = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        isOpen = peeked > 0 || (peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
        for (; isOpen && sent > std::max(left, 0); --sent) {
            std::string text;
            if (!std::exchange(hasHead, true)) {
                text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + id
                    + "Response-Seal: s-" + stream.id + "\r\n\r\n";
            }
            const std::string event = "id: " + std::to_string(26 - sent + 1) + "\ndata: " + stream.id + "\n\n";
            char length[16];
            std::snprintf(length, sizeof length, "%zx\r\n", event.size());
            isOpen = sendAll(fd, text + length + event + "\r\n");
        }
        lock.lock();
    }
    std::erase(engine.running, &stream);
    lock.unlock();
    note("engine " + engine.id + (isOpen ? " has done " : " was left by ") + stream.id);
    return isOpen && sendAll(fd, "0\r\n\r\n");
}
static bool onEngine(int fd, const Request &request, int rank)
{
    auto &engine = engines[rank];
    if (request.target == "/-/report") {
        const std::lock_guard lock(groupMutex);
        finishCopies();
        Json report{{"Stage", "both"}, {"Busy", engine.preparing != 0}, {"Sequence", engine.sequence}, {"Waiting", 0},
                    {"Running", std::min<std::size_t>(engine.running.size(), slots)}, {"KvUsed", 1000}, {"KvTotal", 494000}, {"Handles", 0}, {"pace", 1.0},
                    {"group", {{"Name", "g1"}, {"epoch", 1}, {"rank", rank}, {"State", "open"}}}, {"size", ranks}, {"step", step}, {"Mapping", engine.map}};
        if (engine.prepared != 0) report["Prepared"] = engine.prepared;
        if (engine.armed != 0) report["Armed"] = {{"Version", engine.armed}, {"step", engine.armedStep}};
        if (engine.held > step) report["held"] = engine.held;
        return sendAll(fd, answer(200, report.dump()));
    }
    if (request.target.starts_with("/-/picked")) {
        const std::lock_guard lock(groupMutex);
        Json body{{"step", step}, {"epoch", 1}};
        if (request.target.find("Lists") == std::string::npos) {
            body["Counts"] = engine.counts;
        } else {
            body["Mapping"] = {{"Version", engine.map}, {"Experts", listsOf(engine.lists)}};
        }
        return sendAll(fd, answer(200, body.dump()));
    }
    if (request.target == "/-/order") {
        const auto body = Json::parse(request.body);
        int status;
        {
            const std::lock_guard lock(groupMutex);
            status = order(engine, body, rank);
        }
        note("order at " + engine.id + ": " + body["Operation"].get<std::string>() + " version " + std::to_string(body.value("Version", 0ULL)) + " step "
             + std::to_string(body.value("step", 0ULL)) + " -> " + std::to_string(status));
        return sendAll(fd, answer(status, "{}"));
    }
    if (request.target == "/health") return sendAll(fd, answer(200, "{}", "Instance-Id: " + engine.id + "\r\n"));
    return runStream(fd, engine, request);
}

// ---- processes of the system ----
static std::map<std::string, pid_t> processes;
static std::string folder;
static void launch(const std::string &role, const std::string &name)
{
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("LYCHEELANDING_CONFIG", (folder + "/" + name + ".conf").c_str(), 1);
        const int log = ::open((folder + "/" + name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::execl("target/bin/lycheelandingd", "target/bin/lycheelandingd", role.c_str(), "--platform", nullptr);
        ::_exit(127);
    }
    processes[name] = pid;
}
static void end(const std::string &name, int signal)
{
    ::kill(processes[name], signal);
    ::waitpid(processes[name], nullptr, 0);
    processes.erase(name);
}

// ---- callers ----
struct Outcome
{
    double sentAt;
    std::string text;
};
static std::vector<Outcome> outcomes;
static void callOnce(const std::string &ip, int port, int number)
{
    char name[32];
    std::snprintf(name, sizeof name, "%016x", number + 0x5000);
    const std::string id = name;
    const double sentAt = nowS();
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto peer = address(ip, port);
    std::string text, outcome = "failed: no connection";
    if (::connect(fd, (const sockaddr *)&peer, sizeof peer) == 0) {
        note("sent " + id);
        sendAll(fd, "POST /drafts/2f HTTP/1.1\r\nHost: case.example\r\nAttempt-Id: " + id + "\r\nModel: m\r\nToken-Count: 835,159\r\nPrompt-Prefix: "
                        + id + ":835\r\nDeadline-Ms: 8000\r\nApi-Key: key-1\r\nContent-Length: 4\r\n\r\nbody");
        const auto deadline = Clock::now() + 8s;
        auto last = Clock::now();
        while (true) {
            // Clients abandon a stream, also before its first event, after a gap of two seconds.
            const auto limit = std::min(deadline, last + 2s);
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(limit - Clock::now()).count();
            pollfd state{fd, POLLIN, 0};
            if (left <= 0 || ::poll(&state, 1, (int)left) == 0) {
                outcome = "failed: abandoned after a gap of 2 s or at its deadline";
                break;
            }
            char bytes[4096];
            const auto n = ::recv(fd, bytes, sizeof bytes, 0);
            if (n <= 0) {
                outcome = "failed: connection closed";
                break;
            }
            last = Clock::now();
            text.append(bytes, (std::size_t)n);
            const int status = text.size() > 12 ? std::atoi(text.c_str() + 9) : 0;
            if (status == 200 && text.ends_with("0\r\n\r\n")) {
                outcome = text.find("id: 26\n") != std::string::npos ? "served" : "failed: incomplete";
                break;
            }
            if (status >= 300 && text.find("\r\n\r\n") != std::string::npos) {
                outcome = (status == 503 || status == 429 ? "refused: " : "failed: ") + std::to_string(status);
                break;
            }
        }
    }
    ::close(fd);
    {
        const std::lock_guard lock(recordMutex);
        outcomes.push_back({sentAt, outcome});
    }
    note("answered " + id + " " + outcome);
}

static std::string entryIp;
static int callersPort = 0;
/// Starts the stand-ins and the processes of the system, and gives them three seconds.
static void startWorld(const std::string &recordPath, const std::string &temporaryFolder)
{
    record.open(recordPath);
    folder = temporaryFolder;
    ::signal(SIGPIPE, SIG_IGN);
    const std::string base = "127.64." + std::to_string(::getpid() % 200 + 20) + ".";
    const std::string storeIp = base + "1";
    entryIp = base + "2";
    const int storePort = serve(storeIp, [](int fd, const Request &request) { return sendAll(fd, store.call(request)); });
    callersPort = freePort(SOCK_STREAM, entryIp);
    const int readiness = freePort(SOCK_STREAM, entryIp), internal = freePort(SOCK_DGRAM, entryIp);
    const std::string common = "Zone=a\nInternalPorts=" + std::to_string(internal) + "," + std::to_string(internal)
        + "\nBounds.GraceS=8\nBounds.RetryBudgetRatio=0.2\nBounds.RetryBudgetSlack=92\nHeartbeatMs=1200\nPlatform.Address=" + storeIp + ":"
        + std::to_string(storePort) + "\n";
    std::ofstream(folder + "/entry.conf") << "NodeName=entry\nRole=entry\nIp=" << entryIp << "\nListen.Front=" << entryIp << ":" << callersPort
                                          << "\nListen.Readiness=" << entryIp << ":" << readiness << "\n" << common;
    for (int rank = 0; rank < ranks; ++rank) {
        auto &engine = engines[rank];
        engine.ip = base + std::to_string(10 + rank);
        engine.id = "i-" + std::to_string(rank);
        engine.lists.assign(sets, {});
        for (auto &list : engine.lists) {
            for (int expert = rank; expert < experts; expert += ranks) list.push_back(expert);
        }
        engine.port = serve(engine.ip, [rank](int fd, const Request &request) { return onEngine(fd, request, rank); });
        std::ofstream(folder + "/side-" + std::to_string(rank) + ".conf")
            << "NodeName=side-" << rank << "\nRole=side\nIp=" << engine.ip << "\napp=" << engine.ip << ":" << engine.port
            << "\nService=drafts\nLimits.LinkMbps=20\n" << common;
    }
    {
        const std::lock_guard lock(store.mutex);
        Json service{{"Name", "drafts"}, {"HealthPath", "/health"}, {"MaxConnections", 348},
                     {"Engine", {{"Slots", slots}, {"LinkMbps", 92000.0}, {"Stride", 6}, {"step_ms", 4.84}, {"per_seq_ms", 0.362}, {"Sets", sets},
                                 {"Experts", experts}, {"Placements", 7}, {"Spare", 3}, {"ExpertMb", 1700.0}, {"ExpertShare", 0.85}, {"form_ms", 600.0}}}};
        Json route{{"Name", "r"}, {"Host", "case.example"}, {"Prefix", "/drafts/"}, {"RouteType", "streaming"}, {"TimeoutMs", 8000}, {"TargetLatencyMs", 400},
                   {"Priority", 1}, {"Service", "drafts"}, {"MaxAttempts", 2}, {"Public", false}, {"StreamResume", true}, {"TargetGapMs", 120}};
        store.put("op/config", Json{{"Version", 7}, {"Routes", {route}}, {"Services", {service}}, {"Tenants", {{{"Name", "t"}, {"ApiKeys", {"key-1"}}}}},
                                    {"Limits", {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}}}.dump(), 0);
    }
    // The workers register and write about every HeartbeatMs; the calls are lost while the store is down.
    std::thread([] {
        for (int beat = 1;; ++beat) {
            {
                const std::lock_guard lock(store.mutex);
                for (auto &engine : engines) {
                    if (!hasLeft || engine.id != "i-3") {
                        store.put("servers/" + engine.id, Json{{"Service", "drafts"}, {"Address", engine.ip + ":" + std::to_string(engine.port)}, {"Zone", "a"}, {"Version", "v1"},
                                   {"Slots", slots}, {"State", "ready"}, {"ColdRemainingMs", 0}, {"Sequence", beat}}.dump(), 0);
                    }
                }
            }
            sleepMs(1200);
        }
    }).detach();
    std::thread(runPasses).detach();
    for (int rank = 0; rank < ranks; ++rank) launch("side", "side-" + std::to_string(rank));
    launch("entry", "entry");
    sleepMs(3000);

}
