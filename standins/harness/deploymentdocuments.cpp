#include "harness/deploymentdocuments.h"

namespace lycheelanding::harness {

namespace {

using Json = nlohmann::json;

Json groupDocument(const DeploymentPlan &plan, const std::vector<SideNode> &sides)
{
    Json ranks = Json::array();
    std::size_t rank = 0;
    for (const auto &side : sides) {
        if (side.backendKind != "engine") {
            continue;
        }
        for (std::size_t local = 0; local < plan.ranksPerEngine; ++local) {
            ranks.push_back({{"rank", rank++}, {"vm", side.vm}});
        }
    }
    return {{"id", "drafting-1"},      {"model", "drafting"},
            {"modelVersion", "1"},     {"expertLayers", groupLayers},
            {"experts", groupExperts}, {"slotsPerRank", groupSlotsPerRank},
            {"ranks", ranks}};
}

Json serviceDocument(const std::vector<SideNode> &sides)
{
    Json vms = Json::array();
    for (const auto &side : sides) {
        if (side.backendKind == "plain") {
            vms.push_back(side.vm);
        }
    }
    return {{"id", "orders"},
            {"pathPrefix", "/run"},
            {"vms", vms},
            {"nonIdempotentRoutes", {{{"method", "POST"}, {"pathPrefix", "/run"}}}}};
}

} // namespace

Json initialConfiguration(const DeploymentPlan &plan, const std::vector<SideNode> &sides)
{
    Json document{{"organisations",
                   {{{"id", "fabricators"}, {"weight", 2.0}, {"maxInFlight", 256}},
                    {{"id", "restorers"}, {"weight", 1.0}, {"maxInFlight", 256}}}},
                  {"models", Json::array()},
                  {"groups", Json::array()},
                  {"services", Json::array()}};
    if (plan.engines > 0) {
        document["models"].push_back({{"id", "drafting"}, {"version", "1"}});
        document["groups"].push_back(groupDocument(plan, sides));
        for (const auto &side : sides) {
            if (side.backendKind == "engine") {
                document["backendServers"].push_back({{"vm", side.vm}, {"honoursFencing", plan.honoursFencing}});
            }
        }
    }
    if (plan.plainServices > 0) {
        document["services"].push_back(serviceDocument(sides));
    }
    document.merge_patch(plan.configuration);
    return document;
}

Json engineSettings(const DeploymentPlan &plan, std::size_t index, const std::string &rankZeroAddress,
                    const std::string &weightStoreUrl)
{
    Json ranks = Json::array();
    for (std::size_t local = 0; local < plan.ranksPerEngine; ++local) {
        ranks.push_back(index * plan.ranksPerEngine + local);
    }
    Json settings{{"group", "drafting-1"},
                  {"ranks", ranks},
                  {"groupSize", plan.engines * plan.ranksPerEngine},
                  {"rankZero", rankZeroAddress},
                  {"experts", groupExperts},
                  {"layers", groupLayers},
                  {"slotsPerRank", groupSlotsPerRank},
                  {"stepMs", 2},
                  {"honoursFencing", plan.honoursFencing},
                  {"weightStore", weightStoreUrl},
                  {"loadLagMs", 100},
                  {"model", "drafting"},
                  {"modelVersion", "1"}};
    settings.merge_patch(plan.engineSettings);
    return settings;
}

std::string dataCentreOf(std::size_t index)
{
    const std::vector<std::string> dataCentres{"kolkata-a", "kolkata-b", "durgapur"};
    return dataCentres[index % dataCentres.size()];
}

} // namespace lycheelanding::harness
