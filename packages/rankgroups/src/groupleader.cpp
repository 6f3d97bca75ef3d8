#include "lycheelanding/rankgroups/groupleader.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::rankgroups {

namespace {

using namespace decisions::mapswitch;
using decisions::experts::ExpertMap;

/// No switch starts while the last status update of a rank is older than this.
constexpr std::chrono::milliseconds maxStatusAge{1500};
constexpr std::chrono::milliseconds planInterval{100};
/// The same while the demand is settled, since a plan takes 3 ms of CPU time.
constexpr std::chrono::milliseconds settledPlanInterval{400};

} // namespace

GroupLeader::GroupLeader(core::GroupId group, FencingToken fencingToken, const forwarding::ModelShape &shape,
                         const CommandLink &link)
    : m_group(std::move(group)), m_fencingToken(fencingToken), m_shape(shape), m_link(link)
{ }

bool GroupLeader::isGroupReady(core::TimePoint now) const
{
    if (m_members.empty()) {
        return false;
    }
    const auto &first = m_members.begin()->second.report;
    return m_members.size() == first.groupSize
        && std::all_of(m_members.begin(), m_members.end(), [&](const auto &item) {
               const auto &member = item.second;
               return member.report.isOpen && member.report.groupSize == first.groupSize
                   && member.report.state.generation == first.state.generation
                   && now - member.lastContact < maxStatusAge;
           });
}

LeaderActions GroupLeader::statusReceived(const std::string &ip, const RankStatus &status, core::TimePoint now)
{
    LeaderActions actions;
    const auto rank = status.report.rank;
    const bool isMember = status.report.group == m_group && rank.number() < status.report.groupSize;
    removeOtherRanks(ip, isMember ? std::optional(rank) : std::nullopt);
    if (!isMember) {
        return actions;
    }
    Member &member = m_members[rank];
    const bool isUnchanged = member.ip == ip && member.report.state.generation == status.report.state.generation;
    member.ip = ip;
    member.report = status.report;
    member.lastContact = now;
    if (!status.heldExperts.empty()) {
        member.heldExperts = status.heldExperts;
        member.heldGeneration = status.report.state.generation;
        member.heldMap = status.report.state.map;
    }
    if (m_switch && (!isUnchanged || !status.report.isOpen)) {
        // Engines lose their maps, armed steps and holds when the group forms again.
        endSwitch();
    }
    if (!m_switch) {
        createSwitchIfReady(now, actions);
        return actions;
    }
    appendActions(m_switch->stateRead(rank, status.report.state, now, status.report.installedFencingToken), actions);
    planIfDue(now, actions);
    return actions;
}

void GroupLeader::removeOtherRanks(const std::string &ip, std::optional<core::RankIndex> rank)
{
    const auto removed = std::erase_if(
        m_members, [&ip, &rank](const auto &item) { return item.second.ip == ip && item.first != rank; });
    if (removed > 0) {
        // A switch commands all ranks that its group had when it began.
        endSwitch();
    }
}

void GroupLeader::endSwitch()
{
    m_switch.reset();
    m_planner.reset();
}

LeaderActions GroupLeader::countsReported(const std::string &ip, const CountsReport &report, core::TimePoint now)
{
    LeaderActions actions;
    if (!m_planner || report.generation != m_members.begin()->second.report.state.generation) {
        return actions;
    }
    const bool wasProvisional = m_planner->isDemandProvisional();
    m_planner->countsReported(ip, report, now);
    if (!wasProvisional && m_planner->isDemandProvisional()) {
        actions.emplace_back(MapSwitchEvent{"demandShifted", m_switch->map(), 0, 0.0, 0.0});
    }
    planIfDue(now, actions);
    return actions;
}

void GroupLeader::createSwitchIfReady(core::TimePoint now, LeaderActions &actions)
{
    if (!isGroupReady(now)) {
        return;
    }
    std::vector<RankState> states;
    for (const auto &[rank, member] : m_members) {
        states.push_back(member.report.state);
    }
    m_planner.emplace(m_shape, states.size());
    m_switch = std::make_unique<GroupSwitch>(m_fencingToken, states, m_link);
    appendActions(m_switch->start(now), actions);
}

std::optional<ExpertMap> GroupLeader::currentMap() const
{
    const auto version = m_switch->map();
    if (const auto *known = m_switch->findMap(version)) {
        return *known;
    }
    ExpertMap map(m_planner->shape(), version);
    for (const auto &[rank, member] : m_members) {
        const auto &state = member.report.state;
        const bool isOfCurrentMap
            = state.map == version && member.heldMap == version && member.heldGeneration == state.generation;
        if (member.heldExperts.size() != m_shape.layers || !isOfCurrentMap) {
            return std::nullopt;
        }
        for (std::size_t layer = 0; layer < member.heldExperts.size(); ++layer) {
            for (const auto expert : member.heldExperts[layer]) {
                if (expert < m_shape.experts) {
                    map.addReplica(core::LayerIndex(layer), core::ExpertIndex(expert), rank);
                }
            }
        }
    }
    return map.isComplete() ? std::optional(map) : std::nullopt;
}

void GroupLeader::planIfDue(core::TimePoint now, LeaderActions &actions)
{
    const auto interval = m_planner->isDemandSettled() ? settledPlanInterval : planInterval;
    if (now - m_lastPlan < interval || !m_switch->isIdle() || !isGroupReady(now)) {
        return;
    }
    m_lastPlan = now;
    const auto current = currentMap();
    if (!current) {
        return;
    }
    const auto move = m_planner->plan(*current, now);
    if (!move) {
        return;
    }
    m_planner->switchStarted(*move, now);
    actions.emplace_back(
        MapSwitchEvent{"mapSwitchBegun", current->version(), move->loads.size(), move->skewBefore, move->skewAfter});
    appendActions(m_switch->switchTo(move->next, *current, now), actions);
}

LeaderActions GroupLeader::answered(const std::string &ip, std::uint64_t number, CommandAnswer answer,
                                    core::TimePoint now)
{
    LeaderActions actions;
    const auto found
        = std::find_if(m_members.begin(), m_members.end(), [&ip](const auto &item) { return item.second.ip == ip; });
    if (m_switch && found != m_members.end()) {
        appendActions(m_switch->answered(found->first, number, answer, now), actions);
    }
    return actions;
}

LeaderActions GroupLeader::tick(core::TimePoint now)
{
    LeaderActions actions;
    if (m_switch) {
        appendActions(m_switch->tick(now), actions);
    }
    return actions;
}

void GroupLeader::appendActions(const GroupSwitchActions &switchActions, LeaderActions &actions)
{
    for (const auto &action : switchActions) {
        if (const auto *command = std::get_if<CommandRank>(&action)) {
            actions.emplace_back(CommandEngine{m_members.at(command->rank).ip, command->number, command->command});
        } else if (const auto *finished = std::get_if<GroupSwitchFinished>(&action)) {
            m_planner->switchEnded();
            actions.emplace_back(MapSwitchEvent{finished->hasSucceeded ? "mapSwitched" : "mapSwitchWithdrawn",
                                                finished->map, 0, 0.0, 0.0});
        } else {
            actions.emplace_back(LeaderFenced{});
        }
    }
}

} // namespace lycheelanding::rankgroups
