#pragma once

#include <cstdint>
#include <string_view>

/// Hashes that are the same in every process and build, for decisions on which all processes must agree.
namespace lycheelanding::core {

/// 64-bit finaliser with full avalanche (the mixing step of SplitMix64).
std::uint64_t mixBits(std::uint64_t value);

/// FNV-1a over the bytes, finished with mixBits().
std::uint64_t stableHash(std::string_view bytes);

/// Score of `member` for `key` in rendezvous hashing: the member with the highest score is chosen.
std::uint64_t rendezvousScore(std::string_view key, std::string_view member);

} // namespace lycheelanding::core
