#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/result.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lycheelanding::report {

/// Windows over which the burn rate is measured; each kind of alert uses a short and a long window together.
enum class BurnWindow : std::uint8_t {
    FastShort,
    FastLong,
    SlowShort,
    SlowLong,
};

/// Service level indicators for which an objective sets targets.
enum class Indicator : std::uint8_t {
    Availability,
    FirstToken,
    BetweenTokens,
};

inline constexpr std::size_t burnWindowCount = 4;
inline constexpr std::size_t indicatorCount = 3;

std::string_view nameOf(BurnWindow window);
std::string_view nameOf(Indicator indicator);
std::chrono::minutes lengthOf(BurnWindow window);

enum class TargetKind : std::uint8_t {
    Service,
    Model,
};

std::string_view nameOf(TargetKind kind);

/// Identifies the requests of one organisation to one service or model.
struct BurnKey
{
    TargetKind kind = TargetKind::Service;
    std::string target;
    core::OrganisationId organisation;

    // clang-tidy 14 takes the 0 of the defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const BurnKey &) const = default;
};

struct BurnCount
{
    std::uint64_t bad = 0;
    std::uint64_t total = 0;

    bool operator==(const BurnCount &) const = default;
};

using WindowCounts = std::array<BurnCount, burnWindowCount>;
using IndicatorCounts = std::array<WindowCounts, indicatorCount>;

/// Counts of one entry, or the sums of several entries.
struct BurnCounts
{
    std::map<BurnKey, IndicatorCounts> series;

    bool operator==(const BurnCounts &) const = default;
};

/// Adds `other` to `counts`; the order of additions does not matter.
void merge(BurnCounts &counts, const BurnCounts &other);

/// The body of GET /burn: {"series": [{"service" or "model", "organisation", and per indicator [[bad, total] for each
/// window]}]}.
std::string toJson(const BurnCounts &counts);
/// Fails with Internal when `text` is something else.
core::Result<BurnCounts> burnCountsFromJson(std::string_view text);

} // namespace lycheelanding::report
