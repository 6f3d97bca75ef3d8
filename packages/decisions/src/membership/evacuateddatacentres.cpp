#include "lycheelanding/decisions/membership/evacuateddatacentres.h"

#include "lycheelanding/core/nametable.h"

#include <algorithm>
#include <array>
#include <set>

namespace lycheelanding::decisions::membership {

namespace {

/// Removals remembered between two listings. Deployments have a few data centres; the bound limits the memory that
/// other names can take.
constexpr std::size_t maxRemovals = 64;

constexpr std::array<core::NameEntry<EvacuationEnd>, 3> endNames{{
    {EvacuationEnd::Removed, "removed"},
    {EvacuationEnd::NotListed, "notListed"},
    {EvacuationEnd::NotRepeated, "notRepeated"},
}};

} // namespace

std::string_view nameOf(EvacuationEnd end)
{
    return core::nameIn(endNames, end);
}

EvacuationChanges EvacuatedDataCentres::listed(const std::vector<Evacuation> &evacuations, std::uint64_t atRevision,
                                               core::TimePoint now)
{
    EvacuationChanges changes;
    std::set<core::DataCentreId> present;
    for (const auto &evacuation : evacuations) {
        present.insert(evacuation.dataCentre);
        apply(evacuation, changes);
    }
    std::vector<core::DataCentreId> missing;
    for (const auto &[dataCentre, state] : m_evacuations) {
        if (!present.contains(dataCentre)) {
            missing.push_back(dataCentre);
        }
    }
    for (const auto &dataCentre : missing) {
        applyMissing(dataCentre, atRevision, now, changes);
    }
    // The watch that follows the listing reports later changes only.
    std::erase_if(m_removals, [atRevision](const auto &item) { return item.second <= atRevision; });
    return changes;
}

EvacuationChanges EvacuatedDataCentres::written(const Evacuation &evacuation)
{
    EvacuationChanges changes;
    apply(evacuation, changes);
    return changes;
}

EvacuationChanges EvacuatedDataCentres::removed(const Evacuation &evacuation)
{
    if (isOutdated(evacuation)) {
        return {};
    }
    rememberRemoval(evacuation);
    if (m_evacuations.erase(evacuation.dataCentre) == 0) {
        return {};
    }
    return {DataCentreTakenBack{evacuation.dataCentre, evacuation.revision, EvacuationEnd::Removed}};
}

void EvacuatedDataCentres::storeRestored()
{
    m_removals.clear();
    for (auto &item : m_evacuations) {
        item.second = State{0, true};
    }
}

EvacuationChanges EvacuatedDataCentres::tick(core::TimePoint now)
{
    EvacuationChanges changes;
    std::erase_if(m_evacuations, [&changes, now](const auto &item) {
        const auto &[dataCentre, state] = item;
        const bool isOver = state.repetitionDeadline && now >= *state.repetitionDeadline;
        if (isOver) {
            changes.emplace_back(DataCentreTakenBack{dataCentre, state.missingAtRevision, EvacuationEnd::NotRepeated});
        }
        return isOver;
    });
    return changes;
}

bool EvacuatedDataCentres::isOutdated(const Evacuation &evacuation) const
{
    const auto known = m_evacuations.find(evacuation.dataCentre);
    const auto removal = m_removals.find(evacuation.dataCentre);
    return (known != m_evacuations.end() && evacuation.revision < known->second.revision)
        || (removal != m_removals.end() && evacuation.revision <= removal->second);
}

void EvacuatedDataCentres::apply(const Evacuation &evacuation, EvacuationChanges &changes)
{
    if (isOutdated(evacuation)) {
        return;
    }
    m_removals.erase(evacuation.dataCentre);
    const auto isNew = m_evacuations.insert_or_assign(evacuation.dataCentre, State{evacuation.revision}).second;
    if (isNew) {
        changes.emplace_back(DataCentreEmptied{evacuation.dataCentre, evacuation.revision});
    }
}

void EvacuatedDataCentres::applyMissing(const core::DataCentreId &dataCentre, std::uint64_t atRevision,
                                        core::TimePoint now, EvacuationChanges &changes)
{
    auto &state = m_evacuations.at(dataCentre);
    if (state.isDoubtful) {
        // Counted from the first listing: while the store is away after it was restored, nothing can be repeated.
        if (!state.repetitionDeadline) {
            state.repetitionDeadline = now + m_settings.repetitionTimeout;
            state.missingAtRevision = atRevision;
        }
        return;
    }
    // An older listing lacks what was written later.
    if (atRevision < state.revision) {
        return;
    }
    m_evacuations.erase(dataCentre);
    changes.emplace_back(DataCentreTakenBack{dataCentre, atRevision, EvacuationEnd::NotListed});
}

void EvacuatedDataCentres::rememberRemoval(const Evacuation &evacuation)
{
    m_removals[evacuation.dataCentre] = evacuation.revision;
    if (m_removals.size() > maxRemovals) {
        m_removals.erase(
            std::min_element(m_removals.begin(), m_removals.end(),
                             [](const auto &left, const auto &right) { return left.second < right.second; }));
    }
}

} // namespace lycheelanding::decisions::membership
