#include "lycheelanding/decisions/quarantine/requestquarantine.h"

#include "lycheelanding/core/random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace lycheelanding::decisions::quarantine {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);
/// From the arrival of a request at a backend server to its first token.
constexpr core::Duration timeToFirstToken = 200ms;
constexpr core::Duration reportDelay = 5ms;
constexpr core::Duration retryDelay = 20ms;
constexpr core::Duration playTime = 120s;
constexpr core::Duration repeatIntervalPerEntry = 250ms;
constexpr std::size_t backendCount = 16;
/// The users' bounds.
constexpr core::Duration stableWindow = 3s;
constexpr std::size_t crashesUntilRecognised = 5;
constexpr std::size_t crashesUntilRepeatIsRecognised = 3;
constexpr std::size_t requestsSentLater = 3;

struct FleetOptions
{
    std::size_t entries = 4;
    core::Duration badInterval = 500ms;
    core::Duration soundInterval = 200ms;
    /// Sound first parts that requests of both kinds use in turn; 0: the bad requests have nothing in common with
    /// others.
    int firstParts = 1;
    int lostReportPercent = 0;
    std::uint64_t seed = 1;
};

/// Entries that exchange reports, in virtual time. Requests with the bad feature crash the backend server that begins
/// to answer them, and all requests there that have no answer yet are lost with it; each is retried once. The backend
/// server is back at once, as a new incarnation.
class Fleet
{
public:
    explicit Fleet(const FleetOptions &options) : m_options(options), m_random(options.seed)
    {
        for (std::size_t entry = 0; entry < options.entries; ++entry) {
            m_entries.emplace_back(QuarantineSettings(), options.seed * 1000 + entry);
        }
        for (core::Duration at{}; at < playTime; at += options.badInterval) {
            schedule(start + at, [this] { send(randomEntry(), partsWith("bad"), 2); });
        }
        for (core::Duration at{}; at < playTime; at += options.soundInterval) {
            schedule(start + at, [this] { send(randomEntry(), partsWith("sound"), 2); });
        }
    }

    void play()
    {
        const auto repeatInterval = repeatIntervalPerEntry * m_entries.size();
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            for (core::Duration at = repeatIntervalPerEntry * entry; at < playTime; at += repeatInterval) {
                schedule(start + at, [this, entry] { repeatHeldReports(entry); });
            }
        }
        while (!m_events.empty()) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
    }

    /// Requests that were sent when `crashes` had long been seen.
    std::size_t badSentLater(std::size_t crashes = crashesUntilRecognised) const
    {
        if (m_crashTimes.size() < crashes) {
            return 0;
        }
        const auto since = m_crashTimes[crashes - 1] + stableWindow;
        return static_cast<std::size_t>(
            std::count_if(m_badSent.begin(), m_badSent.end(), [since](auto time) { return time > since; }));
    }

    std::size_t crashes() const { return m_crashTimes.size(); }
    std::size_t soundSent() const { return m_soundSent; }
    std::size_t soundHeld() const { return m_soundHeld; }

private:
    struct Event
    {
        core::TimePoint time;
        std::size_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const { return std::tie(other.time, other.number) < std::tie(time, number); }
    };

    void schedule(core::TimePoint time, std::function<void()> action)
    {
        m_events.push({time, m_events.size() + ++m_eventCount, std::move(action)});
    }

    std::size_t randomEntry() { return m_random.nextBelow(m_entries.size()); }
    RequestFeatures partsWith(const std::string &feature)
    {
        if (m_options.firstParts == 0) {
            return {RequestFeature(feature)};
        }
        const auto first = m_random.nextBelow(static_cast<std::uint64_t>(m_options.firstParts));
        return {RequestFeature("first" + std::to_string(first)), RequestFeature(feature)};
    }

    struct SentRequest
    {
        std::size_t entry = 0;
        RequestFeatures features;
        int attemptsLeft = 0;
        bool isLost = false;
    };

    static bool isBad(const RequestFeatures &features) { return features.back() == RequestFeature("bad"); }

    void send(std::size_t entry, const RequestFeatures &features, int attemptsLeft)
    {
        if (m_entries[entry].holdTime(features, m_now)) {
            m_soundHeld += isBad(features) ? 0 : 1;
            return;
        }
        if (m_entries[entry].sent(features, m_now)) {
            const ProbeReport report{features, m_now};
            share(entry, [report](auto &other) { other.probed(report); });
        }
        if (isBad(features)) {
            m_badSent.push_back(m_now);
        } else {
            ++m_soundSent;
        }
        const auto backend = m_random.nextBelow(backendCount);
        const auto request = std::make_shared<SentRequest>(SentRequest{entry, features, attemptsLeft});
        m_waiting[backend].push_back(request);
        schedule(m_now + timeToFirstToken, [this, backend, request] { begin(backend, request); });
    }

    void begin(std::size_t backend, const std::shared_ptr<SentRequest> &request)
    {
        if (request->isLost) {
            return;
        }
        if (isBad(request->features)) {
            crash(backend);
            return;
        }
        std::erase(m_waiting[backend], request);
        const ProgressReport report{request->features, m_now};
        if (m_entries[request->entry].progressed(report)) {
            share(request->entry, [report](auto &other) { other.progressed(report); });
        }
    }

    void crash(std::size_t backend)
    {
        const auto incarnation = "b" + std::to_string(m_crashTimes.size());
        m_crashTimes.push_back(m_now);
        for (const auto &request : std::exchange(m_waiting[backend], {})) {
            request->isLost = true;
            const CrashReport report{incarnation, request->features, m_now};
            m_entries[request->entry].crashed(report);
            share(request->entry, [report](auto &other) { other.crashed(report); });
            if (request->attemptsLeft > 1) {
                schedule(m_now + retryDelay,
                         [this, request] { send(request->entry, request->features, request->attemptsLeft - 1); });
            }
        }
    }

    /// A report goes to three sides, each of which relays it: two datagrams each way.
    bool isDelivered()
    {
        constexpr int relays = 3;
        bool isDelivered = false;
        for (int relay = 0; relay < relays; ++relay) {
            const bool hasLostFirst = isDatagramLost();
            const bool hasLostSecond = isDatagramLost();
            isDelivered = isDelivered || (!hasLostFirst && !hasLostSecond);
        }
        return isDelivered;
    }

    bool isDatagramLost() { return m_random.nextBelow(100) < static_cast<std::uint64_t>(m_options.lostReportPercent); }

    void repeatHeldReports(std::size_t entry)
    {
        for (const auto &report : m_entries[entry].heldReports(m_now)) {
            share(entry, [report](auto &other) { other.crashed(report); });
        }
    }

    template <typename Report>
    void share(std::size_t from, Report report)
    {
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            if (entry != from && isDelivered()) {
                schedule(m_now + reportDelay, [this, entry, report] { report(m_entries[entry]); });
            }
        }
    }

    const FleetOptions m_options;
    core::RandomSequence m_random;
    std::vector<RequestQuarantine> m_entries;
    std::priority_queue<Event> m_events;
    std::size_t m_eventCount = 0;
    core::TimePoint m_now;
    std::array<std::vector<std::shared_ptr<SentRequest>>, backendCount> m_waiting;
    std::vector<core::TimePoint> m_crashTimes;
    std::vector<core::TimePoint> m_badSent;
    std::size_t m_soundSent = 0;
    std::size_t m_soundHeld = 0;
};

} // namespace

