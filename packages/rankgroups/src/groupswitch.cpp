#include "lycheelanding/rankgroups/groupswitch.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::rankgroups {

namespace {

using namespace decisions::mapswitch;

/// Maps that one leader may make; versions of a later leader are higher because its fencing number is.
constexpr std::uint64_t versionsPerLeader = 1024;
/// Age that the news of a rank may have: engines report to other VMs with a lag of some hundred milliseconds.
constexpr std::chrono::milliseconds reportLag{400};
/// Maps whose content is remembered: the one in force, the next one and some that were withdrawn.
constexpr std::size_t mostContents = 6;

/// Engines answer an order within a part of a step.
constexpr std::uint64_t usualStepsAhead = 2;
/// The same while half of the orders go unanswered: hold, arm and go of the last of some ranks then need about ten
/// repetitions, half a second, in which the group would stand still. Passes take about a tenth of one.
constexpr std::uint64_t carefulStepsAhead = 6;
/// How long after an unanswered order others are expected.
constexpr std::chrono::seconds carefulTime{5};

SwitchSettings switchSettings()
{
    SwitchSettings settings;
    // Copies of a few experts take about a second.
    settings.stageTimeout = std::chrono::seconds(15);
    // While a rank cannot be held the others may stand still at the step.
    settings.armTimeout = std::chrono::milliseconds(800);
    settings.idleQueryInterval = std::chrono::seconds(5);
    settings.stepsAhead = usualStepsAhead;
    return settings;
}

core::MapVersion newestOf(const RankState &state)
{
    auto newest = std::max(state.map, state.prepared.value_or(core::MapVersion()));
    return state.armed ? std::max(newest, state.armed->map) : newest;
}

} // namespace

std::vector<std::vector<std::vector<std::uint32_t>>> expertsByLayerAndRank(const decisions::experts::ExpertMap &map)
{
    const auto &shape = map.shape();
    std::vector<std::vector<std::vector<std::uint32_t>>> result(shape.layers);
    for (std::size_t layer = 0; layer < shape.layers; ++layer) {
        result[layer].resize(shape.ranks);
        for (std::size_t rank = 0; rank < shape.ranks; ++rank) {
            for (const auto expert : map.expertsOn(core::LayerIndex(layer), core::RankIndex(rank))) {
                result[layer][rank].push_back(static_cast<std::uint32_t>(expert.number()));
            }
        }
    }
    return result;
}

GroupSwitch::GroupSwitch(FencingToken fence, const std::vector<RankState> &ranks)
    : m_fence(fence), m_generation(ranks.front().generation),
      m_coordinator(switchSettings(), core::Incarnation(fence.number()), ranks.size(), core::MapVersion())
{
    for (std::size_t index = 0; index < ranks.size(); ++index) {
        m_ranks.push_back({RankGate(MemberIndex(index), engineStateOf(ranks[index])),
                           RankCommands(RankCommandSettings()), ranks[index], 0});
    }
}

GroupSwitchActions GroupSwitch::start(core::TimePoint now)
{
    GroupSwitchActions actions;
    for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
        carryOut(rank, m_ranks[rank].commands.installFencingToken(m_generation, now), now, actions);
    }
    return actions;
}

void GroupSwitch::openSession(std::size_t rank, core::TimePoint now, GroupSwitchActions &actions)
{
    Rank &member = m_ranks[rank];
    member.gate = RankGate(MemberIndex(rank), engineStateOf(member.state));
    member.session = ++m_lastSession;
    const SessionNumber session(member.session);
    // What the engine holds although it was armed was decided: only the end of the hold is missing.
    if (member.state.armed && member.state.held) {
        const OrderStamp stamp{m_generation, core::Incarnation(m_fence.number()), session, FencingToken()};
        carryOut(rank, member.commands.execute(ActivateMap{stamp, *member.state.armed}, now), now, actions);
    }
    carryOut(m_coordinator.sessionOpened(MemberIndex(rank), session, now), now, actions);
    carryOut(rank, member.gate.sessionOpened(session), now, actions);
}

GroupSwitchActions GroupSwitch::switchTo(decisions::experts::ExpertMap map, core::TimePoint now)
{
    GroupSwitchActions actions;
    if (!isIdle()) {
        return actions;
    }
    core::MapVersion version(m_fence.number() * versionsPerLeader + ++m_madeMaps);
    for (const auto &rank : m_ranks) {
        version = std::max(version, newestOf(rank.state).next());
    }
    map.setVersion(version);
    m_contents.insert_or_assign(version, std::move(map));
    while (m_contents.size() > mostContents) {
        m_contents.erase(m_contents.begin());
    }
    const bool isCareful = m_lastLoss && now - *m_lastLoss < carefulTime;
    m_coordinator.setStepsAhead(isCareful ? carefulStepsAhead : usualStepsAhead);
    carryOut(m_coordinator.switchTo(version, now), now, actions);
    return actions;
}

GroupSwitchActions GroupSwitch::answered(core::RankIndex rank, std::uint64_t number, CommandAnswer answer,
                                         core::TimePoint now)
{
    GroupSwitchActions actions;
    const auto index = rank.number();
    if (index < m_ranks.size()) {
        carryOut(index, m_ranks[index].commands.answered(number, answer, now), now, actions);
    }
    return actions;
}

bool GroupSwitch::needsNewSession(const Rank &rank) const
{
    // A hold that nobody has ordered in this session: a late order of an earlier leader, or of an earlier session.
    const bool isQuiet = m_coordinator.phase() == SwitchPhase::Idle && rank.commands.isIdle();
    return isQuiet && rank.state.held && *rank.state.held > rank.state.step && !rank.gate.engine().heldAt;
}

