#pragma once

#include "lycheelanding/rankgroups/rankreport.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

namespace lycheelanding::rankgroups {

/// Fake engines of one group that follow the rules of the engine interface: a step starts on all ranks together unless
/// one of them holds it, and a rank activates its armed map when the armed step starts.
class FakeRankGroup
{
public:
    using CommandAnswer = decisions::mapswitch::CommandAnswer;
    using CommandKind = decisions::mapswitch::CommandKind;
    using RankState = decisions::mapswitch::RankState;

    /// `copySteps` is the number of steps that a rank takes to copy the experts of a map.
    FakeRankGroup(std::size_t size, bool checksFencingTokens, int copySteps = 3)
        : m_ranks(size), m_checksFencingTokens(checksFencingTokens), m_copySteps(copySteps)
    {
        form();
    }

    /// Forms the group again under a new generation: map 0, nothing prepared, armed or held.
    void form()
    {
        ++m_generation;
        for (auto &rank : m_ranks) {
            rank = Rank();
        }
    }

    /// Starts the next step unless it is held. Returns false if the step starts while two ranks have different maps.
    bool step()
    {
        const core::StepNumber next(m_step + 1);
        const bool isHeld
            = std::any_of(m_ranks.begin(), m_ranks.end(), [next](const Rank &rank) { return rank.held == next; });
        if (isHeld) {
            return true;
        }
        ++m_step;
        for (auto &rank : m_ranks) {
            if (rank.armed && rank.armed->step == next) {
                rank.map = rank.armed->map;
                rank.armed.reset();
            }
            if (rank.remainingCopySteps > 0 && --rank.remainingCopySteps == 0) {
                rank.prepared = rank.latestPrepare;
            }
        }
        return std::all_of(m_ranks.begin(), m_ranks.end(),
                           [this](const Rank &rank) { return rank.map == m_ranks.front().map; });
    }

    CommandAnswer execute(std::size_t index, const EngineCommandRequest &request)
    {
        Rank &rank = m_ranks[index];
        const auto &command = request.command;
        if (m_checksFencingTokens && request.fencingToken.number() < rank.fencingToken) {
            return CommandAnswer::Fenced;
        }
        if (command.generation.number() != m_generation) {
            return CommandAnswer::Conflict;
        }
        rank.fencingToken = std::max(rank.fencingToken, request.fencingToken.number());
        switch (command.kind) {
        case CommandKind::Prepare:
            return prepare(rank, command.map);
        case CommandKind::Hold:
            return hold(rank, command.step);
        case CommandKind::Arm:
            return arm(rank, command.map, command.step);
        case CommandKind::Disarm:
            if (rank.map == command.map) {
                return CommandAnswer::Conflict;
            }
            if (rank.armed && rank.armed->map == command.map) {
                rank.armed.reset();
            }
            return CommandAnswer::Done;
        case CommandKind::Go:
            if (rank.held == command.step) {
                rank.held.reset();
            }
            return CommandAnswer::Done;
        }
        return CommandAnswer::Conflict;
    }

    RankState state(std::size_t index) const
    {
        const Rank &rank = m_ranks[index];
        return {
            core::Generation(m_generation), core::StepNumber(m_step), rank.map, rank.prepared, rank.armed, rank.held};
    }

    /// The highest fencing token that the rank's engine has received in this generation.
    std::uint64_t installedFencingToken(std::size_t index) const { return m_ranks[index].fencingToken; }
    std::size_t size() const { return m_ranks.size(); }
    std::uint64_t currentStep() const { return m_step; }

private:
    struct Rank
    {
        core::MapVersion map;
        core::MapVersion latestPrepare;
        std::optional<core::MapVersion> prepared;
        std::optional<decisions::mapswitch::MapActivation> armed;
        std::optional<core::StepNumber> held;
        int remainingCopySteps = 0;
        std::uint64_t fencingToken = 0;
    };

    CommandAnswer prepare(Rank &rank, core::MapVersion map) const
    {
        if (map == rank.latestPrepare && !rank.armed) {
            return CommandAnswer::Done;
        }
        if (map < rank.latestPrepare || rank.armed) {
            return CommandAnswer::Conflict;
        }
        rank.latestPrepare = map;
        rank.prepared.reset();
        rank.remainingCopySteps = m_copySteps;
        return CommandAnswer::Done;
    }

    CommandAnswer hold(Rank &rank, core::StepNumber step) const
    {
        if (rank.held == step) {
            return CommandAnswer::Done;
        }
        if (rank.held || step.number() <= m_step) {
            return CommandAnswer::Conflict;
        }
        rank.held = step;
        return CommandAnswer::Done;
    }

    CommandAnswer arm(Rank &rank, core::MapVersion map, core::StepNumber step) const
    {
        if (rank.armed && rank.armed->map == map && rank.armed->step == step) {
            return CommandAnswer::Done;
        }
        if (rank.prepared != map || step.number() <= m_step) {
            return CommandAnswer::Conflict;
        }
        rank.armed = {map, step};
        return CommandAnswer::Done;
    }

    std::vector<Rank> m_ranks;
    const bool m_checksFencingTokens;
    const int m_copySteps;
    std::uint64_t m_generation = 0;
    std::uint64_t m_step = 10;
};

} // namespace lycheelanding::rankgroups