// Each entry saw few of the crashes, so that together they went on ending backend servers.
TEST(CrashingPrompts, fleetStopsSendingThemWithinTheBound)
{
    for (const std::size_t entries : {1U, 4U, 14U, 60U}) {
        FleetOptions options;
        options.entries = entries;
        Fleet fleet(options);
        fleet.play();
        EXPECT_LE(fleet.badSentLater(), requestsSentLater) << entries << " entries";
    }
}

// Held for good would be wrong for sound requests with the same first part, at whose expense the bad ones are held.
TEST(CrashingPrompts, soundRequestsWithTheSameFirstPartAreSent)
{
    for (const int firstParts : {1, 60}) {
        FleetOptions options;
        options.firstParts = firstParts;
        options.soundInterval = 10ms;
        Fleet fleet(options);
        fleet.play();
        EXPECT_LE(fleet.badSentLater(), requestsSentLater);
        EXPECT_LE(fleet.soundHeld(), fleet.soundSent() / 20) << firstParts << " first parts";
    }
}

// One request that comes again and again has a stricter bound.
TEST(CrashingPrompts, repeatsOfOneRequestStopWithinTheBound)
{
    for (const std::size_t entries : {1U, 4U, 14U, 60U}) {
        for (const core::Duration interval : {20ms, 500ms, 5000ms}) {
            FleetOptions options;
            options.entries = entries;
            options.firstParts = 0;
            options.badInterval = interval;
            Fleet fleet(options);
            fleet.play();
            EXPECT_LE(fleet.badSentLater(crashesUntilRepeatIsRecognised), requestsSentLater) << entries << " entries";
            EXPECT_LE(fleet.soundHeld(), fleet.soundSent() / 20) << entries << " entries";
        }
    }
}

RC_GTEST_PROP(CrashingPromptsFuzz, boundOfOneRequestHoldsForAnyFleetWhileReportsAreLost, ())
{
    FleetOptions options;
    options.entries = *rc::gen::inRange<std::size_t>(1, 40);
    options.firstParts = 0;
    options.badInterval = std::chrono::milliseconds(*rc::gen::inRange(20, 5000));
    options.soundInterval = std::chrono::milliseconds(*rc::gen::inRange(5, 1000));
    options.lostReportPercent = *rc::gen::inRange(0, 20);
    options.seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
    Fleet fleet(options);
    fleet.play();
    RC_ASSERT(fleet.badSentLater(crashesUntilRepeatIsRecognised) <= requestsSentLater);
}

RC_GTEST_PROP(CrashingPromptsFuzz, boundHoldsForAnyFleetWhileReportsAreLost, ())
{
    FleetOptions options;
    options.entries = *rc::gen::inRange<std::size_t>(1, 40);
    options.badInterval = std::chrono::milliseconds(*rc::gen::inRange(20, 5000));
    options.soundInterval = std::chrono::milliseconds(*rc::gen::inRange(5, 1000));
    options.firstParts = *rc::gen::inRange(1, 60);
    options.lostReportPercent = *rc::gen::inRange(0, 20);
    options.seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
    Fleet fleet(options);
    fleet.play();
    RC_ASSERT(fleet.badSentLater() <= requestsSentLater);
    RC_ASSERT(fleet.soundHeld() <= fleet.soundSent() / 2);
}

} // namespace lycheelanding::decisions::quarantine
