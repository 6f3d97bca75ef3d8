#include "experts/private/movesearch.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace lycheelanding::decisions::experts {

namespace {

/// A change below the required gain per cost is accepted down to this factor of it, if later changes compensate for it.
constexpr double lookAheadFactor = 0.25;

/// Merges the last two groups while the later one has the higher gain per cost, so that gain per cost decreases.
void mergeTail(std::vector<ChangeGroup> &groups)
{
    while (groups.size() > 1) {
        auto &last = groups.back();
        auto &previous = groups[groups.size() - 2];
        if (last.gainPerCost() < previous.gainPerCost()) {
            return;
        }
        previous.changes.insert(previous.changes.end(), last.changes.begin(), last.changes.end());
        previous.gain += last.gain;
        previous.cost += last.cost;
        previous.loads += last.loads;
        groups.pop_back();
    }
}

/// Adds the group's loads to `loadsOfRank` unless a rank would exceed `limit`; 0 means no limit. False if one would.
bool fitsRanks(const ChangeGroup &group, std::map<std::size_t, int> &loadsOfRank, int limit)
{
    auto counted = loadsOfRank;
    for (const auto &change : group.changes) {
        for (const auto &edit : change) {
            if (edit.isAdded && ++counted[edit.rank] > limit && limit > 0) {
                return false;
            }
        }
    }
    loadsOfRank = std::move(counted);
    return true;
}

} // namespace

std::vector<ChangeGroup> searchLayer(LayerBalancer balancer, std::size_t layer, const SearchLimits &limits)
{
    std::vector<ChangeGroup> groups;
    int loads = 0;
    while (loads <= limits.loads) {
        const auto best = balancer.bestChange();
        const ChangeGroup group
            = best ? ChangeGroup{layer, {best->change}, best->gain, best->cost, best->loads} : ChangeGroup{};
        if (group.gainPerCost() <= limits.gainPerCost * lookAheadFactor) {
            break;
        }
        balancer.apply(best->change);
        loads += best->loads;
        groups.push_back(group);
        mergeTail(groups);
    }
    return groups;
}

std::vector<ChangeGroup> selectGroups(std::vector<ChangeGroup> groups, const SearchLimits &limits)
{
    std::stable_sort(groups.begin(), groups.end(), [](const ChangeGroup &left, const ChangeGroup &right) {
        return left.gainPerCost() > right.gainPerCost();
    });
    std::vector<ChangeGroup> selected;
    std::map<std::size_t, int> loadsOfRank;
    std::set<std::size_t> skippedLayers;
    int loads = 0;
    for (auto &group : groups) {
        // Later groups of a layer depend on earlier ones, so groups after a skipped one are skipped too.
        if (group.gainPerCost() < limits.gainPerCost || loads + group.loads > limits.loads) {
            break;
        }
        if (skippedLayers.contains(group.layer)) {
            continue;
        }
        if (!fitsRanks(group, loadsOfRank, limits.loadsPerRank)) {
            skippedLayers.insert(group.layer);
            continue;
        }
        loads += group.loads;
        selected.push_back(std::move(group));
    }
    return selected;
}

} // namespace lycheelanding::decisions::experts
