#include "distribution/distributionsimulation.h"

#include <algorithm>
#include <sstream>

namespace lycheelanding::decisions::distribution {

using core::ConfigurationVersion;

core::Result<FakeEditor::Record> FakeEditor::decode(std::string_view text) const
{
    std::istringstream stream{std::string(text)};
    Record record;
    for (std::string id; stream >> id;) {
        record.push_back(id);
    }
    return record;
}

core::Result<std::string> FakeEditor::encode(const Record &record) const
{
    std::string text;
    for (const auto &id : record) {
        text += id + " ";
    }
    return text;
}

core::Result<std::optional<ConfigurationVersion>> FakeEditor::versionOfRepeat(const Record &record,
                                                                              const Patch &patch) const
{
    const auto found = std::find(record.begin(), record.end(), patch.id);
    if (found == record.end()) {
        return std::optional<ConfigurationVersion>();
    }
    return std::optional(ConfigurationVersion(std::uint64_t(found - record.begin()) + 1));
}

core::Result<FakeEditor::Record> FakeEditor::apply(const Record &record, const Patch &patch, core::WallTime) const
{
    if (patch.expectedVersion != version(record)) {
        return core::Error{core::ErrorKind::VersionConflict, "conflict"};
    }
    if (!patch.isValid) {
        return core::Error{core::ErrorKind::InvalidPatch, "invalid"};
    }
    auto next = record;
    next.push_back(patch.id);
    return next;
}

DistributionSimulation::DistributionSimulation(std::size_t nodeCount) : m_nodes(nodeCount)
{
    for (std::size_t index = 0; index < nodeCount; ++index) {
        m_nodes[index].vm = core::VmId("vm" + std::to_string(index));
        startNode(index);
    }
}

void DistributionSimulation::startNode(std::size_t index)
{
    auto &node = m_nodes[index];
    ++node.incarnation;
    node.installed = ConfigurationVersion(0);
    PatchAcceptanceSettings acceptanceSettings;
    acceptanceSettings.seed = index * 1000 + node.incarnation;
    node.acceptance = std::make_unique<PatchAcceptance<FakeEditor>>(FakeEditor(), acceptanceSettings);
    ConfigurationInstallerSettings installerSettings;
    installerSettings.seed = index * 1000 + node.incarnation;
    node.installer = std::make_unique<ConfigurationInstaller>(installerSettings);
    std::vector<core::VmId> peers;
    for (const auto &other : m_nodes) {
        if (other.vm != node.vm && !other.vm.isEmpty()) {
            peers.push_back(other.vm);
        }
    }
    execute(index, node.installer->start(peers, m_clock.now()));
    execute(index, node.installer->setWatching(index == 0, m_clock.now()));
}

void DistributionSimulation::apply(const SimulationEvent &event)
{
    using Kind = SimulationEvent::Kind;
    const auto node = event.node % m_nodes.size();
    switch (event.kind) {
    case Kind::SubmitNew: {
        const auto known = event.pick % 2 == 0 ? m_nodes[node].installed : ConfigurationVersion(m_chain.size());
        submit(node, {"p" + std::to_string(m_submissions.size()), known, event.pick % 11 != 0});
        return;
    }
    case Kind::SubmitAgain:
        if (!m_submissions.empty()) {
            const auto patch = m_submissions[event.pick % m_submissions.size()].patch;
            submit(node, patch);
        }
        return;
    case Kind::StoreChanges:
        m_isStoreUp = event.pick % 4 != 0;
        return;
    case Kind::Gossip:
        gossip(node, event.pick % m_nodes.size());
        return;
    case Kind::Restart:
        startNode(node);
        return;
    case Kind::Advance:
        // Mostly short steps, so that most calls are answered before their timeout.
        advance(std::chrono::milliseconds(event.pick % 4 == 0 ? event.pick % 3000 : event.pick % 200));
        return;
    default:
        break;
    }
    const bool isStoreEvent = event.kind >= Kind::StoreAnswers && event.kind <= Kind::StoreRefuses;
    if (isStoreEvent && !m_calls.empty()) {
        const auto call = dequeueCall(event.pick);
        if (event.kind == Kind::StoreAnswers && m_isStoreUp) {
            answerCall(call);
        } else if (event.kind == Kind::StoreLosesAnswer && m_isStoreUp) {
            if (const auto *write = std::get_if<WriteStore>(&call.action)) {
                executeWrite(*write);
            }
            failCall(call, StoreWriteOutcome::Unknown);
        } else if (event.kind == Kind::StoreLosesCall) {
            failCall(call, StoreWriteOutcome::Unknown);
        } else {
            failCall(call, StoreWriteOutcome::Unavailable);
        }
    }
    if (!isStoreEvent && !m_packets.empty()) {
        const auto index = event.pick % m_packets.size();
        const auto packet = m_packets[index];
        if (event.kind != Kind::DeliverTwice) {
            m_packets.erase(m_packets.begin() + std::ptrdiff_t(index));
        }
        if (event.kind != Kind::Drop) {
            deliver(packet);
        }
    }
}

int DistributionSimulation::settle(int maxRounds)
{
    m_isStoreUp = true;
    for (int round = 0; round < maxRounds; ++round) {
        if (isSettled()) {
            checkAnswers();
            return round;
        }
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            gossip(node, (node + 1) % m_nodes.size());
        }
        // Packets sent in response are delivered in the next round.
        for (const auto &packet : std::exchange(m_packets, {})) {
            deliver(packet);
        }
        for (const auto &call : std::exchange(m_calls, {})) {
            answerCall(call);
        }
        advance(std::chrono::milliseconds(100));
    }
    checkAnswers();
    return maxRounds;
}

