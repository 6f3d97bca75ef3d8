#include "private/compactlists.h"

#include <limits>
#include <utility>

namespace lycheelanding::rankgroups {

namespace {

constexpr unsigned bitsPerByte = 7;
constexpr std::uint64_t continued = 1U << bitsPerByte;
constexpr std::uint64_t lowBits = continued - 1;
constexpr unsigned numberBits = std::numeric_limits<std::uint64_t>::digits;

} // namespace

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
