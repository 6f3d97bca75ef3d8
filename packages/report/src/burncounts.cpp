#include "lycheelanding/report/burncounts.h"

#include "lycheelanding/core/nametable.h"

#include <nlohmann/json.hpp>

namespace lycheelanding::report {

namespace {

using core::NameEntry;

constexpr std::array<NameEntry<BurnWindow>, burnWindowCount> windowNames{{
    {BurnWindow::FastShort, "5m"},
    {BurnWindow::FastLong, "1h"},
    {BurnWindow::SlowShort, "6h"},
    {BurnWindow::SlowLong, "3d"},
}};

constexpr std::array<NameEntry<Indicator>, indicatorCount> indicatorNames{{
    {Indicator::Availability, "availability"},
    {Indicator::FirstToken, "firstToken"},
    {Indicator::BetweenTokens, "betweenTokens"},
}};

constexpr std::array<NameEntry<TargetKind>, 2> kindNames{{
    {TargetKind::Service, "service"},
    {TargetKind::Model, "model"},
}};

nlohmann::json jsonOf(const WindowCounts &counts)
{
    auto json = nlohmann::json::array();
    for (const auto &count : counts) {
        json.push_back({count.bad, count.total});
    }
    return json;
}

WindowCounts windowCountsOf(const nlohmann::json &json)
{
    WindowCounts counts;
    for (std::size_t window = 0; window < burnWindowCount; ++window) {
        counts[window] = {json.at(window).at(0).get<std::uint64_t>(), json.at(window).at(1).get<std::uint64_t>()};
    }
    return counts;
}

BurnKey keyOf(const nlohmann::json &json)
{
    const auto kind = json.contains(nameOf(TargetKind::Service)) ? TargetKind::Service : TargetKind::Model;
    return {kind, json.at(std::string(nameOf(kind))).get<std::string>(),
            core::OrganisationId(json.at("organisation").get<std::string>())};
}

} // namespace

std::string_view nameOf(BurnWindow window)
{
    return core::nameIn(windowNames, window);
}

std::string_view nameOf(Indicator indicator)
{
    return core::nameIn(indicatorNames, indicator);
}

std::string_view nameOf(TargetKind kind)
{
    return core::nameIn(kindNames, kind);
}

std::chrono::minutes lengthOf(BurnWindow window)
{
    using namespace std::chrono_literals;
    constexpr std::array<std::chrono::minutes, burnWindowCount> lengths{5min, 60min, 6 * 60min, 3 * 24 * 60min};
    return lengths[static_cast<std::size_t>(window)];
}

void merge(BurnCounts &counts, const BurnCounts &other)
{
    for (const auto &[key, added] : other.series) {
        auto &sum = counts.series[key];
        for (std::size_t indicator = 0; indicator < indicatorCount; ++indicator) {
            for (std::size_t window = 0; window < burnWindowCount; ++window) {
                sum[indicator][window].bad += added[indicator][window].bad;
                sum[indicator][window].total += added[indicator][window].total;
            }
        }
    }
}

std::string toJson(const BurnCounts &counts)
{
    auto series = nlohmann::json::array();
    for (const auto &[key, indicators] : counts.series) {
        nlohmann::json item{{nameOf(key.kind), key.target}, {"organisation", key.organisation.text()}};
        for (const auto &indicator : indicatorNames) {
            item[std::string(indicator.name)] = jsonOf(indicators[static_cast<std::size_t>(indicator.value)]);
        }
        series.push_back(std::move(item));
    }
    return nlohmann::json{{"series", std::move(series)}}.dump();
}

core::Result<BurnCounts> burnCountsFromJson(std::string_view text)
{
    try {
        BurnCounts counts;
        const auto json = nlohmann::json::parse(text);
        for (const auto &item : json.at("series")) {
            IndicatorCounts indicators;
            for (const auto &indicator : indicatorNames) {
                const auto &windows = item.at(std::string(indicator.name));
                indicators[static_cast<std::size_t>(indicator.value)] = windowCountsOf(windows);
            }
            counts.series[keyOf(item)] = indicators;
        }
        return counts;
    } catch (const nlohmann::json::exception &exception) {
        return core::Error{core::ErrorKind::Internal, std::string("no burn counts: ") + exception.what()};
    }
}

} // namespace lycheelanding::report
