#include "lycheelanding/decisions/quarantine/promptquarantine.h"

#include "lycheelanding/core/stablehash.h"

#include <algorithm>

namespace lycheelanding::decisions::quarantine {

namespace {

/// Bounds on the memory of a suspected part. Several backend servers may crash at once under requests that are already
/// there.
constexpr std::size_t maxCrashesPerPart = 32;
constexpr std::size_t maxOthersPerCrash = 8;

bool contains(const PromptParts &parts, const PromptPart &part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
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
    if (!m_suspects.contains(part) && m_suspects.size() >= m_settings.maxSuspects) {
        removeOldest();
    }
    auto &suspect = m_suspects[part];
    if (!suspect.crashes.contains(report.backend)) {
        if (suspect.crashes.size() >= maxCrashesPerPart) {
            suspect.crashes.erase(std::min_element(
                suspect.crashes.begin(), suspect.crashes.end(),
                [](const auto &left, const auto &right) { return left.second.time < right.second.time; }));
        }
        suspect.lastCrash = std::max(suspect.lastCrash, report.time);
        suspect.probeUntil = {};
    }
    auto &crash = suspect.crashes.emplace(report.backend, Crash{report.time, {}}).first->second;
    for (const auto &other : report.parts) {
        const auto cleared = m_clearedAt.find(other);
        const bool isCleared = cleared != m_clearedAt.end() && cleared->second >= report.time;
        if (other != part && !isCleared && crash.others.size() < maxOthersPerCrash) {
            crash.others.insert(other);
        }
    }
}

PromptParts PromptQuarantine::companionsOf(const Suspect &suspect)
{
    PromptParts companions;
    for (const auto &other : suspect.crashes.begin()->second.others) {
        const bool isInEach = std::all_of(suspect.crashes.begin(), suspect.crashes.end(),
                                          [&other](const auto &crash) { return crash.second.others.contains(other); });
        if (isInEach) {
            companions.push_back(other);
        }
    }
    return companions;
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
        std::erase_if(known->second.crashes, [&report](const auto &crash) { return crash.second.time <= report.time; });
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
            for (auto &[backend, crash] : suspect.crashes) {
                std::erase_if(crash.others, [&report](const auto &other) { return contains(report.parts, other); });
            }
        }
    }
    return hasCleared;
}

std::optional<PromptQuarantine::Hold> PromptQuarantine::holdOf(const Suspect &suspect) const
{
    if (suspect.crashes.size() < m_settings.minCrashes) {
        return std::nullopt;
    }
    std::vector<core::TimePoint> times;
    times.reserve(suspect.crashes.size());
    for (const auto &[backend, crash] : suspect.crashes) {
        times.push_back(crash.time);
    }
    std::sort(times.begin(), times.end());
    Hold hold{times[m_settings.minCrashes - 1], 0};
    for (const auto time : times) {
        // Crashes before the end of a hold are those of requests that were sent before it.
        if (time >= hold.start + m_settings.holds[hold.failedProbes]) {
            hold.start = time;
            hold.failedProbes = std::min(hold.failedProbes + 1, m_settings.holds.size() - 1);
        }
    }
    return hold;
}

core::TimePoint PromptQuarantine::heldUntil(const PromptPart &part, const Suspect &suspect) const
{
    constexpr std::uint64_t thousandths = 1000;
    const auto hold = holdOf(suspect);
    if (!hold) {
        return {};
    }
    const auto time = m_settings.holds[hold->failedProbes];
    const auto random = core::mixBits(m_seed ^ core::stableHash(part.text())) % thousandths;
    return hold->start + time + time * random / thousandths;
}

bool PromptQuarantine::hasCompanions(const Suspect &suspect, const PromptParts &parts)
{
    const auto companions = companionsOf(suspect);
    return std::all_of(companions.begin(), companions.end(),
                       [&parts](const auto &other) { return contains(parts, other); });
}

std::optional<core::Duration> PromptQuarantine::holdTime(const PromptParts &parts, core::TimePoint now) const
{
    std::optional<core::Duration> result;
    for (const auto &part : parts) {
        const auto known = m_suspects.find(part);
        if (known == m_suspects.end() || !isHeldPart(known->second) || !hasCompanions(known->second, parts)) {
            continue;
        }
        const auto until = std::max(heldUntil(part, known->second), known->second.probeUntil);
        if (now < until) {
            result = std::max(result.value_or(core::Duration::zero()), until - now);
        }
    }
    return result;
}

bool PromptQuarantine::sent(const PromptParts &parts, core::TimePoint now)
{
    const bool isProbe = std::any_of(parts.begin(), parts.end(), [this, &parts](const auto &part) {
        const auto known = m_suspects.find(part);
        return known != m_suspects.end() && isHeldPart(known->second) && hasCompanions(known->second, parts);
    });
    if (isProbe) {
        probed({parts, now});
    }
    return isProbe;
}

void PromptQuarantine::probed(const ProbeReport &report)
{
    for (const auto &part : report.parts) {
        const auto known = m_suspects.find(part);
        if (known != m_suspects.end() && isHeldPart(known->second)) {
            known->second.probeUntil = std::max(known->second.probeUntil, report.time + m_settings.probeTimeout);
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
        PromptParts parts = companionsOf(suspect);
        parts.push_back(part);
        for (const auto &[backend, crash] : suspect.crashes) {
            reports.push_back({backend, parts, crash.time});
        }
    }
    return reports;
}

} // namespace lycheelanding::decisions::quarantine
