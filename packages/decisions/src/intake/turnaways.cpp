#include "lycheelanding/decisions/intake/turnaways.h"

#include <algorithm>

namespace lycheelanding::decisions::intake {

bool TurnAways::record(const TurnAway &turnAway, core::TimePoint now)
{
    std::erase_if(m_pauses, [now](const auto &item) { return item.second.pause.until <= now; });
    const auto known = m_pauses.find(turnAway.backend);
    if (known == m_pauses.end() || known->second.startedAtMs != turnAway.startedAtMs) {
        m_pauses[turnAway.backend] = {turnAway.startedAtMs, {now, turnAway.until}};
        return true;
    }
    // Answers to requests that were sent before say the same again.
    known->second.pause.until = std::max(known->second.pause.until, turnAway.until);
    return false;
}

std::optional<Pause> TurnAways::pauseOf(const BackendId &id, std::uint64_t startedAtMs, core::TimePoint now) const
{
    const auto found = m_pauses.find(id);
    const bool isCurrent
        = found != m_pauses.end() && found->second.startedAtMs == startedAtMs && now < found->second.pause.until;
    return isCurrent ? std::optional(found->second.pause) : std::nullopt;
}

} // namespace lycheelanding::decisions::intake
