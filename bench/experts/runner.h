#pragma once

#include "fullrepack.h"
#include "lycheelanding/decisions/experts/rankload.h"
#include "policy.h"
#include "runresult.h"
#include "workload.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <optional>

namespace lycheelanding::bench::experts {

/// The initial map of every policy, packed for the popularity at the start of the day.
inline decisions::experts::ExpertMap initialMap(const Workload &workload)
{
    decisions::experts::ExpertMap map(workload.parameters().shape, core::MapVersion(1));
    for (std::size_t layer = 0; layer < workload.parameters().shape.layers; ++layer) {
        packLayer(map, layer, workload.initialShares(layer));
    }
    return map;
}

/// Runs one policy through the day of a workload.
template <PlacementPolicy Policy>
class Runner
{
public:
    Runner(const Workload &workload, Policy policy)
        : m_workload(workload), m_policy(std::move(policy)), m_map(initialMap(workload))
    {
        for (std::size_t rank = 0; rank < workload.parameters().shape.ranks; ++rank) {
            m_ranks.emplace_back(rank);
        }
    }

    RunResult run()
    {
        RunResult result;
        result.scenario = core::nameIn(scenarioNames, m_workload.scenario());
        result.policy = m_policy.name();
        for (std::size_t tick = 0; tick < m_workload.parameters().ticks(); ++tick) {
            const auto now = m_workload.timeOf(tick);
            finishMove(now, result);
            deliverReports(now);
            startMove(now, result);
            result.skews.push_back(skewOf(tick));
        }
        return result;
    }

private:
    void finishMove(core::TimePoint now, RunResult &result)
    {
        if (!m_move || now < m_loadCompletesAt) {
            return;
        }
        m_map = m_move->next;
        m_move.reset();
        m_policy.moveEnded();
        ++result.switches;
        // The step at whose boundary the group switches is delayed: it waits for the decision to switch.
        ++result.delayedSteps;
    }

    void deliverReports(core::TimePoint now)
    {
        const auto &reports = m_workload.reports();
        while (m_nextReport < reports.size() && reports[m_nextReport].arrival <= now) {
            m_policy.observe(reports[m_nextReport].counts);
            ++m_nextReport;
        }
    }

    void startMove(core::TimePoint now, RunResult &result)
    {
        if (m_move) {
            return;
        }
        const auto planStart = std::chrono::steady_clock::now();
        auto plan = m_policy.plan(m_map, m_ranks, now);
        result.planTime += std::chrono::steady_clock::now() - planStart;
        ++result.plans;
        if (!std::holds_alternative<decisions::experts::Move>(plan)) {
            return;
        }
        m_move = std::get<decisions::experts::Move>(std::move(plan));
        m_policy.moveStarted(m_move->bytes, now);
        result.bytesMoved += m_move->bytes;
        const double seconds = static_cast<double>(m_move->bytes)
            / static_cast<double>(m_workload.parameters().weightStore.bytesPerSecond);
        m_loadCompletesAt = now + std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
    }

    double skewOf(std::size_t tick) const
    {
        decisions::experts::StepLoad step;
        for (std::size_t layer = 0; layer < m_workload.parameters().shape.layers; ++layer) {
            const auto loads
                = decisions::experts::rankLoads(m_map, core::LayerIndex(layer), m_workload.tokensOf(tick, layer));
            decisions::experts::addLayer(step, loads, m_ranks.size());
        }
        return step.skew();
    }

    const Workload &m_workload;
    Policy m_policy;
    decisions::experts::ExpertMap m_map;
    std::vector<core::RankIndex> m_ranks;
    std::size_t m_nextReport = 0;
    std::optional<decisions::experts::Move> m_move;
    /// Time at which the move in progress has loaded its replicas.
    core::TimePoint m_loadCompletesAt;
};

template <PlacementPolicy Policy>
RunResult runPolicy(const Workload &workload, Policy policy)
{
    return Runner<Policy>(workload, std::move(policy)).run();
}

} // namespace lycheelanding::bench::experts
