#include "lycheelanding/rankgroups/groupswitch.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::rankgroups {

namespace {

using namespace decisions::mapswitch;

/// Map versions reserved for one leader. A later leader has a higher fencing token, so its versions are higher too.
constexpr std::uint64_t versionsPerLeader = 1024;
/// Upper bound of the age of a reported state: reports of engines reach other VMs some hundred milliseconds late.
constexpr std::chrono::milliseconds maxReportLag{400};
/// Number of maps to store: the active one, the next one and some that were withdrawn.
constexpr std::size_t maxStoredMaps = 6;

/// Distance in steps to the activation of a map while the pace of the group is unknown, and at most; engines answer a
/// command within a fraction of a step.
constexpr std::uint64_t normalStepsAhead = 2;
/// Time in which a hold reaches all ranks, and the age of the step that is read last.
constexpr std::chrono::milliseconds holdLeadTime{80};
/// The same while commands are lost. With half of them unanswered, hold, arm and go of the slowest rank need about ten
/// repetitions, which take half a second; with the normal distance the group would stall for that time. A forward pass
/// takes about a tenth of a second.
constexpr std::uint64_t stepsAheadAfterLoss = 6;
/// Time after an unanswered command during which further losses are expected.
constexpr std::chrono::seconds commandLossWindow{5};

/// Size of a command's datagram without the experts, with the headers of IP and UDP.
constexpr std::size_t otherDatagramBytes = 128;

SwitchSettings switchSettings()
{
    SwitchSettings settings;
    // Copying a few experts takes about a second.
    settings.stageTimeout = std::chrono::seconds(15);
    // While one rank cannot be held, the other ranks may stall at the held step.
    settings.armTimeout = std::chrono::milliseconds(800);
    settings.idleQueryInterval = std::chrono::seconds(5);
    settings.stepsAhead = normalStepsAhead;
    return settings;
}

core::MapVersion newestOf(const RankState &state)
{
    auto newest = std::max(state.map, state.prepared.value_or(core::MapVersion()));
    return state.armed ? std::max(newest, state.armed->map) : newest;
}

} // namespace

ExpertLists expertsByLayerAndRank(const decisions::experts::ExpertMap &map)
{
    const auto &shape = map.shape();
    ExpertLists result(shape.layers);
    for (std::size_t layer = 0; layer < shape.layers; ++layer) {
        result[layer].resize(shape.ranks);
        for (std::size_t expert = 0; expert < shape.experts; ++expert) {
            for (const auto rank : map.ranksOf(core::LayerIndex(layer), core::ExpertIndex(expert))) {
                result[layer][rank.number()].push_back(static_cast<std::uint32_t>(expert));
            }
        }
    }
    return result;
}

core::Duration CommandLink::timeFor(std::size_t bytes) const
{
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / bytesPerSecond));
}

std::size_t CommandLink::windowBytes() const
{
    return static_cast<std::size_t>(bytesPerSecond * std::chrono::duration<double>(maxDelay).count());
}

GroupSwitch::GroupSwitch(FencingToken fencingToken, const std::vector<RankState> &ranks, const CommandLink &link)
    : m_fencingToken(fencingToken), m_link(link), m_generation(ranks.front().generation), m_window(link.windowBytes()),
      m_coordinator(switchSettings(), core::Incarnation(fencingToken.number()), ranks.size(), core::MapVersion())
{
    for (std::size_t index = 0; index < ranks.size(); ++index) {
        m_ranks.push_back({RankGate(MemberIndex(index), engineStateOf(ranks[index])),
                           RankCommands(RankCommandSettings()),
                           ranks[index],
                           {},
                           0});
    }
}

GroupSwitchActions GroupSwitch::start(core::TimePoint now)
{
    GroupSwitchActions actions;
    for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
        execute(rank, m_ranks[rank].commands.installFencingToken(m_generation, now), now, actions);
    }
    return actions;
}

void GroupSwitch::openSession(std::size_t rank, core::TimePoint now, GroupSwitchActions &actions)
{
    Rank &member = m_ranks[rank];
    member.gate = RankGate(MemberIndex(rank), engineStateOf(member.state));
    member.session = ++m_lastSession;
    const SessionNumber session(member.session);
    // If an engine is both armed and held, its switch has been decided; only the command that ends the hold is missing.
    if (member.state.armed && member.state.held) {
        const OrderStamp stamp{m_generation, core::Incarnation(m_fencingToken.number()), session, FencingToken()};
        execute(rank, member.commands.execute(ActivateMap{stamp, *member.state.armed}, now), now, actions);
    }
    execute(m_coordinator.sessionOpened(MemberIndex(rank), session, now), now, actions);
    execute(rank, member.gate.sessionOpened(session), now, actions);
}

