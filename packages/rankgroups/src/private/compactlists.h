#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Lists of numbers in few bytes: seven bits of a number per byte, the lowest first, and the eighth bit set on all
/// bytes but the last. A list is its length and its numbers.
namespace lycheelanding::rankgroups {

void appendNumber(std::string &bytes, std::uint64_t number);
void appendList(std::string &bytes, const std::vector<std::uint32_t> &list);
void appendLists(std::string &bytes, const std::vector<std::vector<std::uint32_t>> &lists);
/// A list of numbers most of which are below 15: these take half a byte each.
void appendSmallNumbers(std::string &bytes, const std::vector<std::uint32_t> &list);

/// Reads what the functions above have appended. The memory that a list takes is bounded by the number of bytes that
/// are there, whatever length they claim.
class CompactReader
{
public:
    /// `bytes` must outlive the reader.
    explicit CompactReader(std::string_view bytes) : m_bytes(bytes) { }

    // Empty if the bytes are invalid or end too early; the reader is of no use then.
    std::optional<std::uint64_t> number();
    std::optional<std::vector<std::uint32_t>> list();
    std::optional<std::vector<std::vector<std::uint32_t>>> lists();
    std::optional<std::vector<std::uint32_t>> smallNumbers();

    /// The length of a list whose items take a byte or more each.
    std::optional<std::size_t> length();

    bool isAtEnd() const { return m_bytes.empty(); }

private:
    std::string_view m_bytes;
};

} // namespace lycheelanding::rankgroups
