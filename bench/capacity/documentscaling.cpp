#include "scaling.h"

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/configuration/configurationpatch.h"

#include <nlohmann/json.hpp>

namespace lycheelanding::bench::capacity {

namespace {

using Json = nlohmann::json;

constexpr std::size_t models = 14;
constexpr std::size_t ranksPerGroup = 64;
constexpr std::size_t ranksPerVm = 8;

/// A configuration document with the given numbers of organisations and of rank groups, each of 64 ranks on 8 VMs.
std::string configurationText(std::size_t organisations, std::size_t groups)
{
    Json document{{"organisations", Json::array()},
                  {"models", Json::array()},
                  {"groups", Json::array()},
                  {"services", Json::array()}};
    for (std::size_t number = 0; number < organisations; ++number) {
        document["organisations"].push_back(
            {{"id", "organisation-" + std::to_string(number)}, {"weight", 1.0}, {"maxInFlight", 100}});
    }
    for (std::size_t number = 0; number < models; ++number) {
        document["models"].push_back({{"id", "model-" + std::to_string(number)}, {"version", "1"}});
    }
    std::size_t vm = 0;
    for (std::size_t number = 0; number < groups; ++number) {
        Json ranks = Json::array();
        for (std::size_t rank = 0; rank < ranksPerGroup; ++rank) {
            ranks.push_back({{"rank", rank}, {"vm", "worker-" + std::to_string(vm + rank / ranksPerVm)}});
        }
        vm += ranksPerGroup / ranksPerVm;
        document["groups"].push_back({{"id", "group-" + std::to_string(number)},
                                      {"model", "model-" + std::to_string(number % models)},
                                      {"modelVersion", "1"},
                                      {"expertLayers", 60},
                                      {"experts", 64},
                                      {"slotsPerRank", 2},
                                      {"ranks", ranks}});
    }
    return document.dump();
}

} // namespace

std::vector<ScalingRow> measureDocuments()
{
    constexpr double bytesPerKilobyte = 1000.0;
    constexpr double microsecondsPerMillisecond = 1000.0;
    std::vector<ScalingRow> rows;
    struct DocumentSize
    {
        std::size_t organisations;
        std::size_t groups;
    };
    for (const auto &[organisations, groups] : {DocumentSize{10, 2}, DocumentSize{100, 25}, DocumentSize{390, 100}}) {
        const auto text = configurationText(organisations, groups);
        rows.push_back({"document, by organisations (and groups / 4)", organisations,
                        static_cast<double>(text.size()) / bytesPerKilobyte, "kB"});
        rows.push_back({"document parsed and checked", organisations,
                        microsecondsPerCall([&] { configuration::parseDocument(text); }) / microsecondsPerMillisecond,
                        "ms"});
        const std::string patch = R"([{"op":"replace","path":"/organisations/0/weight","value":2.0}])";
        rows.push_back(
            {"patch applied and checked", organisations,
             microsecondsPerCall([&] { configuration::applyPatch(text, patch); }) / microsecondsPerMillisecond, "ms"});
    }
    return rows;
}

} // namespace lycheelanding::bench::capacity