GroupSwitchActions GroupSwitch::switchTo(decisions::experts::ExpertMap map, const decisions::experts::ExpertMap &active,
                                         core::TimePoint now)
{
    GroupSwitchActions actions;
    if (!isIdle()) {
        return actions;
    }
    core::MapVersion version(m_fencingToken.number() * versionsPerLeader + ++m_mapsCreated);
    for (const auto &rank : m_ranks) {
        version = std::max(version, newestOf(rank.state).next());
    }
    map.setVersion(version);
    const auto experts = std::make_shared<const ExpertLists>(expertsByLayerAndRank(map));
    const auto packedBytes = packExperts(*experts).size();
    auto change = std::make_shared<const MapChange>(changeBetween(expertsByLayerAndRank(active), *experts));
    m_maps.insert_or_assign(version, StoredMap{std::move(map), experts, packedBytes, std::move(change)});
    for (auto &rank : m_ranks) {
        rank.needsWholeMap = false;
    }
    while (m_maps.size() > maxStoredMaps) {
        m_maps.erase(m_maps.begin());
    }
    updateStepsAhead(now);
    execute(m_coordinator.switchTo(version, now), now, actions);
    return actions;
}

GroupSwitchActions GroupSwitch::answered(core::RankIndex rank, std::uint64_t number, CommandAnswer answer,
                                         core::TimePoint now)
{
    GroupSwitchActions actions;
    updateStepsAhead(now);
    const auto index = rank.number();
    if (index < m_ranks.size()) {
        m_ranks[index].needsWholeMap = m_ranks[index].needsWholeMap || answer == CommandAnswer::MapUnknown;
        execute(index, m_ranks[index].commands.answered(number, answer, now), now, actions);
    }
    return actions;
}

bool GroupSwitch::needsNewSession(const Rank &rank) const
{
    // A hold that was not commanded in this session comes from a late command of an earlier leader or session.
    const bool isRankIdle = m_coordinator.phase() == SwitchPhase::Idle && rank.commands.isIdle();
    return isRankIdle && rank.state.held && *rank.state.held > rank.state.step && !rank.gate.engine().heldAt;
}

GroupSwitchActions GroupSwitch::stateRead(core::RankIndex rank, const RankState &state, core::TimePoint now,
                                          FencingToken installedFencingToken)
{
    GroupSwitchActions actions;
    const auto index = rank.number();
    if (index >= m_ranks.size()) {
        return actions;
    }
    Rank &member = m_ranks[index];
    if (state.step > member.state.step) {
        m_pace.stepRead(state.step, member.readAt, now);
    }
    member.state = state;
    member.readAt = now;
    if (member.session == 0) {
        const bool isReadAfterInstall = member.fencingTokenInstalledAt
            && (installedFencingToken >= m_fencingToken || now - *member.fencingTokenInstalledAt >= maxReportLag);
        if (isReadAfterInstall) {
            openSession(index, now, actions);
        }
        return actions;
    }
    // The ranks of a group start each step together, so the latest reported step applies to all of them.
    m_latestStep = std::max(m_latestStep, state.step);
    updateStepsAhead(now);
    for (std::size_t memberIndex = 0; memberIndex < m_ranks.size(); ++memberIndex) {
        if (m_ranks[memberIndex].session != 0) {
            execute(memberIndex, m_ranks[memberIndex].gate.engineStepped(m_latestStep.next()), now, actions);
        }
    }
    execute(index, member.commands.stateRead(state, now), now, actions);
    if (needsNewSession(member)) {
        openSession(index, now, actions);
    }
    return actions;
}

GroupSwitchActions GroupSwitch::tick(core::TimePoint now)
{
    GroupSwitchActions actions;
    updateStepsAhead(now);
    execute(m_coordinator.tick(now), now, actions);
    for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
        execute(rank, m_ranks[rank].commands.tick(now), now, actions);
    }
    recordLostCommands(now);
    return actions;
}

void GroupSwitch::updateStepsAhead(core::TimePoint now)
{
    const bool hasRecentLoss = m_lastCommandLoss && now - *m_lastCommandLoss < commandLossWindow;
    const auto steps = std::min(m_pace.stepsWithin(holdLeadTime, now).value_or(normalStepsAhead), normalStepsAhead);
    m_coordinator.setStepsAhead(hasRecentLoss ? std::max(steps, stepsAheadAfterLoss) : steps);
}

void GroupSwitch::recordLostCommands(core::TimePoint now)
{
    std::uint64_t lost = 0;
    for (const auto &rank : m_ranks) {
        lost += rank.commands.lostCommands();
    }
    if (lost != std::exchange(m_lostCommands, lost)) {
        m_lastCommandLoss = now;
    }
}

