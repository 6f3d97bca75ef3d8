#pragma once

#include "fakecluster.h"
#include "fakeentry.h"

#include "lycheelanding/core/random.h"

#include <memory>

namespace lycheelanding::bench::routing {

/// One run of one policy in one scenario.
template <typename Selector, typename MakeSelector>
class Simulation
{
public:
    Simulation(const Scenario &scenario, std::vector<CallerRequest> requests, std::uint64_t seed,
               MakeSelector makeSelector)
        : m_scenario(scenario), m_requests(std::move(requests)), m_random(seed),
          m_makeSelector(std::move(makeSelector)), m_cluster(m_queue, listener()), m_start(m_queue.now())
    {
        m_measurement.from = m_start + SimulationParameters::warmUpDuration;
        m_measurement.until = m_measurement.from + SimulationParameters::measurementDuration;
        startEntries();
    }

    Measurement run()
    {
        scheduleArrivals();
        scheduleReports();
        scheduleFaults();
        sampleImbalance();
        m_queue.runUntil(m_start + SimulationParameters::warmUpDuration + SimulationParameters::measurementDuration
                         + SimulationParameters::drainDuration);
        m_measurement.prefixLookups = m_cluster.prefixLookups();
        m_measurement.prefixHits = m_cluster.prefixHits();
        return std::move(m_measurement);
    }

private:
    using Entry = FakeEntry<Selector>;

    static constexpr core::Duration reportPeriod = std::chrono::milliseconds(250);
    static constexpr core::Duration tickPeriod = std::chrono::milliseconds(20);
    static constexpr core::Duration imbalanceSamplePeriod = std::chrono::milliseconds(100);

    ClusterListener listener()
    {
        return {[this](const EngineEvent &event) { handleEngineEvent(event); },
                [this](std::size_t entry, decisions::routing::AttemptId attempt, core::ErrorKind kind, core::Ran ran) {
                    m_entries[entry]->failed(attempt, kind, ran);
                }};
    }

    void startEntries()
    {
        // Scheduled callbacks still refer to the entries of before a restart, so these are kept. They receive no more
        // engine events or load reports.
        for (auto &entry : m_entries) {
            m_formerEntries.push_back(std::move(entry));
        }
        m_entries.clear();
        for (std::size_t index = 0; index < SimulationParameters::entries; ++index) {
            m_entries.push_back(std::make_unique<Entry>(index, m_makeSelector(m_random.next()), m_random.next(),
                                                        m_queue, m_cluster, m_measurement));
        }
    }

    void handleEngineEvent(const EngineEvent &event)
    {
        Entry &entry = *m_entries[event.entry];
        switch (event.kind) {
        case EngineEventKind::FirstToken:
            return entry.firstToken(event.attempt);
        case EngineEventKind::Token:
            return entry.token(event.attempt);
        case EngineEventKind::Ended:
            return entry.answered(event.attempt);
        }
    }

    void scheduleArrivals()
    {
        for (const auto &request : m_requests) {
            const bool isMeasured = request.arrival >= SimulationParameters::warmUpDuration;
            m_queue.scheduleAt(m_start + request.arrival, [this, &request, isMeasured] {
                m_entries[request.entry]->handleArrival(request, isMeasured);
            });
        }
        tick();
    }

    void tick()
    {
        for (auto &entry : m_entries) {
            entry->tick();
        }
        m_queue.scheduleAfter(tickPeriod, [this] { tick(); });
    }

    void scheduleReports()
    {
        for (std::size_t vm = 0; vm < SimulationParameters::vms; ++vm) {
            const double phase = static_cast<double>(vm) / static_cast<double>(SimulationParameters::vms);
            m_queue.scheduleAfter(std::chrono::duration_cast<core::Duration>(reportPeriod * phase),
                                  [this, vm] { sendLoadReport(vm); });
        }
    }

    void sendLoadReport(std::size_t vm)
    {
        const auto load = m_cluster.reportOf(vm);
        for (std::size_t entry = 0; entry < SimulationParameters::entries; ++entry) {
            if (m_random.nextUnit() < m_scenario.reportLossProbability) {
                continue;
            }
            m_queue.scheduleAfter(m_scenario.reportDelay, [this, entry, vm, load] {
                m_entries[entry]->reportLoad(FakeCluster::vmIdOf(vm), load);
            });
        }
        m_queue.scheduleAfter(reportPeriod, [this, vm] { sendLoadReport(vm); });
    }

    void scheduleFaults()
    {
        using namespace std::chrono_literals;
        const core::TimePoint begin = m_start + SimulationParameters::warmUpDuration;
        switch (m_scenario.kind) {
        case ScenarioKind::Straggler:
            m_queue.scheduleAt(begin, [this] { m_cluster.setSlowdown(faultyVmIndex, 3.0); });
            break;
        case ScenarioKind::StalledRank:
            m_queue.scheduleAt(begin + 3s, [this] { m_cluster.stall(faultyVmIndex, 3s); });
            m_queue.scheduleAt(begin + 12s, [this] { m_cluster.stall(faultyVmIndex, 3s); });
            break;
        case ScenarioKind::FailsFast:
            m_queue.scheduleAt(begin, [this] { m_cluster.setFailing(faultyVmIndex); });
            break;
        case ScenarioKind::LeavingThird:
            m_queue.scheduleAt(begin + 5s, [this] { startLeaving(); });
            break;
        case ScenarioKind::AfterOutage:
            // The entries restart at the end of the outage.
            m_queue.scheduleAt(begin + 7s, [this] { startEntries(); });
            break;
        default:
            break;
        }
    }

    void startLeaving()
    {
        constexpr double maxNoticeDelaySeconds = 2.0;
        for (std::size_t vm = 0; vm < leavingVmCount; ++vm) {
            m_cluster.setRefusing(vm);
            for (std::size_t entry = 0; entry < SimulationParameters::entries; ++entry) {
                const std::chrono::duration<double> notice(maxNoticeDelaySeconds * m_random.nextUnit());
                m_queue.scheduleAfter(std::chrono::duration_cast<core::Duration>(notice),
                                      [this, entry, vm] { m_entries[entry]->setLeaving(FakeCluster::vmIdOf(vm)); });
            }
        }
    }

    void sampleImbalance()
    {
        const core::TimePoint begin = m_start + SimulationParameters::warmUpDuration;
        if (m_queue.now() >= begin && m_queue.now() < begin + SimulationParameters::measurementDuration) {
            const double imbalance = m_cluster.imbalance();
            m_measurement.imbalanceSum += imbalance;
            m_measurement.imbalanceSamples += imbalance > 0.0 ? 1 : 0;
        }
        m_queue.scheduleAfter(imbalanceSamplePeriod, [this] { sampleImbalance(); });
    }

    const Scenario &m_scenario;
    std::vector<CallerRequest> m_requests;
    core::RandomSequence m_random;
    MakeSelector m_makeSelector;
    EventQueue m_queue;
    Measurement m_measurement;
    FakeCluster m_cluster;
    core::TimePoint m_start;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::unique_ptr<Entry>> m_formerEntries;
};

template <typename MakeSelector>
Measurement simulate(const Scenario &scenario, std::vector<CallerRequest> requests, std::uint64_t seed,
                     MakeSelector makeSelector)
{
    using Selector = decltype(makeSelector(std::uint64_t()));
    Simulation<Selector, MakeSelector> simulation(scenario, std::move(requests), seed, std::move(makeSelector));
    return simulation.run();
}

} // namespace lycheelanding::bench::routing
