#pragma once

#include "lycheelanding/core/random.h"
#include "lycheelanding/forwarding/backendset.h"
#include "lycheelanding/forwarding/waitingrequests.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lycheelanding::forwarding {

/// The users' rule: from `stableWindow` after a backend server first stated a limit it gets in no `limitWindow` more
/// than `allowedMultiple` times what the limit allows, and `allowedExtra` requests, from the entries that were told
/// `toldBefore` or longer ago.
struct LimitRule
{
    static constexpr core::Duration stableWindow = std::chrono::seconds(3);
    static constexpr core::Duration limitWindow = std::chrono::seconds(4);
    static constexpr core::Duration toldBefore = std::chrono::milliseconds(500);
    static constexpr double allowedMultiple = 1.5;
    static constexpr double allowedExtra = 5.0;
};

struct LimitedFleetOptions
{
    std::size_t backends = 16;
    std::size_t limitedBackends = 2;
    /// Requests per second that a limited backend server states.
    double limit = 2.0;
    /// Requests per second that arrive at each entry.
    std::vector<double> arrivals = {13.0, 13.0, 25.0, 18.0};
    core::Duration limitedFrom = std::chrono::seconds(6);
    core::Duration limitedFor = std::chrono::seconds(20);
    /// No requests arrive from then on, for `quietFor`.
    core::Duration quietFrom = std::chrono::seconds(1000);
    core::Duration quietFor{};
    /// Whether entries learn of limits from their own answers alone.
    bool areReportsLost = false;
    core::Duration playTime = std::chrono::seconds(40);
    std::uint64_t seed = 1;
};

/// Entries before backend servers, some of which state a limit for a time, in virtual time. The entries know of
/// each other what sides tell them: their positions and the sum of their demand.
class LimitedFleet
{
public:
    explicit LimitedFleet(const LimitedFleetOptions &options) : m_options(options), m_random(options.seed)
    {
        for (std::size_t entry = 0; entry < options.arrivals.size(); ++entry) {
            m_entries.push_back(std::make_unique<Entry>(*this, options.seed * 100 + entry));
        }
        for (std::size_t number = 0; number < options.backends; ++number) {
            RegisteredBackend backend;
            backend.id = BackendId("backend-" + std::to_string(number));
            backend.service = core::ServiceId("app");
            backend.address = "10.0.0." + std::to_string(number + 1) + ":80";
            backend.slots = slots;
            for (const auto &entry : m_entries) {
                entry->backends.apply({decisions::membership::BackendUsable{backend}}, m_now);
                entry->backends.setPosition({m_entries.size(), entry->number}, m_now);
            }
            m_backends[backend.id].isLimited = number < options.limitedBackends;
        }
        while (m_now < start + options.playTime) {
            tick();
        }
    }

    /// The largest excess over what the rule allows in any window, in requests; not positive if it is kept.
    double largestExcess() const
    {
        double excess = -1e9;
        for (const auto &[id, backend] : m_backends) {
            if (backend.isLimited) {
                excess = std::max(excess, largestExcess(backend));
            }
        }
        return excess;
    }

    /// Requests refused from `from` of the play on.
    std::size_t refusedSince(core::Duration from) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_refusals.begin(), m_refusals.end(),
                          [from](const auto &refusal) { return refusal.arrival + refusal.wait - start >= from; }));
    }

    /// Requests refused after they had waited, of those that arrived from `from` of the play on.
    std::size_t refusedAfterWaiting(core::Duration from) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_refusals.begin(), m_refusals.end(), [from](const auto &refusal) {
                return refusal.arrival - start >= from && refusal.wait > core::Duration::zero();
            }));
    }

    std::size_t arrived = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;

