#include "lycheelanding/forwarding/backendset.h"
#include "lycheelanding/forwarding/refusal.h"

#include <chrono>

namespace lycheelanding::forwarding {

namespace {

/// Retry delay of requests that evacuations refuse. The end of an evacuation is not known; the delay limits the
/// requests that callers repeat in vain, and the time for which they stay away after it.
constexpr std::chrono::milliseconds retryAfterEvacuation{1000};

} // namespace

void BackendSet::apply(const decisions::membership::EvacuationChanges &changes)
{
    for (const auto &change : changes) {
        if (const auto *emptied = std::get_if<decisions::membership::DataCentreEmptied>(&change)) {
            m_evacuated.insert(emptied->dataCentre);
        } else {
            m_evacuated.erase(std::get<decisions::membership::DataCentreTakenBack>(change).dataCentre);
        }
    }
    if (!changes.empty()) {
        updateCandidates();
    }
}

std::optional<core::Error> BackendSet::evacuationError(const core::ServiceId &service,
                                                       std::string_view attemptName) const
{
    if (m_evacuated.empty()) {
        return std::nullopt;
    }
    bool isKnownService = false;
    for (const auto &[id, backend] : m_backends) {
        if (backend.service != service) {
            continue;
        }
        if (!isEvacuated(backend)) {
            return std::nullopt;
        }
        isKnownService = true;
    }
    if (!isKnownService) {
        return std::nullopt;
    }
    return core::Error{core::ErrorKind::DataCentresEvacuated, "all backend servers are in evacuated data centres",
                       spreadRetryAfter(retryAfterEvacuation, attemptName)};
}

std::optional<core::Error> BackendSet::unservableError(const core::ServiceId &service, const WaitLimits &limits,
                                                       std::string_view attemptName, core::TimePoint now) const
{
    const auto evacuated = evacuationError(service, attemptName);
    return evacuated ? evacuated : turnAwayError(service, limits, attemptName, now);
}

} // namespace lycheelanding::forwarding
