#include "lycheelanding/rankgroups/expertlists.h"

#include <limits>
#include <utility>

namespace lycheelanding::rankgroups {

namespace {

/// Each byte holds this many bits of a number, the lowest first; its top bit is set if another byte follows.
constexpr unsigned bitsPerByte = 7;
constexpr std::uint64_t continuationBit = 1U << bitsPerByte;
constexpr std::uint64_t valueMask = continuationBit - 1;

void appendNumber(std::string &bytes, std::uint64_t number)
{
    while (number > valueMask) {
        bytes.push_back(static_cast<char>((number & valueMask) | continuationBit));
        number >>= bitsPerByte;
    }
    bytes.push_back(static_cast<char>(number));
}

std::size_t sizeOfNumber(std::uint64_t number)
{
    std::size_t size = 1;
    while (number > valueMask) {
        number >>= bitsPerByte;
        ++size;
    }
    return size;
}

std::optional<std::uint32_t> takeNumber(std::string_view &bytes)
{
    std::uint64_t number = 0;
    for (unsigned shift = 0; shift <= std::numeric_limits<std::uint32_t>::digits && !bytes.empty();
         shift += bitsPerByte) {
        const std::uint64_t byte = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        number |= (byte & valueMask) << shift;
        if ((byte & continuationBit) == 0) {
            const bool fits = number <= std::numeric_limits<std::uint32_t>::max();
            return fits ? std::optional(static_cast<std::uint32_t>(number)) : std::nullopt;
        }
    }
    return std::nullopt;
}

std::optional<std::uint32_t> takeElement(std::string_view &bytes, std::uint32_t /*element*/)
{
    return takeNumber(bytes);
}

/// Takes a list whose elements are numbers or lists. Each element takes a byte or more, so a length beyond the number
/// of remaining bytes is invalid.
template <typename Element>
std::optional<std::vector<Element>> takeElement(std::string_view &bytes, const std::vector<Element> & /*element*/)
{
    const auto length = takeNumber(bytes);
    if (!length || *length > bytes.size()) {
        return std::nullopt;
    }
    std::vector<Element> result;
    for (std::uint32_t index = 0; index < *length; ++index) {
        auto element = takeElement(bytes, Element());
        if (!element) {
            return std::nullopt;
        }
        result.push_back(std::move(*element));
    }
    return result;
}

} // namespace

std::string packExperts(const ExpertLists &experts)
{
    std::string bytes;
    bytes.reserve(packedSize(experts));
    appendNumber(bytes, experts.size());
    for (const auto &layer : experts) {
        appendNumber(bytes, layer.size());
        for (const auto &rank : layer) {
            appendNumber(bytes, rank.size());
            for (const auto expert : rank) {
                appendNumber(bytes, expert);
            }
        }
    }
    return bytes;
}

std::size_t packedSize(const ExpertLists &experts)
{
    std::size_t size = sizeOfNumber(experts.size());
    for (const auto &layer : experts) {
        size += sizeOfNumber(layer.size());
        for (const auto &rank : layer) {
            size += sizeOfNumber(rank.size());
            for (const auto expert : rank) {
                size += sizeOfNumber(expert);
            }
        }
    }
    return size;
}

std::optional<ExpertLists> unpackExperts(std::string_view bytes)
{
    auto experts = takeElement(bytes, ExpertLists());
    return bytes.empty() ? std::move(experts) : std::nullopt;
}

} // namespace lycheelanding::rankgroups
