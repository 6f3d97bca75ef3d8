#include "lycheelanding/rankgroups/mapchange.h"

#include "lycheelanding/core/stablehash.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheelanding::rankgroups {

namespace {

using ExpertList = std::vector<std::uint32_t>;

/// The active map, the next one and some that were withdrawn.
constexpr std::size_t maxKnownMaps = 4;
constexpr std::size_t bitsPerByte = 8;
/// Guards against foreign bytes.
constexpr std::uint64_t maxLists = 1U << 16U;
constexpr std::uint64_t maxPlacements = 1U << 20U;
constexpr unsigned maxExpertBits = std::numeric_limits<std::uint32_t>::digits;

/// The lists of a map in the order of layers and, within a layer, of ranks.
template <typename Map>
auto listsOf(Map &map)
{
    std::vector<decltype(&map.front().front())> lists;
    for (auto &layer : map) {
        for (auto &list : layer) {
            lists.push_back(&list);
        }
    }
    return lists;
}

/// Edits are bits: for each list one whether it differs, and if so one for each of its experts whether it is removed, a
/// one for each expert to add with the expert's number, and a zero. The first byte is the size of such a number in
/// bits.
class BitWriter
{
public:
    explicit BitWriter(std::string &bytes) : m_bytes(bytes) { }

    void append(std::uint32_t value, unsigned bits)
    {
        for (unsigned bit = 0; bit < bits; ++bit, ++m_position) {
            if (m_position % bitsPerByte == 0) {
                m_bytes.push_back('\0');
            }
            const auto isSet = (value >> bit) & 1U;
            m_bytes.back()
                = static_cast<char>(static_cast<unsigned char>(m_bytes.back()) | (isSet << (m_position % bitsPerByte)));
        }
    }

private:
    std::string &m_bytes;
    std::size_t m_position = 0;
};

class BitReader
{
public:
    explicit BitReader(std::string_view bytes) : m_bytes(bytes) { }

    /// Empty if fewer bits are left.
    std::optional<std::uint32_t> next(unsigned bits)
    {
        if (m_position + bits > m_bytes.size() * bitsPerByte) {
            return std::nullopt;
        }
        std::uint32_t result = 0;
        for (unsigned bit = 0; bit < bits; ++bit, ++m_position) {
            const auto byte = static_cast<unsigned char>(m_bytes[m_position / bitsPerByte]);
            result |= ((std::uint32_t{byte} >> (m_position % bitsPerByte)) & 1U) << bit;
        }
        return result;
    }

private:
    std::string_view m_bytes;
    std::size_t m_position = 0;
};

bool contains(const ExpertList &list, std::uint32_t expert)
{
    return std::binary_search(list.begin(), list.end(), expert);
}

/// The largest expert index and one.
std::uint32_t expertCountOf(const ExpertLists &map)
{
    std::uint32_t count = 0;
    for (const auto *list : listsOf(map)) {
        count = list->empty() ? count : std::max(count, list->back() + 1);
    }
    return count;
}

void appendEdit(BitWriter &writer, const ExpertList &before, const ExpertList &after, unsigned expertBits)
{
    writer.append(before != after ? 1 : 0, 1);
    if (before == after) {
        return;
    }
    for (const auto expert : before) {
        writer.append(contains(after, expert) ? 0 : 1, 1);
    }
    for (const auto expert : after) {
        if (!contains(before, expert)) {
            writer.append(1, 1);
            writer.append(expert, expertBits);
        }
    }
    writer.append(0, 1);
}

/// False if the edits end too early.
bool applyEdit(BitReader &reader, ExpertList &list, unsigned expertBits)
{
    const auto isChanged = reader.next(1);
    if (!isChanged || *isChanged == 0) {
        return isChanged.has_value();
    }
    ExpertList result;
    for (const auto expert : list) {
        const auto isRemoved = reader.next(1);
        if (!isRemoved) {
            return false;
        }
        if (*isRemoved == 0) {
            result.push_back(expert);
        }
    }
    auto isAdded = reader.next(1);
    while (isAdded && *isAdded == 1) {
        const auto expert = reader.next(expertBits);
        if (!expert) {
            return false;
        }
        result.push_back(*expert);
        isAdded = reader.next(1);
    }
    std::sort(result.begin(), result.end());
    list = std::move(result);
    return isAdded.has_value();
}

} // namespace

