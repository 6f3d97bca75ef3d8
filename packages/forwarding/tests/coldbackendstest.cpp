#include "entrysimulation.h"

#include "lycheelanding/core/random.h"
#include "lycheelanding/forwarding/coldtracker.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lycheelanding::forwarding {

namespace {

using namespace std::chrono_literals;
using decisions::membership::BackendUsable;

constexpr core::TimePoint start{1h};
const core::ServiceId service("app");
constexpr double coldPerSecond = 28.0;
/// 28 a second, 1.5 and 5.
constexpr std::size_t boundInOneSecond = 47;

RegisteredBackend backendNumbered(std::size_t number)
{
    RegisteredBackend backend;
    backend.id = BackendId("backend-" + std::to_string(number));
    backend.service = service;
    backend.address = "10.0.0." + std::to_string(number + 1) + ":80";
    backend.slots = 10;
    backend.startedAtMs = 1;
    return backend;
}

std::vector<Service> coldServices(double perSecond)
{
    return {{service, 0, std::nullopt, decisions::intake::ColdTerms{10s, perSecond}}};
}

struct Entry
{
    explicit Entry(std::uint64_t seed) : backends(core::DataCentreId("a"), seed)
    {
        cold.configure(coldServices(coldPerSecond), start);
    }

    BackendSet backends;
    EventLog log{-1, "entry"};
    report::Metrics metrics;
    ColdTracker cold{backends, log, metrics};
    std::size_t waiting = 0;
    bool isRunning = true;
    /// Registrations reach it this much later.
    core::Duration delay{};
};

struct FleetOptions
{
    std::uint64_t seed = 1;
    std::size_t backends = 4;
    bool arePositionsKnown = true;
    /// An entry stops, another one starts, and the entries learn of it at different times.
    bool doEntriesChange = false;
    /// Requests arrive in every other second only, so that the entries use what they have in reserve all at once.
    bool isDemandUneven = false;
    /// Requests per second at each entry; the first two get four times as many.
    double arrivals = 20.0;
};

/// 14 entries before two data centres of backend servers that start again one after the other, in virtual time. Three
/// entries learn of it 1.5 s later than the others, unless an answer says it before.
class ColdFleet
{
public:
    explicit ColdFleet(const FleetOptions &options) : m_options(options), m_random(options.seed)
    {
        for (std::size_t number = 0; number < 14; ++number) {
            addEntry().delay = number % 5 == 0 ? 1500ms : 0ms;
        }
        if (options.arePositionsKnown) {
            setPositions(14);
        }
        for (m_now = start; m_now < start + 32s; m_now += 5ms) {
            tick();
        }
    }

    std::size_t largestInOneSecond() const
    {
        std::size_t largest = 0;
        for (auto [id, arrivals] : m_coldArrivals) {
            std::sort(arrivals.begin(), arrivals.end());
            std::deque<core::TimePoint> window;
            for (const auto at : arrivals) {
                window.push_back(at);
                while (window.front() <= at - 1s) {
                    window.pop_front();
                }
                largest = std::max(largest, window.size());
            }
        }
        return largest;
    }

    /// Mean requests per second at each backend server while it was cold.
    double coldRate() const
    {
        std::size_t sum = 0;
        for (const auto &[id, arrivals] : m_coldArrivals) {
            sum += arrivals.size();
        }
        return static_cast<double>(sum) / 10.0 / static_cast<double>(m_options.backends);
    }

private:
    Entry &addEntry()
    {
        m_entries.push_back(std::make_unique<Entry>(m_options.seed * 100 + m_entries.size()));
        for (std::size_t number = 0; number < m_options.backends; ++number) {
            m_entries.back()->backends.apply({BackendUsable{backendNumbered(number)}}, m_now);
        }
        return *m_entries.back();
    }

    void setPositions(std::size_t entries)
    {
        std::size_t index = 0;
        for (const auto &entry : m_entries) {
            if (entry->isRunning) {
                entry->backends.setPosition({entries, index++}, m_now);
            }
        }
    }

    core::TimePoint coldFrom(std::size_t backend) const { return start + (backend % 2 == 0 ? 4s : 16s); }
    bool isCold(std::size_t backend, core::TimePoint time) const
    {
        return time >= coldFrom(backend) && time < coldFrom(backend) + 10s;
    }

