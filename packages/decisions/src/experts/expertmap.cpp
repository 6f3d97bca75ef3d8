#include "lycheelanding/decisions/experts/expertmap.h"

#include <algorithm>

namespace lycheelanding::decisions::experts {

ExpertMap::ExpertMap(const MapShape &shape, core::MapVersion version)
    : m_shape(shape), m_version(version), m_ranks(shape.layers * shape.experts)
{ }

void ExpertMap::addReplica(core::LayerIndex layer, core::ExpertIndex expert, core::RankIndex rank)
{
    auto &ranks = m_ranks[cellIndex(layer, expert)];
    const auto position = std::lower_bound(ranks.begin(), ranks.end(), rank);
    if (position == ranks.end() || *position != rank) {
        ranks.insert(position, rank);
    }
}

void ExpertMap::removeReplica(core::LayerIndex layer, core::ExpertIndex expert, core::RankIndex rank)
{
    std::erase(m_ranks[cellIndex(layer, expert)], rank);
}

void ExpertMap::clearRank(core::RankIndex rank)
{
    for (auto &ranks : m_ranks) {
        std::erase(ranks, rank);
    }
}

const std::vector<core::RankIndex> &ExpertMap::ranksOf(core::LayerIndex layer, core::ExpertIndex expert) const
{
    return m_ranks[cellIndex(layer, expert)];
}

std::vector<core::ExpertIndex> ExpertMap::expertsOn(core::LayerIndex layer, core::RankIndex rank) const
{
    std::vector<core::ExpertIndex> experts;
    for (std::size_t expert = 0; expert < m_shape.experts; ++expert) {
        if (holds({rank, layer, core::ExpertIndex(expert)})) {
            experts.emplace_back(expert);
        }
    }
    return experts;
}

bool ExpertMap::holds(const Placement &placement) const
{
    const auto &ranks = ranksOf(placement.layer, placement.expert);
    return std::binary_search(ranks.begin(), ranks.end(), placement.rank);
}

std::size_t ExpertMap::usedSlots(core::LayerIndex layer, core::RankIndex rank) const
{
    return expertsOn(layer, rank).size();
}

bool ExpertMap::respectsSlots() const
{
    std::vector<std::size_t> used(m_shape.ranks);
    for (std::size_t index = 0; index < m_ranks.size(); ++index) {
        if (index % m_shape.experts == 0) {
            std::fill(used.begin(), used.end(), 0);
        }
        for (const auto rank : m_ranks[index]) {
            if (rank.number() >= m_shape.ranks || ++used[rank.number()] > m_shape.slotsPerRank) {
                return false;
            }
        }
    }
    return true;
}

bool ExpertMap::isComplete() const
{
    const auto hasReplica = [](const auto &ranks) { return !ranks.empty(); };
    return std::all_of(m_ranks.begin(), m_ranks.end(), hasReplica) && respectsSlots();
}

bool ExpertMap::isCompleteOn(const std::vector<core::RankIndex> &available) const
{
    std::vector<bool> isAvailable(m_shape.ranks);
    for (const auto rank : available) {
        if (rank.number() < m_shape.ranks) {
            isAvailable[rank.number()] = true;
        }
    }
    const auto hasAvailable = [&isAvailable](const auto &ranks) {
        return std::any_of(ranks.begin(), ranks.end(),
                           [&isAvailable](auto rank) { return isAvailable[rank.number()]; });
    };
    return respectsSlots() && std::all_of(m_ranks.begin(), m_ranks.end(), hasAvailable);
}

std::size_t ExpertMap::cellIndex(core::LayerIndex layer, core::ExpertIndex expert) const
{
    return layer.number() * m_shape.experts + expert.number();
}

std::vector<Placement> placementsToLoad(const ExpertMap &from, const ExpertMap &to)
{
    std::vector<Placement> loads;
    for (std::size_t layer = 0; layer < to.shape().layers; ++layer) {
        for (std::size_t expert = 0; expert < to.shape().experts; ++expert) {
            for (const auto rank : to.ranksOf(core::LayerIndex(layer), core::ExpertIndex(expert))) {
                const Placement placement{rank, core::LayerIndex(layer), core::ExpertIndex(expert)};
                if (!from.holds(placement)) {
                    loads.push_back(placement);
                }
            }
        }
    }
    std::sort(loads.begin(), loads.end());
    return loads;
}

ExpertMap roundRobinMap(const MapShape &shape, core::MapVersion version)
{
    ExpertMap map(shape, version);
    if (shape.experts == 0 || shape.ranks == 0) {
        return map;
    }
    const std::size_t slots = shape.ranks * std::min(shape.slotsPerRank, shape.experts);
    for (std::size_t layer = 0; layer < shape.layers; ++layer) {
        for (std::size_t slot = 0; slot < slots; ++slot) {
            // Each further round over the experts starts one rank later, so that replicas get different ranks.
            const std::size_t round = slot / shape.experts;
            const std::size_t rank = (slot + round * (shape.experts % shape.ranks == 0 ? 1 : 0)) % shape.ranks;
            map.addReplica(core::LayerIndex(layer), core::ExpertIndex(slot % shape.experts), core::RankIndex(rank));
        }
    }
    return map;
}

} // namespace lycheelanding::decisions::experts
