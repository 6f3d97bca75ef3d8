#include "fakecluster.h"

#include <algorithm>

namespace lycheelanding::bench::routing {

namespace {

constexpr core::Duration refusalDelay = std::chrono::milliseconds(1);
// A failing engine accepts a request and fails it in its first step.
constexpr core::Duration failureDelay = std::chrono::milliseconds(20);
constexpr std::size_t dataCentreCount = 3;

} // namespace

FakeCluster::FakeCluster(EventQueue &queue, ClusterListener listener)
    : m_queue(queue), m_listener(std::move(listener)),
      m_groups(SimulationParameters::groups,
               FakeEngineGroup(EngineModel(), SimulationParameters::vmsPerGroup * SimulationParameters::ranksPerVm)),
      m_vmFaults(SimulationParameters::vms)
{
    for (std::size_t vm = 0; vm < SimulationParameters::vms; ++vm) {
        m_vmIndices[vmIdOf(vm)] = vm;
    }
}

core::DataCentreId FakeCluster::dataCentreOf(std::size_t index)
{
    return core::DataCentreId("data-centre-" + std::to_string(index % dataCentreCount));
}

std::vector<decisions::routing::BackendCandidate> FakeCluster::candidates() const
{
    std::vector<decisions::routing::BackendCandidate> allCandidates;
    for (std::size_t vm = 0; vm < SimulationParameters::vms; ++vm) {
        decisions::routing::BackendCandidate candidate;
        candidate.vm = vmIdOf(vm);
        candidate.dataCentre = dataCentreOf(groupOf(vm));
        candidate.service = service();
        candidate.model = model();
        candidate.group = core::GroupId("group-" + std::to_string(groupOf(vm)));
        for (std::size_t rank = 0; rank < SimulationParameters::ranksPerVm; ++rank) {
            candidate.ranks.push_back(core::RankIndex(rankInGroup(vm, rank)));
        }
        allCandidates.push_back(std::move(candidate));
    }
    return allCandidates;
}

void FakeCluster::submit(const core::VmId &vm, core::RankIndex rank, EngineJob job)
{
    const std::size_t vmIndex = indexOf(vm);
    const std::size_t entry = job.entry;
    const auto attempt = job.attempt;
    if (m_vmFaults[vmIndex].isFailing) {
        m_queue.scheduleAfter(failureDelay, [this, entry, attempt] {
            m_listener.failed(entry, attempt, core::ErrorKind::BackendServerFailed, core::Ran::Unknown);
        });
        return;
    }
    if (m_vmFaults[vmIndex].isRefusing) {
        m_queue.scheduleAfter(refusalDelay, [this, entry, attempt] {
            m_listener.failed(entry, attempt, core::ErrorKind::Draining, core::Ran::No);
        });
        return;
    }
    const std::size_t group = groupOf(vmIndex);
    m_groups[group].submit(rank.number(), job);
    if (!m_groups[group].isStepping()) {
        startStep(group);
    }
}

void FakeCluster::cancel(const core::VmId &vm, core::RankIndex rank, std::size_t entry,
                         decisions::routing::AttemptId attempt)
{
    m_groups[groupOf(indexOf(vm))].cancel(rank.number(), entry, attempt);
}

void FakeCluster::setSlowdown(std::size_t vm, double factor)
{
    for (std::size_t rank = 0; rank < SimulationParameters::ranksPerVm; ++rank) {
        m_groups[groupOf(vm)].setSlowdown(rankInGroup(vm, rank), factor);
    }
}

void FakeCluster::stall(std::size_t vm, core::Duration duration)
{
    m_groups[groupOf(vm)].stall(rankInGroup(vm, 0), m_queue.now() + duration);
}

decisions::routing::LoadReport FakeCluster::reportOf(std::size_t vm) const
{
    decisions::routing::LoadReport report;
    report.measuredAt = m_queue.now();
    for (std::size_t rank = 0; rank < SimulationParameters::ranksPerVm; ++rank) {
        const std::size_t index = rankInGroup(vm, rank);
        const auto &group = m_groups[groupOf(vm)];
        report.ranks.push_back(
            {core::RankIndex(index), group.outstandingTokens(index), group.queued(index), group.running(index)});
    }
    return report;
}

double FakeCluster::imbalance() const
{
    double sum = 0.0;
    double maxTokens = 0.0;
    std::size_t ranks = 0;
    for (std::size_t vm = 0; vm < SimulationParameters::vms; ++vm) {
        if (m_vmFaults[vm].isFailing || m_vmFaults[vm].isRefusing) {
            continue;
        }
        for (const auto &load : reportOf(vm).ranks) {
            const auto tokens = static_cast<double>(load.outstandingTokens);
            sum += tokens;
            maxTokens = std::max(maxTokens, tokens);
            ++ranks;
        }
    }
    return sum == 0.0 ? 0.0 : maxTokens * static_cast<double>(ranks) / sum;
}

std::uint64_t FakeCluster::prefixLookups() const
{
    std::uint64_t sum = 0;
    for (const auto &group : m_groups) {
        sum += group.prefixLookups();
    }
    return sum;
}

std::uint64_t FakeCluster::prefixHits() const
{
    std::uint64_t sum = 0;
    for (const auto &group : m_groups) {
        sum += group.prefixHits();
    }
    return sum;
}

std::size_t FakeCluster::rankInGroup(std::size_t vm, std::size_t rank)
{
    return (vm % SimulationParameters::vmsPerGroup) * SimulationParameters::ranksPerVm + rank;
}

void FakeCluster::startStep(std::size_t group)
{
    const core::Duration duration = m_groups[group].beginStep(m_queue.now());
    m_queue.scheduleAfter(duration, [this, group] {
        for (const auto &event : m_groups[group].endStep()) {
            m_listener.progress(event);
        }
        if (m_groups[group].hasWork() && !m_groups[group].isStepping()) {
            startStep(group);
        }
    });
}

} // namespace lycheelanding::bench::routing
