#include "lycheelanding/decisions/intake/turnaways.h"

#include <algorithm>

namespace lycheelanding::decisions::intake {

void TurnAways::record(const TurnAway &turnAway, core::TimePoint now)
{
    std::erase_if(m_pauses, [now](const auto &item) { return item.second.pause.until <= now; });
    const auto [found, isNew]
        = m_pauses.try_emplace(turnAway.backend, Entry{turnAway.startedAtMs, {now, turnAway.until}});
    if (isNew) {
        return;
    }
    if (found->second.startedAtMs != turnAway.startedAtMs) {
        found->second = {turnAway.startedAtMs, {now, turnAway.until}};
        return;
    }
    // Answers to requests that were sent before say the same again.
    found->second.pause.until = std::max(found->second.pause.until, turnAway.until);
}

std::optional<Pause> TurnAways::pauseOf(const BackendId &id, std::uint64_t startedAtMs, core::TimePoint now) const
{
    const auto found = m_pauses.find(id);
    const bool isCurrent
        = found != m_pauses.end() && found->second.startedAtMs == startedAtMs && now < found->second.pause.until;
    return isCurrent ? std::optional(found->second.pause) : std::nullopt;
}

} // namespace lycheelanding::decisions::intake
