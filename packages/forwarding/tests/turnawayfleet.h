#pragma once

#include "lycheelanding/core/random.h"
#include "lycheelanding/forwarding/backendset.h"
#include "lycheelanding/forwarding/waitingrequests.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lycheelanding::forwarding {

/// The users' rule: between `graceTime` after its answer and the end of the time that it states, a backend server that
/// turned an entry away gets no more than `allowed` requests from it.
struct TurnAwayRule
{
    static constexpr core::Duration graceTime = std::chrono::milliseconds(500);
    static constexpr std::size_t allowed = 2;
};

struct TurnAwayFleetOptions
{
    std::size_t entries = 4;
    std::size_t backends = 4;
    /// Of these, how many turn requests away.
    std::size_t turningBackends = 1;
    core::Duration turningFrom = std::chrono::seconds(5);
    core::Duration turningFor = std::chrono::seconds(6);
    /// Requests per second at each entry.
    double arrivals = 25.0;
    bool isIdempotent = true;
    /// When the registrations of the turning backend servers lapse and come back, after turningFrom; zero: never.
    core::Duration registersAgainAfter{};
    core::Duration maxWait = std::chrono::milliseconds(750);
    core::Duration playTime = std::chrono::seconds(20);
    std::uint64_t seed = 1;
};

/// Entries before the backend servers of a plain service, some of which turn requests away for a time, in virtual time.
class TurnAwayFleet
{
public:
    explicit TurnAwayFleet(const TurnAwayFleetOptions &options)
        : m_options(options), m_random(options.seed), m_backends(options.backends)
    {
        for (std::size_t entry = 0; entry < options.entries; ++entry) {
            m_entries.push_back(std::make_unique<Entry>(*this, options.seed * 100 + entry));
            for (std::size_t number = 0; number < options.backends; ++number) {
                registerBackend(*m_entries.back(), number);
            }
            m_entries.back()->backends.setPosition({options.entries, entry}, m_now);
        }
        while (m_now < start + options.playTime) {
            tick();
        }
    }

    /// The most requests that one backend server got from one entry against its word.
    std::size_t mostAgainstTheRule() const
    {
        std::size_t most = 0;
        for (const auto &backend : m_backends) {
            for (const auto &told : backend.toldAt) {
                const auto from = told.second + TurnAwayRule::graceTime;
                const auto until = start + m_options.turningFrom + m_options.turningFor;
                const auto count
                    = std::count_if(backend.arrivals.begin(), backend.arrivals.end(), [&](const auto &item) {
                          return item.entry == told.first && item.at >= from && item.at < until;
                      });
                most = std::max(most, static_cast<std::size_t>(count));
            }
        }
        return most;
    }

    /// The most arrivals at one of the turning backend servers in a tenth of a second of the first second after the
    /// time.
    std::size_t mostOnReturn() const
    {
        const auto end = start + m_options.turningFrom + m_options.turningFor;
        std::size_t most = 0;
        for (std::size_t number = 0; number < m_options.turningBackends; ++number) {
            for (int tenth = 0; tenth < 10; ++tenth) {
                const auto from = end + tenth * std::chrono::milliseconds(100);
                const auto &arrivals = m_backends[number].arrivals;
                const auto count = std::count_if(arrivals.begin(), arrivals.end(), [from](const auto &item) {
                    return item.at >= from && item.at < from + std::chrono::milliseconds(100);
                });
                most = std::max(most, static_cast<std::size_t>(count));
            }
        }
        return most;
    }

    std::size_t arrived = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;
    /// Requests that backend servers in service had no place for.
    std::size_t rejectedAsFull = 0;
    core::Duration longestRefusedWait{};

private:
    static constexpr core::TimePoint start{std::chrono::hours(1)};
    static constexpr core::Duration tickTime = std::chrono::milliseconds(5);
    static constexpr core::Duration serviceTime = std::chrono::milliseconds(60);
    static constexpr std::size_t slots = 6;
    static constexpr std::size_t queueLength = 4;

    struct Arrival
    {
        core::TimePoint at;
        std::size_t entry = 0;
    };

    struct Backend
    {
        std::vector<Arrival> arrivals;
        /// When each entry was first turned away.
        std::map<std::size_t, core::TimePoint> toldAt;
        /// When the requests that it has end, in order.
        std::vector<core::TimePoint> ends;
    };

    struct Entry;

    class Request
    {
    public:
        Request(Entry &entry, core::TimePoint arrival) : m_entry(entry), m_arrival(arrival) { }

        bool trySend() { return m_entry.fleet.send(m_entry, *this); }
        void onWaitTimeout() { m_entry.fleet.refuse(m_arrival); }
        bool isFinished() const { return false; }
        core::TimePoint waitDeadline() const { return m_arrival + m_entry.fleet.m_options.maxWait; }
        const core::ServiceId &service() const { return m_entry.fleet.m_service; }
        std::uint32_t priority() const { return 0; }
        bool isLate(core::TimePoint now) const { return now >= m_arrival + m_entry.fleet.m_options.maxWait / 2; }
        core::TimePoint arrival() const { return m_arrival; }

        std::vector<BackendId> tried;

    private:
        Entry &m_entry;
        core::TimePoint m_arrival;
    };

    struct Entry
    {
        Entry(TurnAwayFleet &owner, std::uint64_t seed)
            : fleet(owner), number(owner.m_entries.size()), backends(core::DataCentreId("a"), seed)
        { }

        TurnAwayFleet &fleet;
        std::size_t number;
        BackendSet backends;
        WaitingRequests<Request> waiting;
    };