    void later(core::Duration delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    void tick()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        for (std::size_t backend = 0; backend < m_options.backends; ++backend) {
            if (m_now == coldFrom(backend)) {
                restart(backend);
            }
        }
        if (m_options.doEntriesChange && m_now == start + 7s) {
            m_entries.back()->isRunning = false;
            addEntry();
            later(1s, [this] { m_entries.back()->backends.setPosition({15, 14}, m_now); });
            later(3s, [this] { setPositions(14); });
        }
        for (std::size_t number = 0; number < m_entries.size(); ++number) {
            auto &entry = *m_entries[number];
            const bool isQuiet = m_options.isDemandUneven && (m_now - start) / 1s % 2 == 1;
            const double perSecond = isQuiet ? 0.0 : m_options.arrivals * (number < 2 ? 4.0 : 1.0);
            if (m_random.nextUnit() < perSecond * 0.005) {
                ++entry.waiting;
                entry.backends.intake().requestArrived(service, m_now);
            }
            exchangeDemand(number);
            // The rest is refused.
            entry.waiting = std::min<std::size_t>(entry.waiting, 20);
            entry.waiting = isQuiet ? 0 : entry.waiting;
            entry.cold.tick(m_now);
            while (entry.isRunning && entry.waiting > 0 && send(entry)) {
                --entry.waiting;
            }
        }
    }

    /// Entries report their demand once a second, one after the other; sides send the sum ten times a second.
    void exchangeDemand(std::size_t number)
    {
        auto &entry = *m_entries[number];
        const auto milliseconds = (m_now - start) / 1ms;
        if (!m_options.arePositionsKnown) {
            return;
        }
        if (milliseconds % 1000 == static_cast<std::int64_t>(number) * 70 % 1000) {
            m_demands[number] = entry.backends.intake().demandReports(m_now);
        }
        if (milliseconds % 100 == static_cast<std::int64_t>(number) % 20 * 5) {
            decisions::intake::TotalDemand total{service, 0.0, 0};
            for (const auto &[reporter, demands] : m_demands) {
                total.perSecond += demands.empty() ? 0.0 : demands.front().perSecond;
                total.entries += demands.size();
            }
            entry.backends.intake().demandReported({total}, m_now);
        }
    }

    void restart(std::size_t number)
    {
        auto backend = backendNumbered(number);
        backend.startedAtMs = 2;
        for (const auto &entry : m_entries) {
            later(entry->delay, [this, &entry = *entry, backend, delay = entry->delay] {
                entry.cold.registered({backend.id, service, 2, 1, 1, 10s - delay, false}, m_now);
                entry.backends.apply({BackendUsable{backend}}, m_now);
            });
        }
    }

    bool send(Entry &entry)
    {
        BackendRequirements request;
        request.service = service;
        const auto attempt = AttemptId(++m_lastAttempt);
        const auto chosen = entry.backends.selectBackend(request, attempt, m_now);
        if (!core::isOk(chosen)) {
            return false;
        }
        const auto id = core::valueOf(chosen).id;
        const auto backend = static_cast<std::size_t>(id.text().back() - '0');
        const bool isSlow = isCold(backend, m_now);
        if (isSlow) {
            m_coldArrivals[id].push_back(m_now + 1ms * m_random.nextBelow(30));
        }
        later(isSlow ? 250ms : 60ms, [this, &entry, attempt, id, sentAt = m_now, backend] {
            entry.backends.recordAttemptEnd(attempt, Outcome::Answered, m_now);
            if (isCold(backend, m_now)) {
                const auto startedAtMs = entry.backends.find(id)->startedAtMs;
                entry.cold.answered({id, service, startedAtMs, coldFrom(backend) + 10s - m_now, sentAt}, m_now);
            }
        });
        return true;
    }

    const FleetOptions m_options;
    core::RandomSequence m_random;
    core::TimePoint m_now = start;
    std::uint64_t m_lastAttempt = 0;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::multimap<core::TimePoint, std::function<void()>> m_events;
    std::map<BackendId, std::vector<core::TimePoint>> m_coldArrivals;
    std::map<std::size_t, std::vector<decisions::intake::ServiceDemand>> m_demands;
};

/// Plays the fleet with four seeds.
void expectBoundKept(FleetOptions options, double minRate)
{
    for (options.seed = 1; options.seed <= 4; ++options.seed) {
        const ColdFleet fleet(options);
        EXPECT_LE(fleet.largestInOneSecond(), boundInOneSecond) << "seed " << options.seed;
        EXPECT_GE(fleet.coldRate(), minRate) << "seed " << options.seed;
    }
}

} // namespace

// A cold backend server crashed under what its slots allow; work that it tolerates must still flow to it.
TEST(ColdFleet, coldBackendsGetWhatTheyTolerate)
{
    expectBoundKept({}, 18.0);
}

// The same where one backend server of each data centre is left, and each entry always has requests.
TEST(ColdFleet, surgeOnTheLastBackendsKeepsToTheBound)
{
    FleetOptions options;
    options.backends = 2;
    options.arrivals = 60.0;
    expectBoundKept(options, 24.0);
}

