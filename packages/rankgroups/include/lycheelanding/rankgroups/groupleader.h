#pragma once

#include "lycheelanding/rankgroups/groupplanner.h"
#include "lycheelanding/rankgroups/groupswitch.h"
#include "lycheelanding/rankgroups/rankdatagrams.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lycheelanding::rankgroups {

/// Send a command to the engine at an IP address; its result goes to GroupLeader::answered().
struct CommandEngine
{
    std::string ip;
    std::uint64_t number = 0;
    EngineCommandRequest command;
};
/// An event of a map switch, or a shift of the demand, to write to the log.
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

/// Logic of a group's leader: plans expert maps from the status updates of the ranks and switches the group to them.
/// Learns the ranks from their status updates, and starts no switch while the last update of a rank is too old.
class GroupLeader
{
public:
    GroupLeader(core::GroupId group, decisions::mapswitch::FencingToken fencingToken,
                const forwarding::ModelShape &shape, const CommandLink &link);

    LeaderActions statusReceived(const std::string &ip, const RankStatus &status, core::TimePoint now);
    /// Choices of the requests of one or more ranks.
    LeaderActions countsReported(const std::string &ip, const CountsReport &report, core::TimePoint now);
    LeaderActions answered(const std::string &ip, std::uint64_t number, decisions::mapswitch::CommandAnswer answer,
                           core::TimePoint now);
    LeaderActions tick(core::TimePoint now);

    /// Whether the leader has a recent status of every rank, all in one generation and with the group open.
    bool isGroupReady(core::TimePoint now) const;
    /// While a map switch is in progress, the ranks' states are needed at short intervals.
    bool isSwitching() const { return m_switch && !m_switch->isIdle(); }
    const core::GroupId &group() const { return m_group; }
    /// Number of counts of a rank.
    std::size_t countsPerRank() const { return m_shape.layers * m_shape.experts; }

private:
    struct Member
    {
        std::string ip;
        RankReport report;
        HeldExperts heldExperts;
        /// Generation and map to which `heldExperts` belong.
        core::Generation heldGeneration;
        core::MapVersion heldMap;
        core::TimePoint lastContact;
    };

    /// Removes the members with this IP number but `rank`.
    void removeOtherRanks(const std::string &ip, std::optional<core::RankIndex> rank);
    void endSwitch();
    void createSwitchIfReady(core::TimePoint now, LeaderActions &actions);
    std::optional<decisions::experts::ExpertMap> currentMap() const;
    void planIfDue(core::TimePoint now, LeaderActions &actions);
    void appendActions(const GroupSwitchActions &switchActions, LeaderActions &actions);

    const core::GroupId m_group;
    const decisions::mapswitch::FencingToken m_fencingToken;
    const forwarding::ModelShape m_shape;
    const CommandLink m_link;
    /// By rank.
    std::map<core::RankIndex, Member> m_members;
    std::optional<GroupPlanner> m_planner;
    std::unique_ptr<GroupSwitch> m_switch;
    core::TimePoint m_lastPlan;
};

} // namespace lycheelanding::rankgroups
