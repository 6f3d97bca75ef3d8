#include "lycheelanding/rankgroups/rankdatagrams.h"

#include "lycheelanding/rankgroups/expertlists.h"
#include "private/compactlists.h"

#include <asio/error_code.hpp>
#include <asio/ip/address.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <exception>
#include <sstream>
#include <type_traits>
#include <utility>

namespace lycheelanding::decisions::mapswitch {

template <typename Archive>
void serialize(Archive &archive, MapActivation &activation)
{
    archive(activation.map, activation.step);
}

template <typename Archive>
void serialize(Archive &archive, RankState &state)
{
    archive(state.generation, state.step, state.map, state.prepared, state.armed, state.held);
}

template <typename Archive>
void serialize(Archive &archive, EngineCommand &command)
{
    archive(command.kind, command.generation, command.map, command.step);
}

} // namespace lycheelanding::decisions::mapswitch

namespace lycheelanding::rankgroups {

namespace {

/// Must be increased with each change of the message layout; messages of other versions are dropped.
constexpr std::uint16_t protocolVersion = 6;
/// Guards against foreign bytes.
constexpr std::size_t maxFeatures = 32;
constexpr std::size_t maxDemands = 16;

/// Appends the bytes with their length in front.
template <typename Archive>
void saveBytes(Archive &archive, const std::string &bytes)
{
    archive(static_cast<std::uint32_t>(bytes.size()));
    archive(cereal::binary_data(bytes.data(), bytes.size()));
}

/// Reads what saveBytes() has appended; checks the length before it allocates.
template <typename Archive>
std::string loadBytes(Archive &archive)
{
    std::uint32_t size = 0;
    archive(size);
    if (size > maxDatagramBytes) {
        throw cereal::Exception("more bytes than a datagram has");
    }
    std::string bytes(size, '\0');
    archive(cereal::binary_data(bytes.data(), bytes.size()));
    return bytes;
}

template <typename Archive>
void serializeText(Archive &archive, std::string &text)
{
    if constexpr (Archive::is_saving::value) {
        saveBytes(archive, text);
    } else {
        text = loadBytes(archive);
    }
}

template <typename Archive>
void serializeService(Archive &archive, core::ServiceId &service)
{
    std::string text = service.text();
    serializeText(archive, text);
    service = core::ServiceId(std::move(text));
}

/// Rates go in requests per 1,000 s.
template <typename Archive>
void serializeRate(Archive &archive, double &perSecond)
{
    constexpr double scale = 1000.0;
    constexpr double largest = 4e9;
    auto scaled = static_cast<std::uint32_t>(std::clamp(perSecond * scale, 0.0, largest));
    archive(scaled);
    perSecond = scaled / scale;
}

/// Serializes a list with its length, which is checked before the list is allocated.
template <typename Archive, typename Item>
void serializeDemands(Archive &archive, std::vector<Item> &demands)
{
    auto count = static_cast<std::uint8_t>(std::min(demands.size(), maxDemands));
    archive(count);
    if (count > maxDemands) {
        throw cereal::Exception("too many services");
    }
    demands.resize(count);
    for (auto &demand : demands) {
        serializeService(archive, demand.service);
        serializeRate(archive, demand.perSecond);
        if constexpr (std::is_same_v<Item, decisions::intake::TotalDemand>) {
            auto entries = static_cast<std::uint32_t>(demand.entries);
            archive(entries);
            demand.entries = entries;
        }
    }
}

} // namespace

template <typename Archive>
void serialize(Archive &archive, RankReport &report)
{
    std::string group = report.group.text();
    serializeText(archive, group);
    report.group = core::GroupId(std::move(group));
    archive(report.rank, report.groupSize, report.isOpen, report.state, report.installedFencingToken, report.waiting,
            report.running, report.usedKvTokens, report.totalKvTokens, report.slowness);
}

template <typename Archive>
void serialize(Archive &archive, Subscription &subscription)
{
    serializeText(archive, subscription.ledGroup);
    serializeText(archive, subscription.countsCollector);
    archive(subscription.countsIntervalMs);
    serializeDemands(archive, subscription.demands);
    if constexpr (Archive::is_loading::value) {
        asio::error_code error;
        asio::ip::make_address(subscription.countsCollector, error);
        if (error && !subscription.countsCollector.empty()) {
            throw cereal::Exception("the collector is not an address");
        }
    }
}

/// Held experts go as compact lists into one list of bytes, whose length is checked before it is read.
template <typename Archive>
void save(Archive &archive, const RankStatus &status)
{
    std::string lists;
    appendLists(lists, status.heldExperts);
    archive(status.report, status.entries, status.entryIndex);
    saveBytes(archive, lists);
    auto demands = status.demands;
    serializeDemands(archive, demands);
}

template <typename Archive>
void load(Archive &archive, RankStatus &status)
{
    archive(status.report, status.entries, status.entryIndex);
    const std::string lists = loadBytes(archive);
    CompactReader reader(lists);
    auto heldExperts = reader.lists();
    if (!heldExperts || !reader.isAtEnd()) {
        throw cereal::Exception("invalid lists");
    }
    status.heldExperts = std::move(*heldExperts);
    serializeDemands(archive, status.demands);
}

template <typename Archive>
void save(Archive &archive, const CountsReport &report)
{
    std::string counts;
    appendSmallNumbers(counts, report.counts);
    archive(report.generation, report.step, report.ranks, report.scaleBits);
    saveBytes(archive, counts);
}

template <typename Archive>
void load(Archive &archive, CountsReport &report)
{
    archive(report.generation, report.step, report.ranks, report.scaleBits);
    const std::string bytes = loadBytes(archive);
    CompactReader reader(bytes);
    auto counts = reader.smallNumbers();
    if (!counts || !reader.isAtEnd() || report.scaleBits > maxScaleBits) {
        throw cereal::Exception("invalid counts");
    }
    report.counts = std::move(*counts);
}

template <typename Archive>
void save(Archive &archive, const EngineCommandRequest &command)
{
    archive(command.command, command.fencingToken, command.change != nullptr);
    if (command.change) {
        const auto &change = *command.change;
        archive(change.layers, change.ranks, change.experts, change.baseHash, change.resultHash);
        saveBytes(archive, command.change->edits);
        return;
    }
    saveBytes(archive, command.experts ? packExperts(*command.experts) : std::string());
}

template <typename Archive>
void load(Archive &archive, EngineCommandRequest &command)
{
    bool isChange = false;
    archive(command.command, command.fencingToken, isChange);
    if (isChange) {
        MapChange change;
        archive(change.layers, change.ranks, change.experts, change.baseHash, change.resultHash);
        change.edits = loadBytes(archive);
        command.change = std::make_shared<const MapChange>(std::move(change));
        return;
    }
    const std::string bytes = loadBytes(archive);
    if (bytes.empty()) {
        return;
    }
    auto experts = unpackExperts(bytes);
    if (!experts) {
        throw cereal::Exception("the experts are incomplete");
    }
    command.experts = std::make_shared<const ExpertLists>(std::move(*experts));
}

template <typename Archive>
void serialize(Archive &archive, CommandOrder &order)
{
    archive(order.number, order.command);
}

template <typename Archive>
void serialize(Archive &archive, CommandReply &reply)
{
    archive(reply.number, reply.fencingToken, reply.answer);
}

template <typename Archive>
void saveFeatures(Archive &archive, const decisions::quarantine::RequestFeatures &features)
{
    archive(static_cast<std::uint8_t>(std::min(features.size(), maxFeatures)));
    for (std::size_t index = 0; index < std::min(features.size(), maxFeatures); ++index) {
        saveBytes(archive, features[index].text());
    }
}

template <typename Archive>
decisions::quarantine::RequestFeatures loadFeatures(Archive &archive)
{
    std::uint8_t count = 0;
    archive(count);
    if (count > maxFeatures) {
        throw cereal::Exception("too many features of a request");
    }
    decisions::quarantine::RequestFeatures features;
    for (std::uint8_t index = 0; index < count; ++index) {
        features.emplace_back(loadBytes(archive));
    }
    return features;
}

template <typename Archive, typename Notice>
void saveNotice(Archive &archive, const Notice &notice)
{
    saveFeatures(archive, notice.features);
    archive(notice.ageMs);
}

template <typename Archive, typename Notice>
void loadNotice(Archive &archive, Notice &notice)
{
    notice.features = loadFeatures(archive);
    archive(notice.ageMs);
}

template <typename Archive>
void save(Archive &archive, const CrashNotice &notice)
{
    saveBytes(archive, notice.backend);
    saveNotice(archive, notice);
}

template <typename Archive>
void load(Archive &archive, CrashNotice &notice)
{
    notice.backend = loadBytes(archive);
    loadNotice(archive, notice);
}

template <typename Archive>
void save(Archive &archive, const ProgressNotice &notice)
{
    saveNotice(archive, notice);
}

template <typename Archive>
void load(Archive &archive, ProgressNotice &notice)
{
    loadNotice(archive, notice);
}

template <typename Archive>
void save(Archive &archive, const ProbeNotice &notice)
{
    saveNotice(archive, notice);
}

template <typename Archive>
void load(Archive &archive, ProbeNotice &notice)
{
    loadNotice(archive, notice);
}

template <typename Archive>
void serialize(Archive &archive, LimitNotice &notice)
{
    serializeText(archive, notice.backend);
    bool isLimited = notice.perSecond.has_value();
    double perSecond = notice.perSecond.value_or(0.0);
    archive(notice.startedAtMs, notice.ageMs, isLimited);
    serializeRate(archive, perSecond);
    notice.perSecond = isLimited ? std::optional(perSecond) : std::nullopt;
}

std::string encodeDatagram(const Datagram &datagram)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(protocolVersion, datagram);
    }
    return std::move(stream).str();
}

std::optional<Datagram> decodeDatagram(std::string_view bytes)
{
    if (bytes.size() > maxDatagramBytes) {
        return std::nullopt;
    }
    try {
        std::istringstream stream{std::string(bytes)};
        cereal::PortableBinaryInputArchive archive(stream);
        std::uint16_t version = 0;
        archive(version);
        if (version != protocolVersion) {
            return std::nullopt;
        }
        Datagram datagram;
        archive(datagram);
        return datagram;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace lycheelanding::rankgroups
