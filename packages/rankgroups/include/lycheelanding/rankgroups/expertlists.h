#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheelanding::rankgroups {

/// Expert indices of a map by layer and rank.
using ExpertLists = std::vector<std::vector<std::vector<std::uint32_t>>>;

/// Compact encoding: each length and each index takes one byte up to 127, two bytes up to 16383, and so on.
std::string packExperts(const ExpertLists &experts);
/// Empty if the bytes are no complete encoding. Allocates in proportion to the number of bytes, whatever lengths they
/// claim.
std::optional<ExpertLists> unpackExperts(std::string_view bytes);

} // namespace lycheelanding::rankgroups