void DistributionSimulation::submit(std::size_t node, const FakeEditor::Patch &patch)
{
    const SubmissionNumber number(m_submissions.size());
    ++m_submissionsOfId[patch.id];
    m_submissions.push_back({patch, node, m_nodes[node].incarnation, std::nullopt});
    execute(node, m_nodes[node].acceptance->patchSubmitted(number, patch, m_clock.now()));
}

void DistributionSimulation::gossip(std::size_t from, std::size_t to)
{
    if (from != to) {
        m_packets.push_back({from, to, VersionMessage{m_nodes[from].installer->version()}});
    }
}

void DistributionSimulation::deliver(const Packet &packet)
{
    auto &installer = *m_nodes[packet.to].installer;
    const auto &peer = m_nodes[packet.from].vm;
    const auto now = m_clock.now();
    if (const auto *version = std::get_if<VersionMessage>(&packet.content)) {
        execute(packet.to, installer.peerVersionSeen(peer, version->version, now));
    } else if (const auto *fetch = std::get_if<FetchMessage>(&packet.content)) {
        execute(packet.to, installer.fetchRequested(peer, fetch->known, now));
    } else {
        execute(packet.to, installer.bodyReceived(peer, std::get<ConfigurationBody>(packet.content), now));
    }
}

void DistributionSimulation::advance(core::Duration step)
{
    m_clock.advance(step);
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        execute(node, m_nodes[node].acceptance->tick(m_clock.now()));
        execute(node, m_nodes[node].installer->tick(m_clock.now()));
    }
}

DistributionSimulation::StoreCall DistributionSimulation::dequeueCall(std::uint32_t pick)
{
    const auto position = m_calls.begin() + std::ptrdiff_t(pick % m_calls.size());
    auto call = *position;
    m_calls.erase(position);
    return call;
}

ConfigurationBody DistributionSimulation::storedBody() const
{
    return {ConfigurationVersion(m_chain.size()), m_chain.empty() ? "" : m_chain.back()};
}

void DistributionSimulation::answerCall(const StoreCall &call)
{
    const auto now = m_clock.now();
    auto &node = m_nodes[call.node];
    const auto state = m_revision > 0 ? StoreReadState::Found : StoreReadState::Missing;
    if (const auto *write = std::get_if<WriteStore>(&call.action)) {
        // A write takes effect even if the process that sent it has restarted.
        const auto outcome = executeWrite(*write);
        if (isAlive(call)) {
            execute(call.node, node.acceptance->storeWritten(write->call, outcome, now));
        }
    } else if (!isAlive(call)) {
        return;
    } else if (const auto *read = std::get_if<ReadStore>(&call.action)) {
        const RecordReadResult reading{state, m_text, m_revision};
        execute(call.node, node.acceptance->storeRead(read->call, reading, now, m_clock.wallNow()));
    } else if (const auto *watch = std::get_if<WatchStore>(&call.action)) {
        execute(call.node, node.installer->watchAnswered(watch->call, state, storedBody(), m_revision, now));
    } else {
        execute(call.node, node.installer->storeAnswered(state, storedBody(), now));
    }
}

void DistributionSimulation::failCall(const StoreCall &call, StoreWriteOutcome outcome)
{
    if (!isAlive(call)) {
        return;
    }
    const auto now = m_clock.now();
    auto &node = m_nodes[call.node];
    if (const auto *write = std::get_if<WriteStore>(&call.action)) {
        execute(call.node, node.acceptance->storeWritten(write->call, outcome, now));
    } else if (const auto *read = std::get_if<ReadStore>(&call.action)) {
        execute(call.node, node.acceptance->storeRead(read->call, {}, now, m_clock.wallNow()));
    } else if (const auto *watch = std::get_if<WatchStore>(&call.action)) {
        execute(call.node, node.installer->watchAnswered(watch->call, StoreReadState::Unavailable, {}, 0, now));
    } else {
        execute(call.node, node.installer->storeAnswered(StoreReadState::Unavailable, {}, now));
    }
}

