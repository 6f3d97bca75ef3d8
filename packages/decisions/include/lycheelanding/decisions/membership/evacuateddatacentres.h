#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::membership {

struct EvacuationSettings
{
    /// How long an evacuation that is missing after the store came back from an older copy stays in force: operators
    /// repeat what the copy lacks within about two seconds.
    core::Duration repetitionTimeout = std::chrono::milliseconds(2500);
};

/// A request of the operator to send nothing to the backend servers of a data centre.
struct Evacuation
{
    core::DataCentreId dataCentre;
    /// Revision of the store that wrote it.
    std::uint64_t revision = 0;
};

enum class EvacuationEnd : std::uint8_t {
    Removed,
    /// A listing of the store lacks it.
    NotListed,
    /// The store came back from a copy that lacks it, and the operator did not write it again.
    NotRepeated,
};

std::string_view nameOf(EvacuationEnd end);

/// The backend servers of the data centre get no new work.
struct DataCentreEmptied
{
    core::DataCentreId dataCentre;
    std::uint64_t revision = 0;
};
/// The backend servers of the data centre may get new work.
struct DataCentreTakenBack
{
    core::DataCentreId dataCentre;
    /// Revision that ended the evacuation; for an end without one, that of the listing.
    std::uint64_t revision = 0;
    EvacuationEnd reason = EvacuationEnd::Removed;
};
using EvacuationChange = std::variant<DataCentreEmptied, DataCentreTakenBack>;
using EvacuationChanges = std::vector<EvacuationChange>;

/// Determines which data centres are evacuated, from a store that has outages and may come back from an older copy.
/// Within an era of the store the newest revision of each data centre wins, in whatever order they are reported.
/// Without reports the last known state holds.
class EvacuatedDataCentres
{
public:
    explicit EvacuatedDataCentres(const EvacuationSettings &settings) : m_settings(settings) { }

    /// All evacuations of the store, which was at `atRevision` when the listing began.
    EvacuationChanges listed(const std::vector<Evacuation> &evacuations, std::uint64_t atRevision, core::TimePoint now);
    EvacuationChanges written(const Evacuation &evacuation);
    /// The evacuation was removed at its revision.
    EvacuationChanges removed(const Evacuation &evacuation);
    /// The store came back from an older copy: its revisions are not comparable with those known.
    void storeRestored();
    EvacuationChanges tick(core::TimePoint now);

    bool contains(const core::DataCentreId &dataCentre) const { return m_evacuations.contains(dataCentre); }
    std::size_t count() const { return m_evacuations.size(); }

private:
    struct State
    {
        std::uint64_t revision = 0;
        /// The store was restored since it was read, and has not confirmed it yet.
        bool isDoubtful = false;
        /// Set once a listing of the restored store lacks it.
        std::optional<core::TimePoint> repetitionDeadline = std::nullopt;
        /// Revision of that listing.
        std::uint64_t missingAtRevision = 0;
    };

    bool isOutdated(const Evacuation &evacuation) const;
    void apply(const Evacuation &evacuation, EvacuationChanges &changes);
    void applyMissing(const core::DataCentreId &dataCentre, std::uint64_t atRevision, core::TimePoint now,
                      EvacuationChanges &changes);
    void rememberRemoval(const Evacuation &evacuation);

    const EvacuationSettings m_settings;
    std::map<core::DataCentreId, State> m_evacuations;
    /// Revisions of removals that a delayed report of an earlier write may follow.
    std::map<core::DataCentreId, std::uint64_t> m_removals;
};

} // namespace lycheelanding::decisions::membership
