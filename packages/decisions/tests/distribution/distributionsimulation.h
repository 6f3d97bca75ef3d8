#pragma once

#include "lycheelanding/decisions/distribution/configurationinstaller.h"
#include "lycheelanding/decisions/distribution/patchacceptance.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::distribution {

/// A patch is an id; a record is the list of the accepted ids in order.
struct FakeEditor
{
    struct Patch
    {
        std::string id;
        core::ConfigurationVersion expectedVersion;
        bool isValid = true;
    };

    using Record = std::vector<std::string>;

    Record empty() const { return {}; }
    core::Result<Record> decode(std::string_view text) const;
    core::Result<std::string> encode(const Record &record) const;
    core::Result<std::optional<core::ConfigurationVersion>> versionOfRepeat(const Record &record,
                                                                            const Patch &patch) const;
    core::Result<Record> apply(const Record &record, const Patch &patch, core::WallTime now) const;
    core::ConfigurationVersion version(const Record &record) const { return core::ConfigurationVersion(record.size()); }
    std::string document(const Record &record) const { return record.empty() ? "" : record.back(); }
};

static_assert(RecordEditor<FakeEditor>);

/// One step of a simulation; `pick` selects among the available calls, packets or submissions.
struct SimulationEvent
{
    enum class Kind : std::uint8_t {
        SubmitNew,
        SubmitAgain,
        StoreAnswers,
        StoreLosesAnswer,
        StoreLosesCall,
        StoreRefuses,
        StoreChanges,
        Gossip,
        Deliver,
        DeliverTwice,
        Drop,
        Restart,
        Advance,
        Count,
    };

    Kind kind = Kind::Advance;
    std::uint32_t node = 0;
    std::uint32_t pick = 0;
};

/// Simulates a few processes, a store and the network between them in virtual time, and collects violations of the
/// guarantee that accepted versions form one chain which every process follows.
class DistributionSimulation
{
public:
    explicit DistributionSimulation(std::size_t nodeCount);

    void apply(const SimulationEvent &event);
    /// Ends all faults and runs rounds of 100 ms until everything is settled; returns their number, or `maxRounds`.
    int settle(int maxRounds);
    const std::vector<std::string> &violations() const { return m_violations; }
    /// The ids of the accepted patches, in order.
    const FakeEditor::Record &chain() const { return m_chain; }

private:
    struct Node
    {
        core::VmId vm;
        std::uint64_t incarnation = 0;
        std::unique_ptr<PatchAcceptance<FakeEditor>> acceptance;
        std::unique_ptr<ConfigurationInstaller> installer;
        core::ConfigurationVersion installed;
    };

    struct VersionMessage
    {
        core::ConfigurationVersion version;
    };

    struct FetchMessage
    {
        core::ConfigurationVersion known;
    };

    struct Packet
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::variant<VersionMessage, FetchMessage, ConfigurationBody> content;
    };

    using StoreAction = std::variant<ReadStore, WriteStore, QueryStore, WatchStore>;

    struct StoreCall
    {
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        StoreAction action;
    };

    struct Submission
    {
        FakeEditor::Patch patch;
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        std::optional<PatchAnswer> answer;
    };

    void startNode(std::size_t index);
    void submit(std::size_t node, const FakeEditor::Patch &patch);
    void gossip(std::size_t from, std::size_t to);
    void deliver(const Packet &packet);
    void advance(core::Duration step);

    StoreCall dequeueCall(std::uint32_t pick);
    void answerCall(const StoreCall &call);
    void failCall(const StoreCall &call, StoreWriteOutcome outcome);
    StoreWriteOutcome executeWrite(const WriteStore &write);
    ConfigurationBody storedBody() const;
    bool isAlive(const StoreCall &call) const { return m_nodes[call.node].incarnation == call.incarnation; }

    void execute(std::size_t node, const AcceptanceActions &actions);
    void execute(std::size_t node, const InstallerActions &actions);
    void recordInstalled(std::size_t node, const ConfigurationBody &body);
    void recordAnswer(std::size_t node, const AnswerPatch &answered);
    void checkAnswers();
    bool isSettled() const;
    void addViolation(std::string what) { m_violations.push_back(std::move(what)); }

    core::ManualClock m_clock;
    std::vector<Node> m_nodes;
    std::vector<Packet> m_packets;
    std::vector<StoreCall> m_calls;
    std::vector<Submission> m_submissions;
    std::map<std::string, int> m_submissionsOfId;

    bool m_isStoreUp = true;
    std::string m_text;
    std::uint64_t m_revision = 0;
    FakeEditor::Record m_chain;
    std::vector<std::string> m_violations;
};

} // namespace lycheelanding::decisions::distribution