StoreWriteOutcome DistributionSimulation::executeWrite(const WriteStore &write)
{
    if (write.expectedRevision != m_revision) {
        return StoreWriteOutcome::Conflict;
    }
    const auto record = core::valueOf(FakeEditor().decode(write.text));
    const bool isNextOfChain
        = record.size() == m_chain.size() + 1 && std::equal(m_chain.begin(), m_chain.end(), record.begin());
    if (!isNextOfChain) {
        addViolation("a write does not extend the chain: " + write.text);
    }
    if (std::count(record.begin(), record.end(), record.back()) > 1) {
        addViolation("applied twice: " + record.back());
    }
    m_text = write.text;
    m_chain = record;
    ++m_revision;
    return StoreWriteOutcome::Written;
}

void DistributionSimulation::execute(std::size_t node, const AcceptanceActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *read = std::get_if<ReadStore>(&action)) {
            m_calls.push_back({node, m_nodes[node].incarnation, *read});
        } else if (const auto *write = std::get_if<WriteStore>(&action)) {
            m_calls.push_back({node, m_nodes[node].incarnation, *write});
        } else if (const auto *learned = std::get_if<VersionLearned>(&action)) {
            const ConfigurationBody body{learned->version, learned->document};
            execute(node, m_nodes[node].installer->versionLearned(body, m_clock.now()));
        } else {
            recordAnswer(node, std::get<AnswerPatch>(action));
        }
    }
}

void DistributionSimulation::execute(std::size_t node, const InstallerActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *fetch = std::get_if<FetchFromPeer>(&action)) {
            const auto hasName = [&](const Node &other) { return other.vm == fetch->peer; };
            const auto peer = std::find_if(m_nodes.begin(), m_nodes.end(), hasName) - m_nodes.begin();
            m_packets.push_back({node, std::size_t(peer), FetchMessage{fetch->known}});
        } else if (const auto *send = std::get_if<SendBody>(&action)) {
            const auto hasName = [&](const Node &other) { return other.vm == send->peer; };
            const auto peer = std::find_if(m_nodes.begin(), m_nodes.end(), hasName) - m_nodes.begin();
            m_packets.push_back({node, std::size_t(peer), m_nodes[node].installer->installed()});
        } else if (const auto *install = std::get_if<InstallVersion>(&action)) {
            recordInstalled(node, install->body);
        } else if (const auto *watch = std::get_if<WatchStore>(&action)) {
            m_calls.push_back({node, m_nodes[node].incarnation, *watch});
        } else {
            m_calls.push_back({node, m_nodes[node].incarnation, QueryStore{}});
        }
    }
}

void DistributionSimulation::recordInstalled(std::size_t node, const ConfigurationBody &body)
{
    const auto version = body.version.number();
    if (body.version <= m_nodes[node].installed) {
        addViolation("version " + std::to_string(version) + " installed over a higher one");
    }
    if (version > m_chain.size() || m_chain[version - 1] != body.document) {
        addViolation("version " + std::to_string(version) + " has a document that was not accepted");
    }
    m_nodes[node].installed = body.version;
}

void DistributionSimulation::recordAnswer(std::size_t node, const AnswerPatch &answered)
{
    auto &submission = m_submissions[answered.submission.number()];
    if (submission.answer || submission.node != node) {
        addViolation("answered twice");
    }
    submission.answer = answered.answer;
    const auto version = answered.answer.version.number();
    if (answered.answer.outcome == PatchOutcome::Accepted
        && (version == 0 || version > m_chain.size() || m_chain[version - 1] != submission.patch.id)) {
        addViolation("answered with a version that the patch did not lead to: " + submission.patch.id);
    }
}

void DistributionSimulation::checkAnswers()
{
    for (const auto &submission : m_submissions) {
        const bool isInChain = std::count(m_chain.begin(), m_chain.end(), submission.patch.id) > 0;
        const bool isRestarted = m_nodes[submission.node].incarnation != submission.incarnation;
        if (!submission.answer) {
            if (!isRestarted) {
                addViolation("never answered: " + submission.patch.id);
            }
            continue;
        }
        const auto outcome = submission.answer->outcome;
        const bool isDefiniteRejection = outcome == PatchOutcome::Conflict || outcome == PatchOutcome::Invalid;
        const bool isOnlySubmission = m_submissionsOfId[submission.patch.id] == 1;
        if (isInChain && (isDefiniteRejection || (outcome == PatchOutcome::Unavailable && isOnlySubmission))) {
            addViolation("answered as not applied, but present in the chain: " + submission.patch.id);
        }
    }
}

bool DistributionSimulation::isSettled() const
{
    const auto isNodeSettled = [&](const Node &node) {
        return !node.acceptance->hasWork() && node.installed.number() == m_chain.size()
            && (m_chain.empty() || !node.installer->isStale(m_clock.now()));
    };
    return std::all_of(m_nodes.begin(), m_nodes.end(), isNodeSettled);
}

} // namespace lycheelanding::decisions::distribution