std::uint64_t contentHashOf(const ExpertLists &map)
{
    return core::stableHash(packExperts(map));
}

ExpertLists mapDealtInTurn(std::uint32_t layers, std::uint32_t ranks, std::uint32_t experts)
{
    const bool isPossible
        = ranks > 0 && std::uint64_t{layers} * ranks <= maxLists && std::uint64_t{layers} * experts <= maxPlacements;
    ExpertLists result(isPossible ? layers : 0);
    for (auto &layer : result) {
        layer.resize(ranks);
        for (std::uint32_t expert = 0; expert < experts; ++expert) {
            layer[expert % ranks].push_back(expert);
        }
    }
    return result;
}

MapChange changeBetween(const ExpertLists &base, const ExpertLists &next)
{
    MapChange change;
    change.layers = static_cast<std::uint32_t>(base.size());
    change.ranks = static_cast<std::uint32_t>(base.empty() ? 0 : base.front().size());
    change.experts = expertCountOf(base);
    change.baseHash = contentHashOf(base);
    change.resultHash = contentHashOf(next);
    const auto before = listsOf(base);
    const auto after = listsOf(next);
    const auto expertBits = static_cast<unsigned>(std::bit_width(expertCountOf(next)));
    change.edits.push_back(static_cast<char>(expertBits));
    std::string bits;
    BitWriter writer(bits);
    for (std::size_t index = 0; index < before.size(); ++index) {
        appendEdit(writer, *before[index], *after[index], expertBits);
    }
    change.edits += bits;
    return change;
}

std::optional<ExpertLists> applyChange(const ExpertLists &base, const MapChange &change)
{
    if (change.edits.empty()) {
        return std::nullopt;
    }
    const auto expertBits = static_cast<unsigned>(static_cast<unsigned char>(change.edits.front()));
    if (expertBits > maxExpertBits) {
        return std::nullopt;
    }
    ExpertLists result = base;
    BitReader reader(std::string_view(change.edits).substr(1));
    for (auto *list : listsOf(result)) {
        if (!applyEdit(reader, *list, expertBits)) {
            return std::nullopt;
        }
    }
    return contentHashOf(result) == change.resultHash ? std::optional(std::move(result)) : std::nullopt;
}

void KnownMaps::add(std::shared_ptr<const ExpertLists> map)
{
    const auto hash = contentHashOf(*map);
    std::erase_if(m_maps, [hash](const KnownMap &known) { return known.hash == hash; });
    m_maps.push_back({hash, std::move(map)});
    if (m_maps.size() > maxKnownMaps) {
        m_maps.pop_front();
    }
}

std::shared_ptr<const ExpertLists> KnownMaps::resolve(const MapChange &change) const
{
    if (auto result = find(change.resultHash)) {
        return result;
    }
    const auto base = baseOf(change);
    auto result = base ? applyChange(*base, change) : std::nullopt;
    return result ? std::make_shared<const ExpertLists>(std::move(*result)) : nullptr;
}

std::shared_ptr<const ExpertLists> KnownMaps::baseOf(const MapChange &change) const
{
    if (auto base = find(change.baseHash)) {
        return base;
    }
    auto dealt = mapDealtInTurn(change.layers, change.ranks, change.experts);
    return contentHashOf(dealt) == change.baseHash ? std::make_shared<const ExpertLists>(std::move(dealt)) : nullptr;
}

std::shared_ptr<const ExpertLists> KnownMaps::find(std::uint64_t hash) const
{
    const auto found
        = std::find_if(m_maps.begin(), m_maps.end(), [hash](const KnownMap &known) { return known.hash == hash; });
    return found == m_maps.end() ? nullptr : found->map;
}

} // namespace lycheelanding::rankgroups
