// A caller that writes a space between the name of a header field and its colon.
//
// Usage: case7 ROOT FOLDER TEMPORARY-FOLDER. Writes FOLDER/record.txt; exits with 1 if UNASKED was broken, 0 if it held
// and 2 if the case could not run. With TROUBLE=0 the callers write the same fields without the space.

#include "../common-2/harness.h"

#include <set>

using namespace review;

namespace {

const std::string entryIp = "127.71.0.1";
const std::string storeIp = "127.71.0.2";
const std::string workerIp = "127.71.0.3";

const std::string ownTenant = "club-a";
const std::string otherTenant = "club-b";
const std::string ownKey = "key-of-club-a";
const std::string otherKey = "key-of-club-b";
const std::string smuggledId = "7c000000000000ff";

struct Run
{
    std::string attempt;
    std::string target;
    std::string tenant;
    std::string head;
};

class Runs
{
public:
    void add(Run run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(std::move(run));
    }
    std::vector<Run> all()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    std::mutex m_mutex;
    std::vector<Run> m_runs;
};

/// Reads the requests of one connection as many servers do: white space around names and values is removed, the first
/// field of a name counts, and chunks go before a length (RFC 9112, section 6.3).
class TolerantReader
{
public:
    explicit TolerantReader(int fd) : m_fd(fd) { }

    std::optional<Run> next()
    {
        std::size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore()) {
                return std::nullopt;
            }
        }
        Run run;
        run.head = m_bytes.substr(0, end);
        m_bytes.erase(0, end + 4);
        std::map<std::string, std::string> fields;
        std::istringstream lines(run.head);
        std::string line;
        std::getline(lines, line);
        std::string method;
        std::istringstream(line) >> method >> run.target;
        while (std::getline(lines, line)) {
            const auto colon = std::min(line.find(':'), line.size());
            fields.emplace(lowerCase(trimmed(line.substr(0, colon))),
                           colon < line.size() ? trimmed(line.substr(colon + 1)) : std::string());
        }
        run.attempt = fields["attempt-id"];
        run.tenant = fields["tenant"];
        const bool isRead = fields["transfer-encoding"] == "chunked"
            ? readChunks()
            : readBody(fields["content-length"].empty() ? 0 : std::stoul(fields["content-length"]));
        return isRead ? std::optional(run) : std::nullopt;
    }

