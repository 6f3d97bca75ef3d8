#include "lycheelanding/rankgroups/rankdatagrams.h"

#include "lycheelanding/rankgroups/expertlists.h"
#include "private/compactlists.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <exception>
#include <sstream>
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
constexpr std::uint16_t protocolVersion = 3;

} // namespace

template <typename Archive>
void serialize(Archive &archive, RankReport &report)
{
    archive(report.group, report.rank, report.groupSize, report.isOpen, report.state, report.installedFencingToken,
            report.waiting, report.running, report.usedKvTokens, report.totalKvTokens, report.slowness);
}

template <typename Archive>
void serialize(Archive &archive, Subscription &subscription)
{
    archive(subscription.ledGroup);
}

/// Counts and held experts go as CompactLists into one list of bytes, whose length is checked before it is read.
template <typename Archive>
void save(Archive &archive, const RankStatus &status)
{
    std::string lists;
    appendList(lists, status.counts);
    appendLists(lists, status.heldExperts);
    archive(status.report, status.entries, static_cast<std::uint32_t>(lists.size()));
    archive(cereal::binary_data(lists.data(), lists.size()));
}

template <typename Archive>
void load(Archive &archive, RankStatus &status)
{
    std::uint32_t size = 0;
    archive(status.report, status.entries, size);
    if (size > maxDatagramBytes) {
        throw cereal::Exception("lists longer than a datagram");
    }
    std::string lists(size, '\0');
    archive(cereal::binary_data(lists.data(), lists.size()));
    CompactReader reader(lists);
    auto counts = reader.list();
    auto heldExperts = counts ? reader.lists() : std::nullopt;
    if (!heldExperts || !reader.isAtEnd()) {
        throw cereal::Exception("invalid lists");
    }
    status.counts = std::move(*counts);
    status.heldExperts = std::move(*heldExperts);
}

template <typename Archive>
void save(Archive &archive, const EngineCommandRequest &command)
{
    const auto experts = command.experts ? packExperts(*command.experts) : std::string();
    archive(command.command, command.fencingToken,
            cereal::make_size_tag(static_cast<cereal::size_type>(experts.size())),
            cereal::binary_data(experts.data(), experts.size()));
}

template <typename Archive>
void load(Archive &archive, EngineCommandRequest &command)
{
    cereal::size_type size = 0;
    archive(command.command, command.fencingToken, cereal::make_size_tag(size));
    if (size > maxDatagramBytes) {
        throw cereal::Exception("the experts are longer than a datagram");
    }
    std::string bytes(size, '\0');
    archive(cereal::binary_data(bytes.data(), bytes.size()));
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
