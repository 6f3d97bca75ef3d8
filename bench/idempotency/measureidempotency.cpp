// Simulates claims in virtual time and counts the calls to the key-value service that durable claims need, for several
// arrival rates and strategies to batch claims. The baseline is a write for each request: one write per claim, and
// another call to remove it unless a lease of the service does that.

#include "lycheelanding/core/random.h"
#include "lycheelanding/decisions/idempotency/claimpartition.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <queue>
#include <string_view>

namespace lycheelanding::bench {

namespace {

using namespace decisions::idempotency;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t entryCount = 6;
constexpr core::Duration storeLatency = milliseconds(3);
constexpr seconds simulatedTime{10};
constexpr auto firstWallTime = core::WallTime(std::chrono::hours(500000));

struct ClaimStrategy
{
    const char *name;
    std::uint64_t partitions;
    milliseconds minWriteInterval;
    /// Whether claims are forwarded to the entry that the writer hint names.
    bool isForwarded;
};

/// Counts of store calls; `grantDelays` are milliseconds from a claim's arrival to its grant.
struct Statistics
{
    std::uint64_t claims = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t bytes = 0;
    std::vector<double> grantDelays;
};

enum class EventKind : std::uint8_t {
    Arrival,
    StoreAnswer,
    Tick,
};

struct Event
{
    core::TimePoint at;
    EventKind kind = EventKind::Arrival;
    std::size_t entry = 0;
    std::uint64_t partition = 0;

    bool operator<(const Event &other) const { return at > other.at; }
};

class ClaimSimulation
{
public:
    ClaimSimulation(const ClaimStrategy &strategy, double claimsPerSecond, std::uint64_t seed)
        : m_strategy(strategy), m_rate(claimsPerSecond), m_random(seed), m_stored(strategy.partitions)
    {
        ClaimSettings settings;
        settings.minWriteInterval = strategy.minWriteInterval;
        m_claimPartitions.assign(entryCount * strategy.partitions, ClaimPartition(settings));
        m_calls.resize(m_claimPartitions.size());
    }

    Statistics run()
    {
        m_events.push({core::TimePoint(), EventKind::Arrival});
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        return m_statistics;
    }

private:
    void handle(const Event &event)
    {
        const std::size_t index = event.entry * m_strategy.partitions + event.partition;
        if (event.kind == EventKind::Arrival) {
            handleArrival();
        } else if (event.kind == EventKind::Tick) {
            execute(event.entry, event.partition, m_claimPartitions[index].tick(m_now));
        } else {
            handleStoreAnswer(event, index);
        }
    }

    void handleArrival()
    {
        const AttemptNonce nonce(++m_statistics.claims);
        const KeyHash key(m_random.next());
        const PartitionNumber partition = partitionOf(key, m_strategy.partitions);
        const std::size_t entry
            = m_strategy.isForwarded ? partition.number() % entryCount : m_random.nextBelow(entryCount);
        const auto wallNow = firstWallTime + std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch());
        m_arrivals[nonce] = m_now;
        const SideId side{core::VmId("side-" + std::to_string(key.number() % 20)), core::Incarnation(1)};
        const ClaimRequest request{key, nonce, 0, side, wallNow, std::nullopt};
        ClaimPartition &claimPartition = m_claimPartitions[entry * m_strategy.partitions + partition.number()];
        execute(entry, partition.number(), claimPartition.claim(request, m_now));
        const core::Duration gap(static_cast<std::int64_t>(-std::log(1.0 - m_random.nextUnit()) / m_rate * 1e9));
        if (m_now + gap < core::TimePoint(simulatedTime)) {
            m_events.push({m_now + gap, EventKind::Arrival});
        }
    }

    void handleStoreAnswer(const Event &event, std::size_t index)
    {
        const ClaimAction call = *std::exchange(m_calls[index], std::nullopt);
        StoredValue &stored = m_stored[event.partition];
        const auto *write = std::get_if<WriteStore>(&call);
        if (write == nullptr) {
            execute(event.entry, event.partition, m_claimPartitions[index].storeRead(stored, m_now));
            return;
        }
        if (write->expected != stored.revision) {
            ++m_statistics.conflicts;
            execute(event.entry, event.partition, m_claimPartitions[index].storeWritten(WriteConflict{}, m_now));
            return;
        }
        stored = {write->text, stored.revision.next()};
        execute(event.entry, event.partition, m_claimPartitions[index].storeWritten(WriteDone{stored.revision}, m_now));
    }

