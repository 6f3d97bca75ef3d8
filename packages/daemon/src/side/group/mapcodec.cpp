#include "side/group/mapcodec.h"

#include <nlohmann/json.hpp>

namespace lycheelanding::daemon::side::group {

namespace {

using Json = nlohmann::json;
using decisions::experts::ExpertMap;
using decisions::experts::MapShape;

core::Error unreadable(const std::string &reason)
{
    return core::Error{core::ErrorKind::Internal, "the expert map cannot be read: " + reason};
}

} // namespace

std::string encodeMap(const ExpertMap &map)
{
    Json layers = Json::array();
    for (std::size_t layer = 0; layer < map.shape().layers; ++layer) {
        Json experts = Json::array();
        for (std::size_t expert = 0; expert < map.shape().experts; ++expert) {
            Json ranks = Json::array();
            for (const auto rank : map.ranksOf(core::LayerIndex(layer), core::ExpertIndex(expert))) {
                ranks.push_back(rank.number());
            }
            experts.push_back(std::move(ranks));
        }
        layers.push_back(std::move(experts));
    }
    return Json{{"layers", std::move(layers)}}.dump();
}

core::Result<ExpertMap> decodeMap(const std::string &text, const MapShape &shape, core::MapVersion version)
{
    try {
        const auto layers = Json::parse(text).at("layers").get<std::vector<std::vector<std::vector<std::uint64_t>>>>();
        if (layers.size() != shape.layers) {
            return unreadable("it has " + std::to_string(layers.size()) + " layers");
        }
        ExpertMap map(shape, version);
        for (std::size_t layer = 0; layer < layers.size(); ++layer) {
            if (layers[layer].size() != shape.experts) {
                return unreadable("layer " + std::to_string(layer) + " has another number of experts");
            }
            for (std::size_t expert = 0; expert < shape.experts; ++expert) {
                for (const auto rank : layers[layer][expert]) {
                    if (rank >= shape.ranks) {
                        return unreadable("rank " + std::to_string(rank) + " is not in the group");
                    }
                    map.addReplica(core::LayerIndex(layer), core::ExpertIndex(expert), core::RankIndex(rank));
                }
            }
        }
        return map;
    } catch (const Json::exception &exception) {
        return unreadable(exception.what());
    }
}

} // namespace lycheelanding::daemon::side::group
