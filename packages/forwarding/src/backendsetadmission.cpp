#include "lycheelanding/forwarding/backendset.h"
#include "lycheelanding/forwarding/percent.h"

#include <algorithm>
#include <cstddef>

namespace lycheelanding::forwarding {

namespace {

/// Maximum pass duration in percent of the maximum event interval where only requests in time are admitted: the peak
/// duration covers the causes of longer passes but those that vary from pass to pass.
constexpr int maxPeakPassPercent = 97;
/// Fraction of the slots that is used whatever the peak: with less, more requests are refused than answered late.
constexpr double minInTimeCapacityFraction = 0.5;

struct GroupLoad
{
    double running = 0.0;
    std::size_t ranks = 0;
    const RegisteredBackend *firstRank = nullptr;
};

} // namespace

std::optional<double> BackendSet::inTimeCapacityOf(const RegisteredBackend &backend, const core::GroupId &group,
                                                   core::Duration maxEventInterval, core::TimePoint now) const
{
    const auto passModel = m_passModels.find(group);
    if (!admitsInTimeOnly(backend.service) || maxEventInterval <= core::Duration::zero()
        || passModel == m_passModels.end() || backend.slots == 0) {
        return std::nullopt;
    }
    const auto slots = static_cast<double>(backend.slots);
    const auto limit = passModel->second.maxRunningAtPeak(percentOf(maxEventInterval, maxPeakPassPercent), now);
    return limit ? std::optional(std::clamp(*limit, slots * minInTimeCapacityFraction, slots)) : std::nullopt;
}

bool BackendSet::hasInTimeLimit(const core::ServiceId &service, core::Duration maxEventInterval,
                                core::TimePoint now) const
{
    return admitsInTimeOnly(service) && std::any_of(m_backends.begin(), m_backends.end(), [&](const auto &item) {
               return item.second.service == service
                   && inTimeCapacityOf(item.second, groupOf(item.first), maxEventInterval, now);
           });
}

std::set<core::GroupId> BackendSet::fullGroups(const BackendRequirements &request, core::TimePoint now) const
{
    std::set<core::GroupId> full;
    if (!admitsInTimeOnly(request.service)) {
        return full;
    }
    std::map<core::GroupId, GroupLoad> loads;
    for (const auto &[id, backend] : m_backends) {
        if (backend.service != request.service || backend.slots == 0) {
            continue;
        }
        // Without a recent status, the estimate is the entry's own requests multiplied by the number of entries.
        const auto state = m_states.find(id);
        if (state == m_states.end() || !hasRecentStatus(state->second, now) || state->second.load->group.isEmpty()) {
            continue;
        }
        auto &load = loads[state->second.load->group];
        load.running += m_selector.estimatedRequests(selectorId(id), now);
        ++load.ranks;
        load.firstRank = load.firstRank != nullptr ? load.firstRank : &backend;
    }
    for (const auto &[group, load] : loads) {
        const double mean = load.running / static_cast<double>(load.ranks);
        const auto limit = inTimeCapacityOf(*load.firstRank, group, request.maxEventInterval, now);
        if (limit && mean >= *limit) {
            full.insert(group);
        }
    }
    return full;
}

} // namespace lycheelanding::forwarding
