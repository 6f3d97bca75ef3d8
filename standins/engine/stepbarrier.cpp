#include "engine/stepbarrier.h"

#include <algorithm>

namespace lycheelanding::standins::engine {

namespace {

constexpr std::size_t maxRecordedSwitches = 10'000;

} // namespace

StepBarrier::StepBarrier(Rank groupSize, Generation generation, Incarnation incarnation)
    : m_groupSize(groupSize), m_incarnation(incarnation), m_generation(generation)
{ }

ArrivalOutcome StepBarrier::arrive(const BarrierArrival &arrival)
{
    if (!matchesGroup(arrival)) {
        return ArrivalOutcome::Refused;
    }
    if (arrival.step && *arrival.step == m_lastStep) {
        return ArrivalOutcome::AlreadyDone;
    }
    if (arrival.step && *arrival.step != step()) {
        return ArrivalOutcome::Refused;
    }
    for (const Rank rank : arrival.ranks) {
        m_memberIncarnations[rank] = arrival.incarnation;
        m_arrivedMapVersions[rank] = arrival.mapVersion;
    }
    return ArrivalOutcome::Waiting;
}

bool StepBarrier::matchesGroup(const BarrierArrival &arrival) const
{
    if (arrival.generation != m_generation || arrival.rankZeroIncarnation.value_or(m_incarnation) != m_incarnation) {
        return false;
    }
    return std::all_of(arrival.ranks.begin(), arrival.ranks.end(), [&](Rank rank) {
        const auto member = m_memberIncarnations.find(rank);
        return rank < m_groupSize && (member == m_memberIncarnations.end() || member->second == arrival.incarnation);
    });
}

void StepBarrier::completeStep(std::chrono::steady_clock::time_point now)
{
    ++m_lastStep;
    recordMapVersions();
    m_arrivedMapVersions.clear();
    if (m_lastStepTime) {
        m_maxStepDuration = std::max(m_maxStepDuration, now - *m_lastStepTime);
    }
    m_lastStepTime = now;
}

void StepBarrier::recordMapVersions()
{
    const MapVersion first = m_arrivedMapVersions.begin()->second;
    const bool isMixed = std::any_of(m_arrivedMapVersions.begin(), m_arrivedMapVersions.end(),
                                     [first](const auto &arrived) { return arrived.second != first; });
    if (isMixed) {
        ++m_mixedSteps;
    }
    const bool isNew = m_switches.empty() || m_switches.back().mapVersion != first;
    if (isNew && m_switches.size() < maxRecordedSwitches) {
        m_switches.push_back({m_lastStep, first});
    }
}

void StepBarrier::startGeneration(Generation generation, Step firstStep)
{
    m_lastStep = firstStep - 1;
    m_generation = generation;
    m_memberIncarnations.clear();
    m_arrivedMapVersions.clear();
}

std::vector<Rank> StepBarrier::absentRanks() const
{
    std::vector<Rank> absent;
    for (Rank rank = 0; rank < m_groupSize; ++rank) {
        if (!m_arrivedMapVersions.contains(rank)) {
            absent.push_back(rank);
        }
    }
    return absent;
}

Json StepBarrier::report() const
{
    Json switches = Json::array();
    for (const auto &entry : m_switches) {
        switches.push_back({{"step", entry.step}, {"mapVersion", entry.mapVersion}});
    }
    const auto maxStepDuration = std::chrono::duration_cast<std::chrono::milliseconds>(m_maxStepDuration).count();
    return {{"lastStep", m_lastStep},           {"mixedSteps", m_mixedSteps}, {"switches", switches},
            {"longestStepMs", maxStepDuration}, {"generation", m_generation}, {"absentRanks", absentRanks()}};
}

} // namespace lycheelanding::standins::engine