bool GroupSwitch::isIdle() const
{
    // Engines refuse to prepare another map while they are armed.
    return m_coordinator.phase() == SwitchPhase::Idle
        && std::all_of(m_ranks.begin(), m_ranks.end(), [this](const Rank &rank) {
               return rank.commands.isIdle() && !rank.state.armed && rank.state.map == m_coordinator.map();
           });
}

const decisions::experts::ExpertMap *GroupSwitch::findMap(core::MapVersion version) const
{
    const auto found = m_maps.find(version);
    return found == m_maps.end() ? nullptr : &found->second.map;
}

void GroupSwitch::execute(const CoordinatorActions &coordinatorActions, core::TimePoint now,
                          GroupSwitchActions &actions)
{
    for (const auto &action : coordinatorActions) {
        if (const auto *send = std::get_if<SendOrder>(&action)) {
            const auto rank = send->member.number();
            execute(rank, m_ranks[rank].gate.order(send->order), now, actions);
        } else if (const auto *finished = std::get_if<SwitchFinished>(&action)) {
            actions.emplace_back(GroupSwitchFinished{finished->map, finished->hasSucceeded});
        }
        // RequestGeneration needs no action: the platform forms groups, and each generation gets a new GroupSwitch.
    }
}

void GroupSwitch::execute(std::size_t rank, const GateActions &gateActions, core::TimePoint now,
                          GroupSwitchActions &actions)
{
    for (const auto &action : gateActions) {
        if (const auto *report = std::get_if<SendReport>(&action)) {
            execute(m_coordinator.memberReported(report->report, now), now, actions);
            continue;
        }
        std::visit(
            [&](const auto &command) {
                if constexpr (!std::is_same_v<std::decay_t<decltype(command)>, SendReport>) {
                    execute(rank, m_ranks[rank].commands.execute(command, now), now, actions);
                }
            },
            action);
    }
}

void GroupSwitch::execute(std::size_t rank, const RankCommandActions &commandActions, core::TimePoint now,
                          GroupSwitchActions &actions)
{
    auto &gate = m_ranks[rank].gate;
    for (const auto &action : commandActions) {
        if (const auto *send = std::get_if<SendCommand>(&action)) {
            actions.emplace_back(
                CommandRank{core::RankIndex(rank), send->number, requestFor(m_ranks[rank], send->command)});
        } else if (const auto *waiting = std::get_if<AwaitWindow>(&action)) {
            m_window.add(rank, prepareBytes(m_ranks[rank], waiting->command.map));
        } else if (const auto *staged = std::get_if<MapStaged>(&action)) {
            execute(rank, gate.engineStaged(staged->map), now, actions);
        } else if (const auto *failed = std::get_if<MapStageFailed>(&action)) {
            execute(rank, gate.engineStageFailed(failed->map), now, actions);
        } else if (const auto *held = std::get_if<StepHeld>(&action)) {
            execute(rank, gate.engineHeld(held->step), now, actions);
        } else if (const auto *refused = std::get_if<HoldRefused>(&action)) {
            execute(rank, gate.engineHoldRefused(refused->step), now, actions);
        } else if (std::holds_alternative<StateMismatch>(action)) {
            openSession(rank, now, actions);
        } else if (std::holds_alternative<FencingTokenInstalled>(action)) {
            m_ranks[rank].fencingTokenInstalledAt = now;
        } else {
            actions.emplace_back(LeaderFenced{});
        }
    }
    if (!m_ranks[rank].commands.usesWindow()) {
        m_window.remove(rank);
    }
    sendWithinWindow(now, actions);
}

void GroupSwitch::sendWithinWindow(core::TimePoint now, GroupSwitchActions &actions)
{
    while (const auto next = m_window.takeNext()) {
        // On its way a prepare waits at most for all that the window holds, and passes the link of the other VM.
        const auto transferTime = 2 * m_link.timeFor(std::max(m_window.unansweredBytes(), m_link.windowBytes()));
        execute(*next, m_ranks[*next].commands.windowOpened(transferTime, now), now, actions);
    }
}

std::size_t GroupSwitch::prepareBytes(const Rank &rank, core::MapVersion map) const
{
    const auto stored = m_maps.find(map);
    if (stored == m_maps.end()) {
        return otherDatagramBytes;
    }
    const auto &[version, each] = *stored;
    return otherDatagramBytes + (rank.needsWholeMap ? each.packedBytes : each.change->edits.size());
}

EngineCommandRequest GroupSwitch::requestFor(const Rank &rank, const EngineCommand &command) const
{
    EngineCommandRequest result{command, m_fencingToken, nullptr, nullptr};
    if (command.kind == CommandKind::Prepare) {
        const auto stored = m_maps.find(command.map);
        if (stored != m_maps.end()) {
            result.experts = stored->second.experts;
            result.change = rank.needsWholeMap ? nullptr : stored->second.change;
        }
    }
    return result;
}

} // namespace lycheelanding::rankgroups
