#include "private/compactlists.h"

#include <limits>
#include <utility>

namespace lycheelanding::rankgroups {

namespace {

constexpr unsigned bitsPerByte = 7;
constexpr std::uint64_t continued = 1U << bitsPerByte;
constexpr std::uint64_t lowBits = continued - 1;
constexpr unsigned numberBits = std::numeric_limits<std::uint64_t>::digits;

constexpr unsigned bitsPerHalfByte = 4;
/// Half byte of a number that does not fit into it: what remains follows three bits at a time, the lowest first, with
/// the fourth bit set on all half bytes but the last.
constexpr std::uint32_t escaped = 15;
constexpr unsigned bitsPerGroup = 3;
constexpr std::uint32_t groupContinued = 1U << bitsPerGroup;
constexpr std::uint32_t groupBits = groupContinued - 1;
constexpr unsigned smallNumberBits = std::numeric_limits<std::uint32_t>::digits;

class HalfByteWriter
{
public:
    explicit HalfByteWriter(std::string &bytes) : m_bytes(bytes) { }

    void append(std::uint32_t half)
    {
        if (std::exchange(m_isInByte, !m_isInByte)) {
            m_bytes.back() = static_cast<char>(static_cast<unsigned char>(m_bytes.back()) | (half << bitsPerHalfByte));
        } else {
            m_bytes.push_back(static_cast<char>(half));
        }
    }

private:
    std::string &m_bytes;
    bool m_isInByte = false;
};

class HalfByteReader
{
public:
    explicit HalfByteReader(std::string_view bytes) : m_bytes(bytes) { }

    std::optional<std::uint32_t> next()
    {
        if (m_position / 2 >= m_bytes.size()) {
            return std::nullopt;
        }
        const auto byte = static_cast<std::uint32_t>(static_cast<unsigned char>(m_bytes[m_position / 2]));
        return m_position++ % 2 == 0 ? byte & escaped : byte >> bitsPerHalfByte;
    }

    std::optional<std::uint32_t> number()
    {
        const auto first = next();
        if (!first || *first < escaped) {
            return first;
        }
        std::uint32_t result = 0;
        for (unsigned shift = 0; shift < smallNumberBits; shift += bitsPerGroup) {
            const auto group = next();
            if (!group) {
                return std::nullopt;
            }
            const std::uint32_t bits = *group & groupBits;
            if ((bits << shift) >> shift != bits) {
                return std::nullopt;
            }
            result |= bits << shift;
            if (*group < groupContinued) {
                return result <= std::numeric_limits<std::uint32_t>::max() - escaped ? std::optional(result + escaped)
                                                                                     : std::nullopt;
            }
        }
        return std::nullopt;
    }

    std::size_t readBytes() const { return (m_position + 1) / 2; }

private:
    std::string_view m_bytes;
    std::size_t m_position = 0;
};

} // namespace

void appendSmallNumbers(std::string &bytes, const std::vector<std::uint32_t> &list)
{
    appendNumber(bytes, list.size());
    HalfByteWriter writer(bytes);
    for (const auto number : list) {
        if (number < escaped) {
            writer.append(number);
            continue;
        }
        writer.append(escaped);
        auto rest = number - escaped;
        for (; rest >= groupContinued; rest >>= bitsPerGroup) {
            writer.append((rest & groupBits) | groupContinued);
        }
        writer.append(rest);
    }
}

void appendNumber(std::string &bytes, std::uint64_t number)
{
    for (; number >= continued; number >>= bitsPerByte) {
        bytes.push_back(static_cast<char>((number & lowBits) | continued));
    }
    bytes.push_back(static_cast<char>(number));
}

void appendList(std::string &bytes, const std::vector<std::uint32_t> &list)
{
    appendNumber(bytes, list.size());
    for (const auto number : list) {
        appendNumber(bytes, number);
    }
}

void appendLists(std::string &bytes, const std::vector<std::vector<std::uint32_t>> &lists)
{
    appendNumber(bytes, lists.size());
    for (const auto &list : lists) {
        appendList(bytes, list);
    }
}

std::optional<std::uint64_t> CompactReader::number()
{
    std::uint64_t result = 0;
    for (unsigned shift = 0; shift < numberBits && !m_bytes.empty(); shift += bitsPerByte) {
        const auto byte = static_cast<std::uint64_t>(static_cast<unsigned char>(m_bytes.front()));
        m_bytes.remove_prefix(1);
        const std::uint64_t bits = byte & lowBits;
        if ((bits << shift) >> shift != bits) {
            return std::nullopt;
        }
        result |= bits << shift;
        if (byte < continued) {
            return result;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> CompactReader::length()
{
    const auto result = number();
    return result && *result <= m_bytes.size() ? std::optional<std::size_t>(*result) : std::nullopt;
}

std::optional<std::vector<std::uint32_t>> CompactReader::list()
{
    const auto size = length();
    if (!size) {
        return std::nullopt;
    }
    std::vector<std::uint32_t> result;
    result.reserve(*size);
    while (result.size() < *size) {
        const auto item = number();
        if (!item || *item > std::numeric_limits<std::uint32_t>::max()) {
            return std::nullopt;
        }
        result.push_back(static_cast<std::uint32_t>(*item));
    }
    return result;
}

std::optional<std::vector<std::uint32_t>> CompactReader::smallNumbers()
{
    const auto size = number();
    if (!size || *size > 2 * m_bytes.size()) {
        return std::nullopt;
    }
    std::vector<std::uint32_t> result;
    result.reserve(*size);
    HalfByteReader reader(m_bytes);
    while (result.size() < *size) {
        const auto item = reader.number();
        if (!item) {
            return std::nullopt;
        }
        result.push_back(*item);
    }
    m_bytes.remove_prefix(reader.readBytes());
    return result;
}

std::optional<std::vector<std::vector<std::uint32_t>>> CompactReader::lists()
{
    const auto size = length();
    if (!size) {
        return std::nullopt;
    }
    std::vector<std::vector<std::uint32_t>> result;
    result.reserve(*size);
    while (result.size() < *size) {
        auto item = list();
        if (!item) {
            return std::nullopt;
        }
        result.push_back(std::move(*item));
    }
    return result;
}

} // namespace lycheelanding::rankgroups
