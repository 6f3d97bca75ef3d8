#include "lycheelanding/forwarding/backendset.h"

#include <cstddef>

namespace lycheelanding::forwarding {

namespace {

struct GroupLoad
{
    double running = 0.0;
    std::size_t ranks = 0;
    const RegisteredBackend *firstRank = nullptr;
};

} // namespace

std::set<core::GroupId> BackendSet::fullGroups(const BackendRequirements &request, core::TimePoint now) const
{
    std::set<core::GroupId> full;
    if (!m_admitsInTimeOnly) {
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