    enum class Answer : std::uint8_t { Served, Full, TurnedAway };

    struct Event
    {
        std::size_t entry = 0;
        std::size_t backend = 0;
        AttemptId attempt;
        Answer answer = Answer::Served;
        std::shared_ptr<Request> request;
    };

    static BackendId idOf(std::size_t number) { return BackendId("backend-" + std::to_string(number)); }

    void registerBackend(Entry &entry, std::size_t number)
    {
        RegisteredBackend backend;
        backend.id = idOf(number);
        backend.service = m_service;
        backend.address = "10.0.0." + std::to_string(number + 1) + ":80";
        backend.slots = slots;
        entry.backends.apply({decisions::membership::BackendUsable{backend}}, m_now);
    }

    void registerAgain()
    {
        for (const auto &entry : m_entries) {
            for (std::size_t number = 0; number < m_options.turningBackends; ++number) {
                entry->backends.apply({decisions::membership::BackendUnusable{
                                          idOf(number), decisions::membership::DirectoryReason::Lapsed}},
                                      m_now);
                registerBackend(*entry, number);
            }
        }
    }

    void refuse(core::TimePoint arrival)
    {
        ++refused;
        longestRefusedWait = std::max(longestRefusedWait, m_now - arrival);
    }

    void tick()
    {
        const auto registersAgainAt = start + m_options.turningFrom + m_options.registersAgainAfter;
        if (m_options.registersAgainAfter > core::Duration::zero() && m_now <= registersAgainAt
            && registersAgainAt < m_now + tickTime) {
            registerAgain();
        }
        m_now += tickTime;
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto event = m_events.begin()->second;
            m_events.erase(m_events.begin());
            handle(event);
        }
        for (const auto &entry : m_entries) {
            if (m_random.nextUnit() < m_options.arrivals * std::chrono::duration<double>(tickTime).count()) {
                ++arrived;
                entry->waiting.add(std::make_shared<Request>(*entry, m_now));
            }
            entry->waiting.advance(m_now);
        }
    }

    /// Returns whether the request need not wait any more.
    bool send(Entry &entry, Request &request)
    {
        const auto until = entry.backends.turnedAwayUntil(m_service, m_now);
        if (until && *until > request.waitDeadline()) {
            refuse(request.arrival());
            return true;
        }
        BackendRequirements requirements;
        requirements.service = m_service;
        requirements.isIdempotent = m_options.isIdempotent;
        requirements.tried = request.tried;
        const auto attempt = AttemptId(++m_lastAttempt);
        const auto chosen = entry.backends.selectBackend(requirements, attempt, m_now);
        if (!core::isOk(chosen)) {
            return false;
        }
        const auto &id = core::valueOf(chosen).id;
        const auto number = static_cast<std::size_t>(std::stoul(id.text().substr(std::string("backend-").size())));
        auto copy = std::make_shared<Request>(request);
        copy->tried.push_back(id);
        arrive(entry, number, attempt, std::move(copy));
        return true;
    }

    void arrive(Entry &entry, std::size_t number, AttemptId attempt, std::shared_ptr<Request> request)
    {
        constexpr core::Duration roundTrip = std::chrono::milliseconds(2);
        auto &backend = m_backends[number];
        backend.arrivals.push_back({m_now, entry.number});
        std::erase_if(backend.ends, [this](auto end) { return end <= m_now; });
        const auto at = m_now - start;
        const bool isTurning = number < m_options.turningBackends && at >= m_options.turningFrom
            && at < m_options.turningFrom + m_options.turningFor;
        Event event{entry.number, number, attempt, Answer::Served, std::move(request)};
        if (isTurning || backend.ends.size() >= slots + queueLength) {
            event.answer = isTurning ? Answer::TurnedAway : Answer::Full;
            m_events.emplace(m_now + roundTrip, std::move(event));
            return;
        }
        // The request begins when one of those before it has left a slot.
        std::sort(backend.ends.begin(), backend.ends.end());
        const auto begin = backend.ends.size() < slots ? m_now : backend.ends[backend.ends.size() - slots];
        backend.ends.push_back(begin + serviceTime);
        m_events.emplace(begin + serviceTime + roundTrip, std::move(event));
    }

    void handle(const Event &event)
    {
        auto &entry = *m_entries[event.entry];
        if (event.answer == Answer::Served) {
            ++answered;
            entry.backends.recordAttemptEnd(event.attempt, Outcome::Answered, m_now);
            return;
        }
        if (event.answer == Answer::TurnedAway) {
            m_backends[event.backend].toldAt.try_emplace(event.entry, m_now);
            const auto until = start + m_options.turningFrom + m_options.turningFor;
            entry.backends.recordTurnedAway({idOf(event.backend), 0, until}, m_now);
        } else {
            ++rejectedAsFull;
        }
        entry.backends.recordAttemptEnd(event.attempt, Outcome::Refused, m_now);
        constexpr std::size_t maxAttempts = 2;
        if (event.request->tried.size() < maxAttempts) {
            entry.waiting.add(event.request);
        } else {
            refuse(event.request->arrival());
        }
    }

    const TurnAwayFleetOptions m_options;
    const core::ServiceId m_service{"app"};
    core::RandomSequence m_random;
    core::TimePoint m_now = start;
    std::uint64_t m_lastAttempt = 0;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<Backend> m_backends;
    std::multimap<core::TimePoint, Event> m_events;
};

} // namespace lycheelanding::forwarding
