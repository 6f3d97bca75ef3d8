#include "lycheelanding/decisions/membership/entrysubset.h"

#include "lycheelanding/core/stablehash.h"

#include <algorithm>
#include <cstdint>
#include <numeric>

namespace lycheelanding::decisions::membership {

namespace {

/// Indices of `candidates`, those that `chooser` prefers first.
std::vector<std::size_t> preferenceOrder(const SubsetMember &chooser, std::span<const SubsetMember> candidates)
{
    struct Score
    {
        bool isRemote;
        std::uint64_t score;
    };
    std::vector<Score> scores;
    scores.reserve(candidates.size());
    for (const SubsetMember &candidate : candidates) {
        scores.push_back(
            {candidate.dataCentre != chooser.dataCentre, core::rendezvousScore(chooser.name, candidate.name)});
    }
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        if (scores[left].isRemote != scores[right].isRemote) {
            return scores[right].isRemote;
        }
        if (scores[left].score != scores[right].score) {
            return scores[left].score > scores[right].score;
        }
        return candidates[left].name < candidates[right].name;
    });
    return order;
}

/// Indices sorted by name, independent of the order of `members`.
std::vector<std::size_t> canonicalOrder(std::span<const SubsetMember> members)
{
    std::vector<std::size_t> order(members.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
              [&](std::size_t left, std::size_t right) { return members[left].name < members[right].name; });
    return order;
}

std::size_t entriesPerBackend(std::size_t entries, std::size_t backends, const SubsetSettings &settings)
{
    const std::size_t forTarget = (settings.targetSize * entries + backends - 1) / backends;
    return std::min(entries, std::max(settings.minEntriesPerBackend, forTarget));
}

/// Returns the backend servers that select `localEntry`. Each backend server selects one entry per round, so that every
/// one is selected once before any is selected twice: none is left out when `maxSize` is too small for all rounds.
std::vector<std::size_t> backendsChoosing(const SubsetMember &localEntry, std::span<const SubsetMember> entries,
                                          std::span<const SubsetMember> backends, const SubsetSettings &settings)
{
    std::vector<std::vector<std::size_t>> preferences;
    preferences.reserve(backends.size());
    for (const SubsetMember &backend : backends) {
        preferences.push_back(preferenceOrder(backend, entries));
    }
    const std::vector<std::size_t> backendOrder = canonicalOrder(backends);
    std::vector<std::size_t> sizes(entries.size(), 0);
    std::vector<std::size_t> positions(backends.size(), 0);
    std::vector<std::size_t> subset;
    const std::size_t perBackend = entriesPerBackend(entries.size(), backends.size(), settings);
    for (std::size_t round = 0; round < perBackend; ++round) {
        for (const std::size_t backend : backendOrder) {
            std::size_t &position = positions[backend];
            while (position < entries.size() && sizes[preferences[backend][position]] >= settings.maxSize) {
                ++position;
            }
            if (position == entries.size()) {
                continue;
            }
            const std::size_t entry = preferences[backend][position++];
            ++sizes[entry];
            if (entries[entry].name == localEntry.name) {
                subset.push_back(backend);
            }
        }
    }
    return subset;
}

} // namespace

std::vector<std::size_t> entrySubset(const SubsetMember &localEntry, std::span<const SubsetMember> entries,
                                     std::span<const SubsetMember> backends, const SubsetSettings &settings)
{
    if (backends.empty()) {
        return {};
    }
    std::vector<std::size_t> subset = backendsChoosing(localEntry, entries, backends, settings);
    const std::size_t wanted = std::min({settings.targetSize, settings.maxSize, backends.size()});
    if (subset.size() < wanted) {
        for (const std::size_t backend : preferenceOrder(localEntry, backends)) {
            if (subset.size() >= wanted) {
                break;
            }
            if (std::find(subset.begin(), subset.end(), backend) == subset.end()) {
                subset.push_back(backend);
            }
        }
    }
    std::sort(subset.begin(), subset.end());
    return subset;
}

} // namespace lycheelanding::decisions::membership