private:
    static constexpr core::TimePoint start{std::chrono::hours(1)};
    static constexpr core::Duration tickTime = std::chrono::milliseconds(10);
    static constexpr core::Duration transmission = std::chrono::milliseconds(1);
    static constexpr core::Duration timeToFirstToken = std::chrono::milliseconds(150);
    static constexpr core::Duration timeToEnd = std::chrono::milliseconds(800);
    static constexpr core::Duration statusInterval = std::chrono::milliseconds(100);
    static constexpr core::Duration demandInterval = std::chrono::seconds(1);
    static constexpr core::Duration maxWait = std::chrono::milliseconds(1500);
    static constexpr core::Duration targetWait = maxWait / 10;
    static constexpr std::size_t slots = 12;

    struct Arrival
    {
        core::TimePoint at;
        std::size_t entry = 0;
    };

    struct Refusal
    {
        core::TimePoint arrival;
        core::Duration wait{};
    };

    struct Backend
    {
        bool isLimited = false;
        std::vector<Arrival> arrivals;
        /// When each entry was first told of the limit.
        std::map<std::size_t, core::TimePoint> toldAt;
        std::uint32_t running = 0;
    };

    struct Entry;

    class Request
    {
    public:
        Request(Entry &entry, const WaitLimits &limits) : m_entry(entry), m_limits(limits) { }

        bool trySend() { return m_entry.fleet.send(m_entry); }
        void onWaitTimeout() { m_entry.fleet.refuse(m_limits.waitStart); }
        bool isFinished() const { return false; }
        core::TimePoint waitDeadline() const { return m_limits.waitDeadline; }
        const core::ServiceId &service() const { return m_entry.fleet.m_service; }
        std::uint32_t priority() const { return 0; }
        bool isLate(core::TimePoint now) const { return now >= m_limits.lateSince; }

    private:
        Entry &m_entry;
        WaitLimits m_limits;
    };

    struct Entry
    {
        Entry(LimitedFleet &owner, std::uint64_t seed)
            : fleet(owner), number(owner.m_entries.size()), backends(core::DataCentreId("a"), seed)
        { }

        LimitedFleet &fleet;
        std::size_t number;
        BackendSet backends;
        WaitingRequests<Request> waiting;
    };

    struct Event
    {
        core::TimePoint at;
        enum class Kind : std::uint8_t { Head, End } kind = Kind::Head;
        std::size_t entry = 0;
        BackendId backend;
        AttemptId attempt;
        core::TimePoint sentAt;
        std::optional<double> statedLimit;
    };

    bool isLimitedNow() const
    {
        const auto at = m_now - start;
        return at >= m_options.limitedFrom && at < m_options.limitedFrom + m_options.limitedFor;
    }

    void tick()
    {
        m_now += tickTime;
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto event = m_events.begin()->second;
            m_events.erase(m_events.begin());
            handle(event);
        }
        if (m_now >= m_nextDemands) {
            m_nextDemands = m_now + demandInterval;
            sendDemands();
        }
        if (m_now >= m_nextStatus) {
            m_nextStatus = m_now + statusInterval;
            sendStatus();
        }
        const auto at = m_now - start;
        const bool isQuiet = at >= m_options.quietFrom && at < m_options.quietFrom + m_options.quietFor;
        for (const auto &entry : m_entries) {
            const double perTick = m_options.arrivals[entry->number] * std::chrono::duration<double>(tickTime).count();
            if (!isQuiet && m_random.nextUnit() < perTick) {
                arrive(*entry);
            }
            entry->waiting.advance(m_now);
        }
    }

    void arrive(Entry &entry)
    {
        ++arrived;
        entry.backends.intake().requestArrived(m_service, m_now);
        WaitLimits limits;
        limits.waitStart = m_now;
        limits.waitDeadline = m_now + maxWait;
        limits.lateSince = m_now + targetWait;
        if (entry.backends.limitError(m_service, entry.waiting.count(m_service), limits, "7", m_now)) {
            refuse(m_now);
            return;
        }
        entry.waiting.add(std::make_shared<Request>(entry, limits));
    }

    void refuse(core::TimePoint arrival)
    {
        ++refused;
        m_refusals.push_back({arrival, m_now - arrival});
    }

    bool send(Entry &entry)
    {
        BackendRequirements request;
        request.service = m_service;
        const auto attempt = AttemptId(++m_lastAttempt);
        const auto chosen = entry.backends.selectBackend(request, attempt, m_now);
        if (!core::isOk(chosen)) {
            return false;
        }
        const auto &id = core::valueOf(chosen).id;
        auto &backend = m_backends.at(id);
        backend.arrivals.push_back({m_now + transmission, entry.number});
        ++backend.running;
        const auto limit = backend.isLimited && isLimitedNow() ? std::optional(m_options.limit) : std::nullopt;
        schedule({m_now + timeToFirstToken, Event::Kind::Head, entry.number, id, attempt, m_now, limit});
        schedule({m_now + timeToEnd, Event::Kind::End, entry.number, id, attempt, m_now, limit});
        return true;
    }

    void schedule(Event event) { m_events.emplace(event.at, std::move(event)); }

    void handle(const Event &event)
    {
        auto &backends = m_entries[event.entry]->backends;
        auto &backend = m_backends.at(event.backend);
        if (event.kind == Event::Kind::End) {
            --backend.running;
            ++answered;
            backends.recordAttemptEnd(event.attempt, Outcome::Answered, m_now);
            return;
        }
        backends.recordFirstEvent(event.attempt, 1, m_now);
        if (event.statedLimit) {
            backend.toldAt.try_emplace(event.entry, m_now);
            const decisions::intake::StatedLimit stated{event.backend, m_service, *event.statedLimit, m_now};
            if (backends.intake().limitStated(stated, m_now) == decisions::intake::LimitChange::Stated) {
                report([stated](auto &intake, auto now) { intake.limitStated(stated, now); });
            }
        } else if (backends.intake().noLimitStated(event.backend, event.sentAt, m_now)) {
            report([event](auto &intake, auto now) { intake.noLimitStated(event.backend, event.sentAt, now); });
        }
    }

    /// Sides relay a report to the other entries.
    void report(const std::function<void(decisions::intake::BackendIntake &, core::TimePoint)> &apply)
    {
        if (m_options.areReportsLost) {
            return;
        }
        for (const auto &entry : m_entries) {
            apply(entry->backends.intake(), m_now);
        }
    }

    /// What the sides add up of the entries' reports.
    void sendDemands()
    {
        decisions::intake::TotalDemand total;
        total.service = m_service;
        for (const auto &entry : m_entries) {
            for (const auto &demand : entry->backends.intake().demandReports(m_now)) {
                total.perSecond += demand.perSecond;
                ++total.entries;
            }
        }
        m_totals = total.entries > 0 ? std::vector{total} : std::vector<decisions::intake::TotalDemand>();
    }

    void sendStatus()
    {
        for (const auto &entry : m_entries) {
            entry->backends.intake().demandReported(m_totals, m_now);
        }
        for (const auto &[id, backend] : m_backends) {
            for (const auto &entry : m_entries) {
                entry->backends.updateBackendLoad(id, {core::GroupId(), true, 0, backend.running, m_now}, m_now);
            }
        }
    }

    double largestExcess(const Backend &backend) const
    {
        const auto firstStated
            = std::min_element(backend.toldAt.begin(), backend.toldAt.end(),
                               [](const auto &left, const auto &right) { return left.second < right.second; });
        if (firstStated == backend.toldAt.end()) {
            return -1e9;
        }
        const double allowed = LimitRule::allowedMultiple * m_options.limit
                * std::chrono::duration<double>(LimitRule::limitWindow).count()
            + LimitRule::allowedExtra;
        const auto judgedFrom = start + m_options.limitedFrom + LimitRule::stableWindow;
        const auto judgedUntil = start + m_options.limitedFrom + m_options.limitedFor;
        double excess = -1e9;
        std::deque<core::TimePoint> window;
        for (const auto &arrival : backend.arrivals) {
            const auto told = backend.toldAt.find(arrival.entry);
            if (told == backend.toldAt.end() || arrival.at < told->second + LimitRule::toldBefore) {
                continue;
            }
            window.push_back(arrival.at);
            while (window.front() <= arrival.at - LimitRule::limitWindow) {
                window.pop_front();
            }
            if (arrival.at >= judgedFrom && arrival.at < judgedUntil) {
                excess = std::max(excess, static_cast<double>(window.size()) - allowed);
            }
        }
        return excess;
    }

    const LimitedFleetOptions m_options;
    const core::ServiceId m_service{"app"};
    core::RandomSequence m_random;
    core::TimePoint m_now = start;
    std::vector<Refusal> m_refusals;
    core::TimePoint m_nextStatus = start;
    core::TimePoint m_nextDemands = start;
    std::vector<decisions::intake::TotalDemand> m_totals;
    std::uint64_t m_lastAttempt = 0;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::map<BackendId, Backend> m_backends;
    std::multimap<core::TimePoint, Event> m_events;
};

} // namespace lycheelanding::forwarding
