#pragma once

#include "lycheelanding/decisions/routing/backendselector.h"

#include <cmath>
#include <functional>
#include <queue>

namespace lycheelanding::decisions::routing {

struct SimulatedServer
{
    /// Factor of the time of each request.
    double slowness = 1.0;
    /// Each request in progress above this number makes a new one longer by `kneeFactor`.
    std::size_t knee = 6;
    double kneeFactor = 0.0;
    std::size_t running = 0;
    std::size_t received = 0;
};

/// Entries that send to the servers of one plain service in virtual time, with 6 slots and two places of each entry.
class CapacitySimulation
{
public:
    CapacitySimulation(std::size_t entries, std::vector<SimulatedServer> simulated, bool isAdaptive = true)
        : servers(std::move(simulated))
    {
        std::vector<BackendCandidate> candidates(servers.size());
        for (std::size_t index = 0; index < servers.size(); ++index) {
            candidates[index].vm = vmOf(index);
            candidates[index].hasAdaptiveCapacity = isAdaptive;
        }
        for (std::size_t entry = 0; entry < entries; ++entry) {
            selectors.emplace_back(SelectorSettings(), m_random.next()).setCandidates(candidates);
            selectors.back().setLiveEntries(entries);
        }
    }

    static core::VmId vmOf(std::size_t index) { return core::VmId(std::to_string(index)); }

    /// Work is exponentially distributed, and 1 % of the requests take five times as long. Counts from zero.
    void run(std::chrono::seconds duration, double perSecond, double meanSeconds)
    {
        total = refused = 0;
        totalSeconds = 0.0;
        for (auto &server : servers) {
            server.received = 0;
        }
        for (const auto end = now + duration; now < end; now += secondsOf(exponential() / perSecond)) {
            for (; !m_answers.empty() && m_answers.top().at <= now; m_answers.pop()) {
                const auto &answer = m_answers.top();
                --servers[answer.server].running;
                selectors[answer.entry].answerBegan(answer.attempt, answer.at);
                selectors[answer.entry].requestEnded(answer.attempt, Outcome::Answered, answer.at);
            }
            const double longFactor = m_random.nextUnit() < 0.01 ? 5.0 : 1.0;
            ++total;
            refused += send(m_random.nextBelow(selectors.size()), meanSeconds * longFactor * exponential()) ? 0 : 1;
        }
    }

    double meanSeconds() const { return totalSeconds / static_cast<double>(total - refused); }
    double share(std::size_t index) const
    {
        return static_cast<double>(servers[index].received) / static_cast<double>(total);
    }

    std::vector<SimulatedServer> servers;
    std::vector<BackendSelector> selectors;
    core::TimePoint now{std::chrono::hours(1)};
    std::size_t total = 0;
    std::size_t refused = 0;
    double totalSeconds = 0.0;

private:
    struct Answer
    {
        core::TimePoint at;
        std::size_t entry = 0;
        std::size_t server = 0;
        AttemptId attempt;

        bool operator>(const Answer &other) const { return at > other.at; }
    };

    static core::Duration secondsOf(double seconds)
    {
        return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
    }

    double exponential() { return -std::log(1.0 - m_random.nextUnit()); }

    bool send(std::size_t entry, double work)
    {
        auto &selector = selectors[entry];
        RouteRequest request;
        for (std::size_t index = 0; index < servers.size(); ++index) {
            const auto limit = selector.capacity().limit(vmOf(index), now).value_or(2);
            if (selector.inFlightRequests(vmOf(index)) >= std::min<std::size_t>(limit, 2)) {
                request.excluded.push_back(vmOf(index));
            }
        }
        const auto choice = selector.choose(request, now);
        if (!core::isOk(choice)) {
            return false;
        }
        m_attempt = m_attempt.next();
        selector.requestSent(m_attempt, core::valueOf(choice), 1, now);
        selector.requestWritten(m_attempt, now);
        const auto index = static_cast<std::size_t>(std::stoul(core::valueOf(choice).vm.text()));
        auto &server = servers[index];
        ++server.received;
        if (server.running >= 6) {
            selector.requestEnded(m_attempt, Outcome::Refused, now);
            return false;
        }
        ++server.running;
        const auto over = static_cast<double>(server.running - std::min(server.running, server.knee));
        const double seconds = work * server.slowness * (1.0 + server.kneeFactor * over);
        totalSeconds += seconds;
        m_answers.push({now + secondsOf(seconds), entry, index, m_attempt});
        return true;
    }

    core::RandomSequence m_random{11};
    AttemptId m_attempt;
    std::priority_queue<Answer, std::vector<Answer>, std::greater<>> m_answers;
};

} // namespace lycheelanding::decisions::routing
