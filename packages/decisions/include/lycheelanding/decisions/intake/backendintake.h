#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/intake/demandshares.h"
#include "lycheelanding/decisions/intake/rateshare.h"
#include "lycheelanding/decisions/membership/backenddirectory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// What backend servers say in their answers about the requests that they take.
namespace lycheelanding::decisions::intake {

using membership::BackendId;

enum class LimitChange : std::uint8_t {
    None,
    /// The backend server has stated a limit for the first time, or another one than before.
    Stated,
    /// It no longer states one.
    Ended,
};

struct StatedLimit
{
    BackendId backend;
    core::ServiceId service;
    double perSecond = 0.0;
    /// When the answer that states it arrived, at this entry or another one.
    core::TimePoint at;
};

/// A limit that has ended.
struct EndedLimit
{
    core::Duration duration{};
    /// Requests that this entry sent meanwhile.
    std::uint64_t sent = 0;
};

/// How many requests a backend server tolerates while it is cold.
struct ColdRate
{
    /// Requests per second from all entries together.
    double perSecond = 0.0;
    /// In no second may it get more than `perSecond` times `overage`, and `slack` requests.
    double overage = 1.5;
    double slack = 5.0;

    bool operator==(const ColdRate &) const = default;
};

/// A backend server that is cold until then.
struct ColdLimit
{
    BackendId backend;
    core::ServiceId service;
    ColdRate rate;
    core::TimePoint until;
};

/// The limits of requests per second that backend servers state, as one entry knows them, and this entry's shares of
/// them. A limit holds from the answer that states it until an answer without one, to a request that was sent after the
/// last answer that stated it: answers on several connections overtake each other. The limit of a cold backend server
/// holds until a time that is known; where both hold, a request needs a turn of each.
class BackendIntake
{
public:
    explicit BackendIntake(std::uint64_t seed);

    void setPosition(const EntryPosition &position, core::TimePoint now);
    /// A request of the service looks for a backend server.
    void requestArrived(const core::ServiceId &service, core::TimePoint now) { m_demand.requestArrived(service, now); }
    /// This entry's demand for the services with limited or cold backend servers, to be reported to the other entries.
    std::vector<ServiceDemand> demandReports(core::TimePoint now);
    void demandReported(const std::vector<TotalDemand> &totals, core::TimePoint now);
    LimitChange limitStated(const StatedLimit &stated, core::TimePoint now);
    /// An answer states no limit; `sentAt`: when its request was sent.
    std::optional<EndedLimit> noLimitStated(const BackendId &id, core::TimePoint sentAt, core::TimePoint now);
    /// Whether an unreadable statement is to be reported now; what was stated before remains in force.
    bool unreadable(const BackendId &id, core::TimePoint now);
    /// The backend server is cold, or its end of that or its rate has changed.
    void setCold(const ColdLimit &cold, core::TimePoint now);
    void endCold(const BackendId &id) { m_coldLimits.erase(id); }
    bool isCold(const BackendId &id, core::TimePoint now) const;
    /// Whether the backend server's limits allow this entry a request now.
    bool mayReceive(const BackendId &id, core::TimePoint now) const;
    /// Requests that the backend server's limits allow this entry until then; nullopt without one that holds until
    /// then.
    std::optional<std::size_t> allowedUntil(const BackendId &id, core::TimePoint until, core::TimePoint now) const;
    /// This entry's share of the backend server's lowest limit, in requests per second; 0 if it gets no turns.
    double shareOf(const BackendId &id) const;
    void recordSent(const BackendId &id, core::TimePoint now);
    /// Forgets what the backend server has said: it is gone, or another incarnation.
    void remove(const BackendId &id);

    /// Requests per second from all entries together.
    std::optional<double> limitOf(const BackendId &id) const;
    std::size_t limitedCount() const { return m_limits.size(); }

private:
    /// A rate at one backend server that all entries keep together, and this entry's share of it.
    struct SharedLimit
    {
        core::ServiceId service;
        double perSecond = 0.0;
        RateShare share;
    };

    struct Limit : SharedLimit
    {
        core::TimePoint since;
        core::TimePoint lastStated;
        std::uint64_t sent = 0;
        /// When this entry, if it gets no turns, may find out with one request whether the limit has ended.
        core::TimePoint nextProbe = {};
    };

    struct Cold : SharedLimit
    {
        ColdRate rate;
        core::TimePoint until;
    };

    core::Duration probeDelay(const BackendId &id) const;
    /// Another entry is the first one at each backend server.
    static EntryPosition rotated(const EntryPosition &position, const BackendId &id);
    EntryPosition positionAt(const BackendId &id) const;
    SharedRate sharedRate(const BackendId &id, const SharedLimit &limit, core::TimePoint now) const;
    SharedRate sharedRate(const BackendId &id, const Cold &cold, core::TimePoint now) const;
    /// nullptr unless the backend server is cold.
    const Cold *coldLimitOf(const BackendId &id, core::TimePoint now) const;
    std::optional<std::size_t> statedAllowedUntil(const BackendId &id, core::TimePoint until,
                                                  core::TimePoint now) const;
    void updateShares(core::TimePoint now);

    core::RandomSequence m_random;
    EntryPosition m_position;
    bool m_isPositionKnown = false;
    /// Seed of the position that is assumed until the real one is known.
    std::uint64_t m_unknownPosition = 0;
    DemandShares m_demand;
    core::TimePoint m_nextUpdate;
    std::map<BackendId, Limit> m_limits;
    std::map<BackendId, Cold> m_coldLimits;
    std::map<BackendId, core::TimePoint> m_unreadableReports;
};

} // namespace lycheelanding::decisions::intake
