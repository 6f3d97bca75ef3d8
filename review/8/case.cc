// Model workers whose answers to the sides beside them have no end.
//
// Usage: case8 ROOT FOLDER TEMPORARY-FOLDER. Writes FOLDER/record.txt; exits with 1 if the rule on faults was broken, 0
// if it held and 2 if the case could not run. With TROUBLE=0 the workers stay sound.

#include "../common-2/harness.hh"

using namespace review;

namespace {

const std::string storeIp = "127.81.0.9";

// Of kit/more/system/sites/jackhead-kol.toml and SYSTEM.md: 4 entries and 16 sides with 128 MB each.
constexpr int sides = 2; // a tenth of 20 machines
constexpr int endsOfFault = 3;
// 128 MB counted as binary megabytes, which is the larger reading.
constexpr std::uint64_t memoryBytes = 128ULL * 1024 * 1024;
constexpr int restartMs = 500;

constexpr int calmMs = 4000;
constexpr int troubleMs = 12000;

std::string ipOf(int index)
{
    return "127.81.0." + std::to_string(index + 1);
}

struct Worker
{
    int rank = 0;
    std::atomic<bool> isFaulty = false;
    std::atomic<std::uint64_t> sentBytes = 0;
};

Json reportOf(const Worker &worker)
{
    return {{"Stage", "both"},
            {"Models", {{{"Name", "m"}, {"Version", 1}, {"Adapters", Json::array()}}}},
            {"Busy", false},
            {"Sequence", 0},
            {"Waiting", 0},
            {"Running", 0},
            {"KvUsed", 0},
            {"KvTotal", 494000},
            {"Handles", 0},
            {"pace", 1.0},
            {"group", {{"Name", "g1"}, {"epoch", 1}, {"rank", worker.rank}, {"State", "open"}}},
            {"size", sides},
            {"step", 7},
            {"Mapping", 0}};
}

/// A model worker, as a side sees it. While it is faulty, the body of its report is bytes without end: they come until
/// the caller closes.
void serveWorker(int fd, Worker &worker)
{
    RequestReader reader(fd);
    const std::string bytes(1024 * 1024, 'x');
    while (const auto request = reader.next()) {
        if (worker.isFaulty && request->target == "/-/report") {
            if (!sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")) {
                return;
            }
            while (sendAll(fd, bytes)) {
                worker.sentBytes += bytes.size();
            }
            return;
        }
        const Json body = request->target.starts_with("/-/picked")
            ? Json{{"step", 7}, {"epoch", 1}, {"Counts", std::vector<int>(6 * 64, 0)}}
            : reportOf(worker);
        if (!sendAll(fd, httpAnswer(200, body.dump()))) {
            return;
        }
    }
}

std::string configuration()
{
    const Json engine{{"Slots", 12}, {"Stride", 6}, {"step_ms", 4.84}, {"per_seq_ms", 0.362}, {"Sets", 6},
                      {"Experts", 64}, {"Placements", 11}, {"Spare", 4}, {"ExpertMb", 1700.0}, {"LinkMbps", 92000.0}};
    const Json service{{"Name", "drafting"}, {"HealthPath", "/health"}, {"MaxConnections", 258}, {"Protocol", "h1"},
                       {"Tls", false}, {"Engine", engine}};
    const Json route{{"Name", "r-1"}, {"Host", "desk.example"}, {"Prefix", "/draft/"}, {"RouteType", "streaming"},
                     {"TimeoutMs", 8000}, {"TargetLatencyMs", 400}, {"Priority", 1}, {"Service", "drafting"},
                     {"MaxAttempts", 2}, {"Public", true}, {"SessionAffinity", true}, {"StreamResume", true},
                     {"TargetGapMs", 120}};
    return Json{{"Version", 7}, {"Routes", {route}}, {"Services", {service}}, {"Limits", Json::object()}}.dump();
}

std::string settings(int index, int app, int internal, int store)
{
    const std::string ip = ipOf(index);
    return "NodeName=side-kolkata-a-" + std::to_string(index + 1) + "\nRole=side\nMachineClass=side\nServes=side\nIp="
        + ip + "\nZone=kolkata-a\nRegion=bengal\nInternalPorts=" + std::to_string(internal) + ","
        + std::to_string(internal + 9)
        + "\nLimits.CpuShare=0.15\nLimits.Cores=1\nLimits.MemoryMb=128\nLimits.MaxFds=2048\nLimits.LinkMbps=20.0"
          "\nDiscovery=platform\nHeartbeatMs=1200"
          "\nContracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,experts"
          "\nBounds.GraceS=8\nBounds.FencingRequired=true\napp="
        + ip + ":" + std::to_string(app) + "\nService=drafting\nPlatform.Address=" + storeIp + ":"
        + std::to_string(store) + "\nPlatform.form=kv\n";
}

int run(const std::string &root, const std::string &folder, const std::string &temporary)
{
    auto &record = *new Record(folder + "/record.txt");
    const int storePort = freePort(storeIp);
    // Never destroyed: their threads run until the end of the process.
    auto &store = *new Store(storeIp, storePort);
    auto &workers = *new std::vector<Worker>(sides);
    const int internalPort = freePort(ipOf(0));
    std::vector<std::unique_ptr<Program>> programs(sides);
    const auto start = [&](int index) {
        programs[index] = std::make_unique<Program>(root, "side", temporary + "/side" + std::to_string(index) + ".conf",
                                                    temporary + "/side" + std::to_string(index) + ".log");
    };
    store.put("op/config", configuration());
    for (int index = 0; index < sides; ++index) {
        workers[index].rank = index;
        const int app = freePort(ipOf(index));
        new Listener(ipOf(index), app, [&workers, index](int fd) { serveWorker(fd, workers[index]); });
        const Json entry{{"Service", "drafting"}, {"Address", ipOf(index) + ":" + std::to_string(app)},
                         {"Zone", "kolkata-a"}, {"Version", "v1"}, {"Slots", 12}, {"State", "ready"},
                         {"ColdRemainingMs", 0}, {"Sequence", 1}};
        store.put("servers/i-" + std::to_string(index), entry.dump());
        writeFile(temporary + "/side" + std::to_string(index) + ".conf",
                  settings(index, app, internalPort, storePort));
        start(index);
    }
    sleepMs(calmMs);
    std::vector<std::uint64_t> peaks(sides, 0);
    std::vector<int> ends(sides, 0);
    std::vector<Clock::time_point> restarts(sides, Clock::time_point::max());
    for (int index = 0; index < sides; ++index) {
        if (!programs[index]->isRunning()) {
            record.line("a side does not run");
            return exitNotRun;
        }
        record.line("side " + std::to_string(index + 1) + " in calm: "
                    + std::to_string(programs[index]->memory("VmHWM") / 1000000) + " MB at its peak");
        workers[index].isFaulty = hasTrouble();
    }
    if (hasTrouble()) {
        record.line("the reports of both workers are bytes without end from now on");
    }
    const auto end = Clock::now() + std::chrono::milliseconds(troubleMs);
    while (Clock::now() < end) {
        for (int index = 0; index < sides; ++index) {
            auto &program = programs[index];
            if (program == nullptr) {
                if (Clock::now() >= restarts[index]) {
                    start(index);
                }
                continue;
            }
            const auto bytes = program->memory("VmRSS");
            peaks[index] = std::max(peaks[index], bytes);
            // What the platform does: a process above the memory of its machine is killed and started again.
            const bool hasEnded = !program->isRunning();
            if (!hasEnded && bytes <= memoryBytes) {
                continue;
            }
            ++ends[index];
            record.line("side " + std::to_string(index + 1)
                        + (hasEnded ? " has ended" : " occupies " + std::to_string(bytes / 1000000) + " MB: killed"));
            program.reset();
            restarts[index] = Clock::now() + std::chrono::milliseconds(restartMs);
        }
        sleepMs(2);
    }
    int faultyMachines = 0;
    for (int index = 0; index < sides; ++index) {
        record.line("side " + std::to_string(index + 1) + ": " + std::to_string(peaks[index] / 1000000)
                    + " MB at its peak, ended " + std::to_string(ends[index]) + " times; its worker sent "
                    + std::to_string(workers[index].sentBytes / 1000000) + " MB without end");
        faultyMachines += ends[index] >= endsOfFault ? 1 : 0;
    }
    record.line(std::to_string(faultyMachines) + " of 20 machines: processes ended three times or more");
    return faultyMachines >= sides ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