GroupSwitchActions GroupSwitch::stateRead(core::RankIndex rank, const RankState &state, core::TimePoint now,
                                          FencingToken shownFence)
{
    GroupSwitchActions actions;
    const auto index = rank.number();
    if (index >= m_ranks.size()) {
        return actions;
    }
    Rank &member = m_ranks[index];
    member.state = state;
    if (member.session == 0) {
        const bool isReadAfterwards = member.fencedAt && (shownFence >= m_fence || now - *member.fencedAt >= reportLag);
        if (isReadAfterwards) {
            openSession(index, now, actions);
        }
        return actions;
    }
    // The ranks of a group begin a step together, so the newest word counts for all.
    m_step = std::max(m_step, state.step);
    for (std::size_t each = 0; each < m_ranks.size(); ++each) {
        if (m_ranks[each].session != 0) {
            carryOut(each, m_ranks[each].gate.engineStepped(m_step.next()), now, actions);
        }
    }
    carryOut(index, member.commands.stateRead(state, now), now, actions);
    if (needsNewSession(member)) {
        openSession(index, now, actions);
    }
    return actions;
}

GroupSwitchActions GroupSwitch::tick(core::TimePoint now)
{
    GroupSwitchActions actions;
    carryOut(m_coordinator.tick(now), now, actions);
    for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
        carryOut(rank, m_ranks[rank].commands.tick(now), now, actions);
    }
    noteLostCommands(now);
    return actions;
}

void GroupSwitch::noteLostCommands(core::TimePoint now)
{
    std::uint64_t lost = 0;
    for (const auto &rank : m_ranks) {
        lost += rank.commands.lostCommands();
    }
    if (lost != std::exchange(m_lostCommands, lost)) {
        m_lastLoss = now;
    }
}

bool GroupSwitch::isIdle() const
{
    // Engines take no further map while they are armed.
    return m_coordinator.phase() == SwitchPhase::Idle
        && std::all_of(m_ranks.begin(), m_ranks.end(), [this](const Rank &rank) {
               return rank.commands.isIdle() && !rank.state.armed && rank.state.map == m_coordinator.map();
           });
}

const decisions::experts::ExpertMap *GroupSwitch::content(core::MapVersion version) const
{
    const auto found = m_contents.find(version);
    return found == m_contents.end() ? nullptr : &found->second;
}

void GroupSwitch::carryOut(const CoordinatorActions &coordinatorActions, core::TimePoint now,
                           GroupSwitchActions &actions)
{
    for (const auto &action : coordinatorActions) {
        if (const auto *send = std::get_if<SendOrder>(&action)) {
            const auto rank = send->member.number();
            carryOut(rank, m_ranks[rank].gate.order(send->order), now, actions);
        } else if (const auto *finished = std::get_if<SwitchFinished>(&action)) {
            actions.emplace_back(SwitchOver{finished->map, finished->hasSucceeded});
        }
        // RequestGeneration: the platform forms groups itself, and a new generation brings a new GroupSwitch.
    }
}

void GroupSwitch::carryOut(std::size_t rank, const GateActions &gateActions, core::TimePoint now,
                           GroupSwitchActions &actions)
{
    for (const auto &action : gateActions) {
        if (const auto *report = std::get_if<SendReport>(&action)) {
            carryOut(m_coordinator.memberReported(report->report, now), now, actions);
            continue;
        }
        std::visit(
            [&](const auto &order) {
                if constexpr (!std::is_same_v<std::decay_t<decltype(order)>, SendReport>) {
                    carryOut(rank, m_ranks[rank].commands.execute(order, now), now, actions);
                }
            },
            action);
    }
}

void GroupSwitch::carryOut(std::size_t rank, const RankCommandActions &commandActions, core::TimePoint now,
                           GroupSwitchActions &actions)
{
    auto &gate = m_ranks[rank].gate;
    for (const auto &action : commandActions) {
        if (const auto *send = std::get_if<SendCommand>(&action)) {
            actions.emplace_back(CommandRank{core::RankIndex(rank), send->number, addressed(send->command)});
        } else if (const auto *staged = std::get_if<MapStaged>(&action)) {
            carryOut(rank, gate.engineStaged(staged->map), now, actions);
        } else if (const auto *failed = std::get_if<MapStageFailed>(&action)) {
            carryOut(rank, gate.engineStageFailed(failed->map), now, actions);
        } else if (const auto *held = std::get_if<StepHeld>(&action)) {
            carryOut(rank, gate.engineHeld(held->step), now, actions);
        } else if (const auto *refused = std::get_if<HoldRefused>(&action)) {
            carryOut(rank, gate.engineHoldRefused(refused->step), now, actions);
        } else if (std::holds_alternative<StateMismatch>(action)) {
            openSession(rank, now, actions);
        } else if (std::holds_alternative<FencingTokenInstalled>(action)) {
            m_ranks[rank].fencedAt = now;
        } else {
            actions.emplace_back(LeaderFenced{});
        }
    }
}

AddressedCommand GroupSwitch::addressed(const EngineCommand &command) const
{
    AddressedCommand result{command, m_fence, {}};
    if (command.kind == CommandKind::Prepare) {
        if (const auto *map = content(command.map)) {
            result.experts = expertsByLayerAndRank(*map);
        }
    }
    return result;
}

} // namespace lycheelanding::rankgroups
