// Review case 12, see claim.txt. Arguments: the record, a temporary folder, 0 for no disruption.
#include "../common-4/world.hh"

int main(int argc, char **argv)
{
    if (argc < 4) return 2;
    const bool hasTrouble = std::string(argv[3]) != "0";
    startWorld(argv[1], argv[2]);
    // Traffic of 10 streams a second until the worker of rank 3 would exit.
    constexpr double stayS = 2.0 + 16.0, recoveryS = 12.0, downS = 0.74;
    const double began = nowS();
    std::atomic<double> lastSend = began + 60.0;
    std::vector<std::thread> calls;
    std::thread traffic([&] {
        for (int number = 0; nowS() < lastSend; ++number) {
            calls.emplace_back(callOnce, entryIp, callersPort, number);
            sleepMs(100);
        }
    });
    // As a map switch begins, the registration of the worker of rank 3 is removed; the worker goes on serving. Then all
    // processes of the system are killed as an engine has accepted an order to hold, and started again.
    double leftAt = 0, faultAt = 0, backAt = 0;
    int seenPrepares = 0, seenHolds = 0;
    while (nowS() < lastSend) {
        sleepMs(1);
        if (leftAt == 0) {
            const int now = prepares;
            if (nowS() > began + 5.0 && now > seenPrepares) {
                leftAt = nowS();
                lastSend = leftAt + stayS;
                seenHolds = holds;
                if (hasTrouble) {
                    hasLeft = true;
                    const std::lock_guard lock(store.mutex);
                    store.remove("servers/i-3");
                    note("the registration of i-3 is removed");
                }
            }
            seenPrepares = now;
        } else if (faultAt == 0 && holds > seenHolds) {
            faultAt = nowS();
            for (const auto &[name, pid] : processes) ::kill(pid, SIGKILL);
            while (!processes.empty()) end(processes.begin()->first, SIGKILL);
            note("the final fault: all processes are killed");
            sleepMs((int)(downS * 1000));
            for (int rank = 0; rank < ranks; ++rank) launch("side", "side-" + std::to_string(rank));
            launch("entry", "entry");
            backAt = nowS();
            note("all processes are started again");
        }
    }
    traffic.join();
    for (auto &call : calls) call.join();
    while (!processes.empty()) end(processes.begin()->first, SIGTERM);
    int before = 0, servedBefore = 0, after = 0, servedAfter = 0;
    for (const auto &each : outcomes) {
        if (each.sentAt < faultAt) ++before, servedBefore += (each.text == "served");
        if (faultAt > 0 && each.sentAt > backAt + recoveryS) ++after, servedAfter += (each.text == "served");
    }
    char text[500];
    std::snprintf(text, sizeof text,
                  "before the final fault %d of %d requests served; later than RecoveryS after the machines are back %d of %d; the fault came %.2f s after the worker began to leave; the group's longest stall with requests in it: %.1f s; maps mixed: %s",
                  servedBefore, before, servedAfter, after, faultAt - leftAt, longestStall, mixedMaps ? "yes" : "no");
    note(text);
    std::puts(text);
    std::fflush(stdout);
    record.flush();
    if (faultAt == 0 || after < 10 || before < 20 || servedBefore * 4 < before) std::_Exit(2);
    std::_Exit(servedAfter * 4 < after ? 1 : 0);
}