// The reserves of all entries were used at once.
TEST(ColdFleet, surgesAfterQuietTimesKeepToTheBound)
{
    FleetOptions options;
    options.backends = 2;
    options.arrivals = 60.0;
    options.isDemandUneven = true;
    expectBoundKept(options, 12.0);
}

// Entries that do not know how many they are took more than their shares together.
TEST(ColdFleet, entriesWithoutPositionsKeepToTheBound)
{
    FleetOptions options;
    options.arePositionsKnown = false;
    options.backends = 2;
    options.arrivals = 60.0;
    expectBoundKept(options, 8.0);
}

// The entries count each other differently for some seconds.
TEST(ColdFleet, entryThatStopsAndOneThatStartsKeepToTheBound)
{
    FleetOptions options;
    options.doEntriesChange = true;
    options.arrivals = 60.0;
    expectBoundKept(options, 20.0);
}

// A request that chose a warm backend server and waits for its connection was not counted when it became cold.
TEST(ColdFleet, requestChosenBeforeTheBackendBecameColdChoosesAgain)
{
    Entry entry(1);
    entry.backends.apply({BackendUsable{backendNumbered(0)}}, start);
    BackendRequirements request;
    request.service = service;
    const auto chosen = entry.backends.selectBackend(request, AttemptId(1), start);
    ASSERT_TRUE(core::isOk(chosen));
    entry.cold.registered({backendNumbered(0).id, service, 2, 1, 1, 10s, false}, start + 1s);
    EXPECT_FALSE(entry.backends.isStillUsable(core::valueOf(chosen), start + 1s));
    EXPECT_TRUE(entry.backends.isStillUsable(core::valueOf(chosen), start + 11s));
}

// The caller's time ran out at the slow backend server while another one had places.
TEST(ColdFleet, requestWithLittleTimeGoesToAColdBackendOnlyIfNoOtherAcceptsIt)
{
    Entry entry(1);
    entry.backends.setPosition({1, 0}, start);
    for (std::size_t number = 0; number < 2; ++number) {
        entry.backends.apply({BackendUsable{backendNumbered(number)}}, start);
    }
    entry.cold.registered({backendNumbered(0).id, service, 2, 1, 1, 10s, false}, start);
    BackendRequirements request;
    request.service = service;
    request.hasLittleTime = true;
    constexpr int places = 20;
    for (int sent = 0; sent < places; ++sent) {
        const auto chosen = entry.backends.selectBackend(request, AttemptId(sent + 1), start + 1s);
        ASSERT_TRUE(core::isOk(chosen));
        EXPECT_FALSE(core::valueOf(chosen).isCold);
    }
    const auto chosen = entry.backends.selectBackend(request, AttemptId(places + 1), start + 1s);
    ASSERT_TRUE(core::isOk(chosen));
    EXPECT_TRUE(core::valueOf(chosen).isCold);
}

// A field that is no time, or one of another backend server at the address, said nothing of this one.
TEST(ColdFleet, onlyOwnReadableAnswersSayThatABackendIsCold)
{
    const std::string misdirected = "HTTP/1.1 421 Misdirected Request\r\nAttempt: 77\r\nCold: 60000\r\n"
                                    "Content-Length: 0\r\n\r\n";
    const auto answerWith
        = [](const std::string &fields) { return backendAnswer("slow", "Proof: p\r\nAttempt: 77\r\n" + fields); };
    const std::vector<std::pair<std::string, bool>> answers{{answerWith("Cold: 60000\r\n"), true},
                                                            {answerWith("Cold: soon\r\n"), false},
                                                            {answerWith("Cold: -1\r\n"), false},
                                                            {misdirected, false}};
    for (const auto &[answer, isCold] : answers) {
        EntrySimulation simulation;
        simulation.configure(RouteKind::Idempotent, 500ms);
        simulation.entry().intakeTracker().cold().configure(coldServices(coldPerSecond), core::SystemClock().now());
        simulation.addBackend([&answer = answer](const std::string &) { return ScriptedResponse{answer}; });
        simulation.exchange(callerRequest("GET"));
        const auto now = core::SystemClock().now();
        EXPECT_EQ(simulation.entry().backends().intake().isCold(BackendId("backend-1"), now), isCold) << answer;
    }
}

TEST(ColdFleet, nothingIsLimitedWithoutARate)
{
    Entry entry(1);
    entry.cold.configure(coldServices(0.0), start);
    entry.backends.apply({BackendUsable{backendNumbered(0)}}, start);
    entry.cold.registered({backendNumbered(0).id, service, 2, 1, 1, 10s, false}, start);
    EXPECT_FALSE(entry.backends.intake().isCold(backendNumbered(0).id, start));
    EXPECT_EQ(entry.metrics.value(report::Counter::BackendColdStarts), 0U);
}

} // namespace lycheelanding::forwarding
