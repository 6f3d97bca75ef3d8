#pragma once

#include "engine/enginesettings.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lycheelanding::standins::engine {

/// One engine's ranks ready to begin a step.
struct BarrierArrival
{
    /// Nothing for an engine that joins the group: it takes the group's step.
    std::optional<Step> step;
    Generation generation = 0;
    Incarnation incarnation = 0;
    /// The incarnation of rank 0's engine that the arriving engine has stepped with in this generation.
    std::optional<Incarnation> rankZeroIncarnation;
    std::vector<Rank> ranks;
    MapVersion mapVersion = 0;
};

enum class ArrivalOutcome : std::uint8_t {
    Waiting,
    /// The step is over; its answer was lost.
    AlreadyDone,
    /// Another generation, another life of an engine, or another step: the group has to be re-formed.
    Refused,
};

/// The point at which all ranks of a group meet before each step, and the oracle of the maps that they use.
class StepBarrier
{
public:
    StepBarrier(Rank groupSize, Generation generation, Incarnation incarnation);

    ArrivalOutcome arrive(const BarrierArrival &arrival);
    /// Ends the step at which all ranks have arrived.
    void completeStep(std::chrono::steady_clock::time_point now);
    /// Forgets all members and arrivals.
    /// Begins a generation whose first step is `firstStep`.
    void startGeneration(Generation generation, Step firstStep);

    bool isComplete() const { return m_arrivedMapVersions.size() == m_groupSize; }
    /// The step at which the ranks meet.
    Step step() const { return m_lastStep + 1; }
    std::vector<Rank> absentRanks() const;
    Json report() const;

private:
    struct MapVersionSwitch
    {
        Step step = 0;
        MapVersion mapVersion = 0;
    };

    bool matchesGroup(const BarrierArrival &arrival) const;
    void recordMapVersions();

    const Rank m_groupSize;
    const Incarnation m_incarnation;
    Generation m_generation;
    Step m_lastStep = 0;
    /// Life of the engine that holds each rank in this generation.
    std::map<Rank, Incarnation> m_memberIncarnations;
    std::map<Rank, MapVersion> m_arrivedMapVersions;
    std::uint64_t m_mixedSteps = 0;
    std::vector<MapVersionSwitch> m_switches;
    std::optional<std::chrono::steady_clock::time_point> m_lastStepTime;
    std::chrono::steady_clock::duration m_longestStep{0};
};

} // namespace lycheelanding::standins::engine