    void execute(std::size_t entry, std::uint64_t partition, const ClaimActions &actions)
    {
        const std::size_t index = entry * m_strategy.partitions + partition;
        for (const ClaimAction &action : actions) {
            if (const auto *granted = std::get_if<Granted>(&action)) {
                const auto arrival = m_arrivals.extract(granted->nonce);
                m_statistics.grantDelays.push_back(
                    std::chrono::duration<double, std::milli>(m_now - arrival.mapped()).count());
                continue;
            }
            const auto *write = std::get_if<WriteStore>(&action);
            if (write == nullptr && !std::holds_alternative<ReadStore>(action)) {
                continue;
            }
            (write != nullptr ? m_statistics.writes : m_statistics.reads) += 1;
            m_statistics.bytes += write != nullptr ? write->text.size() : m_stored[partition].text.size();
            m_calls[index] = action;
            m_events.push({m_now + storeLatency, EventKind::StoreAnswer, entry, partition});
        }
        const auto wakeAt = m_claimPartitions[index].wakeAt();
        if (wakeAt && !m_calls[index]) {
            m_events.push({std::max(*wakeAt, m_now + milliseconds(1)), EventKind::Tick, entry, partition});
        }
    }

    ClaimStrategy m_strategy;
    double m_rate;
    core::RandomSequence m_random;
    core::TimePoint m_now;
    std::priority_queue<Event> m_events;
    std::vector<ClaimPartition> m_claimPartitions;
    std::vector<std::optional<ClaimAction>> m_calls;
    std::vector<StoredValue> m_stored;
    std::map<AttemptNonce, core::TimePoint> m_arrivals;
    Statistics m_statistics;
};

void print(const ClaimStrategy &strategy, double rate, Statistics statistics)
{
    std::sort(statistics.grantDelays.begin(), statistics.grantDelays.end());
    double sum = 0;
    for (const double delay : statistics.grantDelays) {
        sum += delay;
    }
    const auto granted = static_cast<double>(statistics.grantDelays.size());
    const double perThousand = 1000.0 / static_cast<double>(statistics.claims);
    const double calls = static_cast<double>(statistics.reads + statistics.writes);
    std::printf("%-26s %6.0f %8.0f %8.0f %9.0f %8.0f %8.1f %8.1f %8.1f\n", strategy.name, rate, calls * perThousand,
                static_cast<double>(statistics.writes) * perThousand,
                static_cast<double>(statistics.conflicts) * perThousand,
                calls / static_cast<double>(simulatedTime.count()), sum / granted,
                statistics.grantDelays[static_cast<std::size_t>(granted * 0.99)],
                static_cast<double>(statistics.bytes) / 1024.0 / static_cast<double>(simulatedTime.count()));
}

} // namespace

} // namespace lycheelanding::bench

int main(int argc, char **argv)
{
    using namespace lycheelanding::bench;
    std::uint64_t seed = 1;
    for (int index = 1; index + 1 < argc; ++index) {
        if (std::string_view(argv[index]) == "--seed") {
            seed = std::strtoull(argv[index + 1], nullptr, 10);
        }
    }
    const std::vector<ClaimStrategy> strategies{
        {"256 partitions", 256, milliseconds(0), false},
        {"256, to the writer", 256, milliseconds(0), true},
        {"256, to the writer, 20 ms", 256, milliseconds(20), true},
        {"256, to the writer, 100 ms", 256, milliseconds(100), true},
        {"32, to the writer, 100 ms", 32, milliseconds(100), true},
        {"32 partitions, 100 ms", 32, milliseconds(100), false},
    };
    std::printf("%-26s %6s %8s %8s %9s %8s %8s %8s %8s\n", "per 1000 claims:", "rate/s", "calls", "writes", "conflicts",
                "calls/s", "mean ms", "p99 ms", "KiB/s");
    for (const ClaimStrategy &strategy : strategies) {
        for (const double rate : {10.0, 100.0, 255.0, 1000.0}) {
            print(strategy, rate, ClaimSimulation(strategy, rate, seed).run());
        }
    }
    return 0;
}
