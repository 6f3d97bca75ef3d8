#pragma once

#include "lycheelanding/decisions/experts/expertmap.h"
#include "lycheelanding/decisions/mapswitch/commandwindow.h"
#include "lycheelanding/decisions/mapswitch/rankcommands.h"
#include "lycheelanding/decisions/mapswitch/rankgate.h"
#include "lycheelanding/decisions/mapswitch/steppace.h"
#include "lycheelanding/decisions/mapswitch/switchcoordinator.h"
#include "lycheelanding/rankgroups/expertlists.h"
#include "lycheelanding/rankgroups/rankreport.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace lycheelanding::rankgroups {

/// Send a command to the engine of a rank; its result goes to GroupSwitch::answered().
struct CommandRank
{
    core::RankIndex rank;
    std::uint64_t number = 0;
    EngineCommandRequest command;
};
/// A map switch has ended.
struct GroupSwitchFinished
{
    core::MapVersion map;
    /// Whether the map is active on all ranks; otherwise the switch was withdrawn.
    bool hasSucceeded = false;
};
/// An engine refused a command because it has seen the higher fencing token of another leader.
struct LeaderFenced
{ };
using GroupSwitchAction = std::variant<CommandRank, GroupSwitchFinished, LeaderFenced>;
using GroupSwitchActions = std::vector<GroupSwitchAction>;

/// The sending direction of the leader's link.
struct CommandLink
{
    double bytesPerSecond = 1e6;
    /// How long other messages may wait for the leader's prepares, unless a single prepare takes longer.
    core::Duration maxDelay = std::chrono::milliseconds(10);

    core::Duration timeFor(std::size_t bytes) const;
    /// Bytes of prepares that may be unanswered at the same time.
    std::size_t windowBytes() const;
};

/// Performs the map switches of one group in one generation for the leader: one coordinator, and for each rank a gate
/// and the commands to its engine. A new leader creates a new GroupSwitch from the states that the engines report.
class GroupSwitch
{
public:
    GroupSwitch(decisions::mapswitch::FencingToken fencingToken,
                const std::vector<decisions::mapswitch::RankState> &ranks, const CommandLink &link = {});

    /// Installs the leader's fencing token at every engine. The session of a rank starts with a state that was read
    /// after the installation, so that the state includes everything an earlier leader has done and no later command of
    /// that leader can change it.
    GroupSwitchActions start(core::TimePoint now);
    /// Starts a switch from the active map to `map`, to which it assigns a new version; does nothing unless isIdle().
    GroupSwitchActions switchTo(decisions::experts::ExpertMap map, const decisions::experts::ExpertMap &active,
                                core::TimePoint now);
    GroupSwitchActions answered(core::RankIndex rank, std::uint64_t number, decisions::mapswitch::CommandAnswer answer,
                                core::TimePoint now);
    /// The state of a rank was read from its engine. It includes the effects of all commands that the engine answered
    /// before. An `installedFencingToken` of this leader or a later one proves that it was read after start().
    GroupSwitchActions stateRead(core::RankIndex rank, const decisions::mapswitch::RankState &state,
                                 core::TimePoint now, decisions::mapswitch::FencingToken installedFencingToken = {});
    GroupSwitchActions tick(core::TimePoint now);

    bool isIdle() const;
    core::MapVersion map() const { return m_coordinator.map(); }
    /// The map of a version that this leader created; null for others and for maps that are no longer stored.
    const decisions::experts::ExpertMap *findMap(core::MapVersion version) const;

private:
    /// A map with what every command that carries it needs.
    struct StoredMap
    {
        decisions::experts::ExpertMap map;
        std::shared_ptr<const ExpertLists> experts;
        /// Size of `experts` in a datagram.
        std::size_t packedBytes = 0;
        /// The difference from the map that was active before.
        std::shared_ptr<const MapChange> change;
    };

    struct Rank
    {
        decisions::mapswitch::RankGate gate;
        decisions::mapswitch::RankCommands commands;
        decisions::mapswitch::RankState state;
        /// When `state` was read.
        core::TimePoint readAt = {};
        /// 0 until the session is opened.
        std::uint64_t session = 0;
        std::optional<core::TimePoint> fencingTokenInstalledAt = std::nullopt;
        /// The side does not have the base of the change that is prepared.
        bool needsWholeMap = false;
    };

    void openSession(std::size_t rank, core::TimePoint now, GroupSwitchActions &actions);
    void execute(const decisions::mapswitch::CoordinatorActions &coordinatorActions, core::TimePoint now,
                 GroupSwitchActions &actions);
    void execute(std::size_t rank, const decisions::mapswitch::GateActions &gateActions, core::TimePoint now,
                 GroupSwitchActions &actions);
    void execute(std::size_t rank, const decisions::mapswitch::RankCommandActions &commandActions, core::TimePoint now,
                 GroupSwitchActions &actions);
    void sendWithinWindow(core::TimePoint now, GroupSwitchActions &actions);
    EngineCommandRequest requestFor(const Rank &rank, const decisions::mapswitch::EngineCommand &command) const;
    /// Size of a Prepare in a datagram.
    std::size_t prepareBytes(const Rank &rank, core::MapVersion map) const;
    bool needsNewSession(const Rank &rank) const;
    /// Chooses how far ahead the step of a switch lies.
    void updateStepsAhead(core::TimePoint now);
    void recordLostCommands(core::TimePoint now);

    const decisions::mapswitch::FencingToken m_fencingToken;
    const CommandLink m_link;
    core::Generation m_generation;
    std::vector<Rank> m_ranks;
    decisions::mapswitch::CommandWindow m_window;
    /// The latest step that any rank has reported.
    core::StepNumber m_latestStep;
    decisions::mapswitch::StepPace m_pace;
    decisions::mapswitch::SwitchCoordinator m_coordinator;
    std::uint64_t m_lastSession = 0;
    std::uint64_t m_lostCommands = 0;
    std::optional<core::TimePoint> m_lastCommandLoss;
    std::uint64_t m_mapsCreated = 0;
    std::map<core::MapVersion, StoredMap> m_maps;
};

/// Expert indices of a map by layer and rank.
ExpertLists expertsByLayerAndRank(const decisions::experts::ExpertMap &map);

} // namespace lycheelanding::rankgroups
