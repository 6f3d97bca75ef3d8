#pragma once

#include "lycheelanding/decisions/experts/expertmap.h"
#include "lycheelanding/decisions/mapswitch/rankcommands.h"
#include "lycheelanding/decisions/mapswitch/rankgate.h"
#include "lycheelanding/decisions/mapswitch/switchcoordinator.h"
#include "lycheelanding/rankgroups/rankreport.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace lycheelanding::rankgroups {

/// Give a command to the engine of a rank; answered by answered().
struct CommandRank
{
    core::RankIndex rank;
    std::uint64_t number = 0;
    EngineCommandRequest command;
};
struct GroupSwitchFinished
{
    core::MapVersion map;
    bool hasSucceeded = false;
};
/// Another leader has taken over.
struct LeaderFenced
{ };
using GroupSwitchAction = std::variant<CommandRank, GroupSwitchFinished, LeaderFenced>;
using GroupSwitchActions = std::vector<GroupSwitchAction>;

/// The map switches of one group in one generation, led by this process: one coordinator, and for each rank a gate and
/// the commands to its engine. A new leader makes a new one from what the engines report.
class GroupSwitch
{
public:
    GroupSwitch(decisions::mapswitch::FencingToken fencingToken,
                const std::vector<decisions::mapswitch::RankState> &ranks);

    /// Shows every engine the leader's fencing number; a rank's session is opened with a state that was read after
    /// that, so that the coordinator finds out what an earlier leader has left and nothing of it comes later.
    GroupSwitchActions start(core::TimePoint now);
    /// Begins a switch to the map, which gets a version of its own; does nothing unless isIdle().
    GroupSwitchActions switchTo(decisions::experts::ExpertMap map, core::TimePoint now);
    GroupSwitchActions answered(core::RankIndex rank, std::uint64_t number, decisions::mapswitch::CommandAnswer answer,
                                core::TimePoint now);
    /// A rank's engine was read. Answers to commands that were given before are in the state. With a
    /// `installedFencingToken` of this leader or a later one the state is known to have been read after start().
    GroupSwitchActions stateRead(core::RankIndex rank, const decisions::mapswitch::RankState &state,
                                 core::TimePoint now, decisions::mapswitch::FencingToken installedFencingToken = {});
    GroupSwitchActions tick(core::TimePoint now);

    bool isIdle() const;
    core::MapVersion map() const { return m_coordinator.map(); }
    /// The content of a version that this leader has made.
    const decisions::experts::ExpertMap *findMap(core::MapVersion version) const;

private:
    struct Rank
    {
        decisions::mapswitch::RankGate gate;
        decisions::mapswitch::RankCommands commands;
        decisions::mapswitch::RankState state;
        /// 0 until it is opened.
        std::uint64_t session = 0;
        std::optional<core::TimePoint> fencingTokenInstalledAt = std::nullopt;
    };

    void openSession(std::size_t rank, core::TimePoint now, GroupSwitchActions &actions);
    void execute(const decisions::mapswitch::CoordinatorActions &coordinatorActions, core::TimePoint now,
                 GroupSwitchActions &actions);
    void execute(std::size_t rank, const decisions::mapswitch::GateActions &gateActions, core::TimePoint now,
                 GroupSwitchActions &actions);
    void execute(std::size_t rank, const decisions::mapswitch::RankCommandActions &commandActions, core::TimePoint now,
                 GroupSwitchActions &actions);
    EngineCommandRequest requestFor(const decisions::mapswitch::EngineCommand &command) const;
    bool needsNewSession(const Rank &rank) const;
    void recordLostCommands(core::TimePoint now);

    const decisions::mapswitch::FencingToken m_fencingToken;
    core::Generation m_generation;
    std::vector<Rank> m_ranks;
    /// The newest step that any rank has told of.
    core::StepNumber m_latestStep;
    decisions::mapswitch::SwitchCoordinator m_coordinator;
    std::uint64_t m_lastSession = 0;
    std::uint64_t m_lostCommands = 0;
    std::optional<core::TimePoint> m_lastCommandLoss;
    std::uint64_t m_mapsCreated = 0;
    std::map<core::MapVersion, decisions::experts::ExpertMap> m_maps;
};

/// The experts of a map by layer and rank.
std::vector<std::vector<std::vector<std::uint32_t>>> expertsByLayerAndRank(const decisions::experts::ExpertMap &map);

} // namespace lycheelanding::rankgroups
