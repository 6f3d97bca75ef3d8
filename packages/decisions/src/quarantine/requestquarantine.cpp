#include "lycheelanding/decisions/quarantine/requestquarantine.h"

#include "lycheelanding/core/stablehash.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::decisions::quarantine {

namespace {

/// Bounds on the memory of a suspected feature. Several backend servers may crash at once under requests that are
/// already there.
constexpr std::size_t maxCrashesPerFeature = 32;
constexpr std::size_t maxOthersPerCrash = 8;

bool contains(const RequestFeatures &features, const RequestFeature &feature)
{
    return std::find(features.begin(), features.end(), feature) != features.end();
}

} // namespace

RequestQuarantine::RequestQuarantine(const QuarantineSettings &settings, std::uint64_t seed)
    : m_settings(settings), m_seed(seed)
{ }

bool RequestQuarantine::crashed(const CrashReport &report)
{
    const bool wasHeld = holdTime(report.features, report.time).has_value();
    for (const auto &feature : report.features) {
        const auto cleared = m_clearedAt.find(feature);
        if (cleared == m_clearedAt.end() || cleared->second < report.time) {
            addCrash(feature, report);
        }
    }
    return !wasHeld && holdTime(report.features, report.time).has_value();
}

void RequestQuarantine::addCrash(const RequestFeature &feature, const CrashReport &report)
{
    if (!m_suspects.contains(feature) && m_suspects.size() >= m_settings.maxSuspects) {
        removeOldest();
    }
    auto &suspect = m_suspects[feature];
    if (!suspect.crashes.contains(report.backend)) {
        if (suspect.crashes.size() >= maxCrashesPerFeature) {
            suspect.crashes.erase(std::min_element(
                suspect.crashes.begin(), suspect.crashes.end(),
                [](const auto &left, const auto &right) { return left.second.time < right.second.time; }));
        }
        suspect.lastCrash = std::max(suspect.lastCrash, report.time);
        suspect.probeUntil = {};
    }
    auto &crash = suspect.crashes.emplace(report.backend, Crash{report.time, {}}).first->second;
    for (const auto &other : report.features) {
        const auto cleared = m_clearedAt.find(other);
        const bool isCleared = cleared != m_clearedAt.end() && cleared->second >= report.time;
        if (other != feature && !isCleared && crash.others.size() < maxOthersPerCrash) {
            crash.others.insert(other);
        }
    }
}

RequestFeatures RequestQuarantine::companionsOf(const Suspect &suspect)
{
    RequestFeatures companions;
    for (const auto &other : suspect.crashes.begin()->second.others) {
        const bool isInEach = std::all_of(suspect.crashes.begin(), suspect.crashes.end(),
                                          [&other](const auto &crash) { return crash.second.others.contains(other); });
        if (isInEach) {
            companions.push_back(other);
        }
    }
    return companions;
}

void RequestQuarantine::removeOldest()
{
    const auto rank
        = [this](const auto &item) { return std::make_pair(isHeldFeature(item.second), item.second.lastCrash); };
    const auto oldest
        = std::min_element(m_suspects.begin(), m_suspects.end(),
                           [&rank](const auto &left, const auto &right) { return rank(left) < rank(right); });
    m_suspects.erase(oldest);
}

bool RequestQuarantine::progressed(const ProgressReport &report)
{
    bool hasCleared = false;
    for (const auto &feature : report.features) {
        const auto known = m_suspects.find(feature);
        if (known == m_suspects.end()) {
            continue;
        }
        // A crash that came later is not refuted.
        std::erase_if(known->second.crashes, [&report](const auto &crash) { return crash.second.time <= report.time; });
        if (known->second.crashes.empty()) {
            m_suspects.erase(known);
        }
        auto &clearedAt = m_clearedAt[feature];
        clearedAt = std::max(clearedAt, report.time);
        hasCleared = true;
    }
    if (hasCleared) {
        // The cleared features do not explain the crashes under the others.
        for (auto &[feature, suspect] : m_suspects) {
            for (auto &[backend, crash] : suspect.crashes) {
                std::erase_if(crash.others, [&report](const auto &other) { return contains(report.features, other); });
            }
        }
    }
    return hasCleared;
}

std::optional<RequestQuarantine::Hold> RequestQuarantine::holdOf(const Suspect &suspect) const
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

core::TimePoint RequestQuarantine::heldUntil(const RequestFeature &feature, const Suspect &suspect) const
{
    constexpr std::uint64_t thousandths = 1000;
    const auto hold = holdOf(suspect);
    if (!hold) {
        return {};
    }
    const auto time = m_settings.holds[hold->failedProbes];
    const auto random = core::mixBits(m_seed ^ core::stableHash(feature.text())) % thousandths;
    return hold->start + time + time * random / thousandths;
}

bool RequestQuarantine::hasCompanions(const Suspect &suspect, const RequestFeatures &features)
{
    const auto companions = companionsOf(suspect);
    return std::all_of(companions.begin(), companions.end(),
                       [&features](const auto &other) { return contains(features, other); });
}

std::optional<core::Duration> RequestQuarantine::holdTime(const RequestFeatures &features, core::TimePoint now) const
{
    std::optional<core::Duration> result;
    for (const auto &feature : features) {
        const auto known = m_suspects.find(feature);
        if (known == m_suspects.end() || !isHeldFeature(known->second) || !hasCompanions(known->second, features)) {
            continue;
        }
        const auto until = std::max(heldUntil(feature, known->second), known->second.probeUntil);
        if (now < until) {
            result = std::max(result.value_or(core::Duration::zero()), until - now);
        }
    }
    return result;
}

bool RequestQuarantine::sent(const RequestFeatures &features, core::TimePoint now)
{
    const bool isProbe = std::any_of(features.begin(), features.end(), [this, &features](const auto &feature) {
        const auto known = m_suspects.find(feature);
        return known != m_suspects.end() && isHeldFeature(known->second) && hasCompanions(known->second, features);
    });
    if (isProbe) {
        probed({features, now});
    }
    return isProbe;
}

void RequestQuarantine::probed(const ProbeReport &report)
{
    for (const auto &feature : report.features) {
        const auto known = m_suspects.find(feature);
        if (known != m_suspects.end() && isHeldFeature(known->second)) {
            known->second.probeUntil = std::max(known->second.probeUntil, report.time + m_settings.probeTimeout);
        }
    }
}

void RequestQuarantine::tick(core::TimePoint now)
{
    std::erase_if(m_suspects, [this, now](const auto &item) {
        const auto &[feature, suspect] = item;
        const auto since = isHeldFeature(suspect) ? heldUntil(feature, suspect) : suspect.lastCrash;
        return now - since > m_settings.suspicionTime;
    });
    std::erase_if(m_clearedAt, [this, now](const auto &item) { return now - item.second > m_settings.suspicionTime; });
}

std::vector<CrashReport> RequestQuarantine::heldReports(core::TimePoint now) const
{
    std::vector<CrashReport> reports;
    for (const auto &[feature, suspect] : m_suspects) {
        if (!isHeldFeature(suspect) || now >= heldUntil(feature, suspect)) {
            continue;
        }
        RequestFeatures features = companionsOf(suspect);
        features.push_back(feature);
        for (const auto &[backend, crash] : suspect.crashes) {
            reports.push_back({backend, features, crash.time});
        }
    }
    return reports;
}

} // namespace lycheelanding::decisions::quarantine