private:
    static std::string trimmed(const std::string &text)
    {
        const auto first = text.find_first_not_of(" \t\r");
        return first == std::string::npos ? std::string()
                                          : text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
    }
    static std::string lowerCase(std::string text)
    {
        for (char &letter : text) {
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        }
        return text;
    }
    bool readBody(std::size_t size)
    {
        while (m_bytes.size() < size) {
            if (!readMore()) {
                return false;
            }
        }
        m_bytes.erase(0, size);
        return true;
    }
    bool readChunks()
    {
        while (true) {
            std::size_t end = 0;
            while ((end = m_bytes.find("\r\n")) == std::string::npos) {
                if (!readMore()) {
                    return false;
                }
            }
            const auto size = std::strtoul(m_bytes.c_str(), nullptr, 16);
            m_bytes.erase(0, end + 2);
            if (!readBody(size + 2)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }
    bool readMore()
    {
        char buffer[4096];
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

void serveWorker(int fd, Runs &runs, Record &record)
{
    TolerantReader reader(fd);
    while (const auto run = reader.next()) {
        record.line("worker runs " + run->attempt + " " + run->target + " for tenant " + run->tenant);
        runs.add(*run);
        const std::string body = "done";
        if (!sendAll(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " + run->attempt + "\r\nResponse-Seal: seal-" + run->attempt
                         + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
            return;
        }
    }
}

std::string configuration()
{
    const Json route{{"Name", "r-book"}, {"Host", "desk.example"}, {"Prefix", "/book/"}, {"RouteType", "unsafe"},
                     {"TimeoutMs", 6000}, {"TargetLatencyMs", 100}, {"Priority", 2}, {"Service", "desk"},
                     {"MaxAttempts", 1}, {"Public", false}, {"SessionAffinity", false}};
    const Json service{{"Name", "desk"}, {"HealthPath", "/health"}, {"MaxConnections", 110}, {"Protocol", "h1"},
                       {"Tls", false}};
    const Json limits{{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 3000},
                      {"IdleTimeoutMs", 15000}};
    const Json tenants{{{"Name", ownTenant}, {"ApiKeys", {ownKey}}, {"Priority", 1}},
                       {{"Name", otherTenant}, {"ApiKeys", {otherKey}}, {"Priority", 1}}};
    return Json{{"Version", 7}, {"Routes", {route}}, {"Services", {service}}, {"Limits", limits}, {"Tenants", tenants}}
        .dump();
}

std::string settings(int front, int readiness, int internal, int store)
{
    const std::string ip = entryIp + ":";
    return "NodeName=front-kolkata-a-1\nRole=entry\nMachineClass=front\nServes=front\nIp=" + entryIp
        + "\nZone=kolkata-a\nRegion=bengal\nListen.Front=" + ip + std::to_string(front) + "\nListen.Readiness=" + ip
        + std::to_string(readiness) + "\nInternalPorts=" + std::to_string(internal) + "," + std::to_string(internal + 9)
        + "\nLimits.CpuShare=0.19\nLimits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0"
          "\nDiscovery=platform\nHeartbeatMs=1200"
          "\nContracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,experts"
          "\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.RetryBudgetRatio=0.2\nBounds.RetryBudgetSlack=92"
          "\nBounds.FencingRequired=true\nPlatform.Address="
        + storeIp + ":" + std::to_string(store) + "\nPlatform.form=kv\n";
}

/// Sends the bytes on a connection of its own and returns the status line of the answer.
std::string call(int port, const std::string &bytes)
{
    const int fd = connectTo(entryIp, port);
    if (fd < 0) {
        return "no connection";
    }
    sendAll(fd, bytes);
    const timeval timeout{2, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    char buffer[4096];
    const auto size = ::recv(fd, buffer, sizeof(buffer), 0);
    ::close(fd);
    const std::string answer(buffer, size > 0 ? static_cast<std::size_t>(size) : 0);
    return answer.empty() ? "no answer" : answer.substr(0, answer.find("\r\n"));
}

std::string head(const std::string &attempt)
{
    return "POST /book/" + attempt + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + attempt
        + "\r\nDeadline-Ms: 3000\r\nApi-Key: " + ownKey + "\r\n";
}

int run(const std::string &root, const std::string &folder, const std::string &temporary)
{
    auto &record = *new Record(folder + "/record.txt");
    const int storePort = freePort(storeIp);
    const int workerPort = freePort(workerIp);
    const int frontPort = freePort(entryIp);
    // Never destroyed: their threads run until the end of the process.
    auto &store = *new Store(storeIp, storePort);
    auto &runs = *new Runs();
    new Listener(workerIp, workerPort, [&](int fd) { serveWorker(fd, runs, record); });
    const Json registration{{"Service", "desk"}, {"Address", workerIp + ":" + std::to_string(workerPort)},
                            {"Zone", "kolkata-a"}, {"Version", "v1"}, {"Slots", 6}, {"State", "ready"},
                            {"ColdRemainingMs", 0}, {"Sequence", 1}};
    store.put("servers/i-1", registration.dump());
    store.put("op/config", configuration());
    writeFile(temporary + "/entry.conf", settings(frontPort, freePort(entryIp), freePort(entryIp), storePort));
    Program entry(root, "entry", temporary + "/entry.conf", temporary + "/entry.log");
    sleepMs(3000);

    const std::string colon = hasTrouble() ? " : " : ": ";
    const std::string first = "7c00000000000001";
    record.line("caller of " + ownTenant + " sends " + first + " with \"Tenant" + colon + otherTenant
                + "\" and a second \"Api-Key" + colon + "...\"");
    record.line("answer: "
                + call(frontPort, head(first) + "Tenant" + colon + otherTenant + "\r\nApi-Key" + colon + ownKey
                           + "\r\nContent-Length: 0\r\n\r\n"));
    const std::string second = "7c00000000000002";
    const std::string inner = "0\r\n\r\nPOST /book/" + smuggledId + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: "
        + smuggledId + "\r\nDeadline-Ms: 3000\r\nTenant: " + otherTenant + "\r\nContent-Length: 0\r\n\r\n";
    char size[32];
    std::snprintf(size, sizeof(size), "%zx", inner.size());
    record.line("caller of " + ownTenant + " sends " + second + " with \"Transfer-Encoding" + colon
                + "chunked\"; its body has the text of another request");
    record.line("answer: "
                + call(frontPort, head(second) + "Transfer-Encoding" + colon + "chunked\r\n\r\n" + size + "\r\n" + inner
                           + "\r\n0\r\n\r\n"));
    sleepMs(500);
    if (!entry.isRunning()) {
        record.line("the entry does not run");
        return exitNotRun;
    }

    const std::set<std::string> sent{first, second};
    int broken = 0;
    for (const auto &each : runs.all()) {
        if (!sent.contains(each.attempt)) {
            record.line("UNASKED: " + each.attempt + " was smuggled inside another request; no client sent it");
            ++broken;
        }
        if (each.tenant != ownTenant) {
            record.line("UNASKED: " + each.attempt + " ran for tenant " + each.tenant + "; the key is held by "
                        + ownTenant);
            ++broken;
        }
        if (each.head.find(ownKey) != std::string::npos) {
            record.line("UNASKED: the key was passed on with " + each.attempt);
            ++broken;
        }
    }
    record.line(std::to_string(runs.all().size()) + " requests ran; the rule was broken " + std::to_string(broken)
                + " times");
    if (!hasTrouble() && runs.all().size() != sent.size()) {
        return exitNotRun;
    }
    return broken > 0 ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: case7 ROOT FOLDER TEMPORARY-FOLDER" << std::endl;
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
