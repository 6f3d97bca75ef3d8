#pragma once

#include "lycheelanding/rankgroups/groupplanner.h"
#include "lycheelanding/rankgroups/groupswitch.h"
#include "lycheelanding/rankgroups/rankdatagrams.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lycheelanding::rankgroups {

/// Give a command to the engine at an IP number; answered by answered().
struct CommandEngine
{
    std::string ip;
    std::uint64_t number = 0;
    EngineCommandRequest command;
};
/// A line for the log.
struct MapSwitchEvent
{
    std::string event;
    core::MapVersion map;
    std::size_t loads = 0;
    double skewBefore = 0.0;
    double skewAfter = 0.0;
};
using LeaderAction = std::variant<CommandEngine, MapSwitchEvent, LeaderFenced>;
using LeaderActions = std::vector<LeaderAction>;

/// What the leader of a group does with the news of its ranks: plans maps and switches to them. Ranks are found by the
/// news themselves; while one of a group has not been heard of for some time, nothing is begun.
class GroupLeader
{
public:
    GroupLeader(core::GroupId group, decisions::mapswitch::FencingToken fencingToken,
                const forwarding::ModelShape &shape);

    LeaderActions statusReceived(const std::string &ip, const RankStatus &status, core::TimePoint now);
    LeaderActions answered(const std::string &ip, std::uint64_t number, decisions::mapswitch::CommandAnswer answer,
                           core::TimePoint now);
    LeaderActions tick(core::TimePoint now);

    /// Whether all ranks of the group have been heard of lately and step together.
    bool isGroupReady(core::TimePoint now) const;
    /// While true, the ranks' states are wanted at short intervals.
    bool isSwitching() const { return m_switch && !m_switch->isIdle(); }
    const core::GroupId &group() const { return m_group; }

private:
    struct Member
    {
        std::string ip;
        RankReport report;
        HeldExperts heldExperts;
        core::TimePoint lastContact;
    };

    void createSwitchIfReady(core::TimePoint now, LeaderActions &actions);
    std::optional<decisions::experts::ExpertMap> currentMap() const;
    void planIfDue(core::TimePoint now, LeaderActions &actions);
    void appendActions(const GroupSwitchActions &switchActions, LeaderActions &actions);

    const core::GroupId m_group;
    const decisions::mapswitch::FencingToken m_fencingToken;
    const forwarding::ModelShape m_shape;
    /// By rank.
    std::map<core::RankIndex, Member> m_members;
    std::optional<GroupPlanner> m_planner;
    std::unique_ptr<GroupSwitch> m_switch;
    core::TimePoint m_lastPlan;
};

} // namespace lycheelanding::rankgroups
