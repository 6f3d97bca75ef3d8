#include "lycheelanding/decisions/quarantine/promptquarantine.h"

#include "lycheelanding/core/stablehash.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace lycheelanding::decisions::quarantine {

namespace {

/// Crashes of one part that are counted; the hold time no longer grows beyond them.
constexpr std::size_t maxCrashesPerPart = 8;

bool contains(const PromptParts &parts, const PromptPart &part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

PromptParts companionsIn(const PromptParts &parts, const PromptPart &part)
{
    std::set<PromptPart> others(parts.begin(), parts.end());
    others.erase(part);
    return {others.begin(), others.end()};
}

} // namespace

PromptQuarantine::PromptQuarantine(const QuarantineSettings &settings, std::uint64_t seed)
    : m_settings(settings), m_seed(seed)
{ }

bool PromptQuarantine::crashed(const CrashReport &report)
{
    const bool wasHeld = holdTime(report.parts, report.time).has_value();
    for (const auto &part : report.parts) {
        const auto cleared = m_clearedAt.find(part);
        if (cleared == m_clearedAt.end() || cleared->second < report.time) {
            addCrash(part, report);
        }
    }
    return !wasHeld && holdTime(report.parts, report.time).has_value();
}

void PromptQuarantine::addCrash(const PromptPart &part, const CrashReport &report)
{
    const auto known = m_suspects.find(part);
    if (known == m_suspects.end()) {
        if (m_suspects.size() >= m_settings.maxSuspects) {
            removeOldest();
        }
        Suspect suspect;
        suspect.crashes.emplace(report.backend, report.time);
        suspect.lastCrash = report.time;
        suspect.companions = companionsIn(report.parts, part);
        m_suspects.emplace(part, std::move(suspect));
        return;
    }
    auto &suspect = known->second;
    PromptParts companions;
    const auto others = companionsIn(report.parts, part);
    std::set_intersection(suspect.companions.begin(), suspect.companions.end(), others.begin(), others.end(),
                          std::back_inserter(companions));
    suspect.companions = std::move(companions);
    if (suspect.crashes.size() >= maxCrashesPerPart || !suspect.crashes.emplace(report.backend, report.time).second) {
        return;
    }
    suspect.lastCrash = std::max(suspect.lastCrash, report.time);
    suspect.probeUntil = {};
}

void PromptQuarantine::removeOldest()
{
    const auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto &left, const auto &right) {
        return left.second.lastCrash < right.second.lastCrash;
    });
    m_suspects.erase(oldest);
}

bool PromptQuarantine::progressed(const ProgressReport &report)
{
    bool hasCleared = false;
    for (const auto &part : report.parts) {
        const auto known = m_suspects.find(part);
        if (known == m_suspects.end()) {
            continue;
        }
        // A crash that came later is not refuted.
        std::erase_if(known->second.crashes, [&report](const auto &crash) { return crash.second <= report.time; });
        if (known->second.crashes.empty()) {
            m_suspects.erase(known);
        }
        auto &clearedAt = m_clearedAt[part];
        clearedAt = std::max(clearedAt, report.time);
        hasCleared = true;
    }
    if (hasCleared) {
        // The cleared parts do not explain the crashes under the others.
        for (auto &[part, suspect] : m_suspects) {
            std::erase_if(suspect.companions, [&report](const auto &other) { return contains(report.parts, other); });
        }
    }
    return hasCleared;
}

core::TimePoint PromptQuarantine::heldUntil(const PromptPart &part, const Suspect &suspect) const
{
    constexpr std::uint64_t thousandths = 1000;
    if (suspect.crashes.size() < m_settings.confirmedCrashes) {
        const auto random = core::mixBits(m_seed ^ core::stableHash(part.text())) % thousandths;
        return suspect.lastCrash + m_settings.firstHold + m_settings.firstHold * random / thousandths;
    }
    const auto doublings = suspect.crashes.size() - m_settings.confirmedCrashes;
    return suspect.lastCrash + m_settings.confirmedHold * (std::int64_t{1} << doublings);
}

std::optional<core::Duration> PromptQuarantine::holdTime(const PromptParts &parts, core::TimePoint now) const
{
    std::optional<core::Duration> result;
    for (const auto &part : parts) {
        const auto known = m_suspects.find(part);
        if (known == m_suspects.end() || !isHeldPart(known->second)) {
            continue;
        }
        const auto &suspect = known->second;
        const bool hasCompanions = std::all_of(suspect.companions.begin(), suspect.companions.end(),
                                               [&parts](const auto &other) { return contains(parts, other); });
        const auto until = std::max(heldUntil(part, suspect), suspect.probeUntil);
        if (hasCompanions && now < until) {
            result = std::max(result.value_or(core::Duration::zero()), until - now);
        }
    }
    return result;
}

void PromptQuarantine::sent(const PromptParts &parts, core::TimePoint now)
{
    for (const auto &part : parts) {
        const auto known = m_suspects.find(part);
        if (known != m_suspects.end() && isHeldPart(known->second)) {
            known->second.probeUntil = now + m_settings.probeTimeout;
        }
    }
}

void PromptQuarantine::tick(core::TimePoint now)
{
    std::erase_if(m_suspects, [this, now](const auto &item) {
        const auto &[part, suspect] = item;
        const auto since = isHeldPart(suspect) ? heldUntil(part, suspect) : suspect.lastCrash;
        return now - since > m_settings.suspicionTime;
    });
    std::erase_if(m_clearedAt, [this, now](const auto &item) { return now - item.second > m_settings.suspicionTime; });
}

std::vector<CrashReport> PromptQuarantine::heldReports(core::TimePoint now) const
{
    std::vector<CrashReport> reports;
    for (const auto &[part, suspect] : m_suspects) {
        if (!isHeldPart(suspect) || now >= heldUntil(part, suspect)) {
            continue;
        }
        PromptParts parts = suspect.companions;
        parts.push_back(part);
        for (const auto &[backend, time] : suspect.crashes) {
            reports.push_back({backend, parts, time});
        }
    }
    return reports;
}

} // namespace lycheelanding::decisions::quarantine
