#include "lycheelanding/decisions/routing/backendselector.h"

#include <algorithm>
#include <cmath>

namespace lycheelanding::decisions::routing {

namespace {

// The share of a backend server is its expected time to the power of minus this. With 3 a server that is three times
// slower gets one request in 27 of a fast one, less than that with a higher one, and its recovery would go unnoticed.
constexpr double expectedTimeExponent = 3.0;
// Each own request in progress makes the expected time longer by this factor of the time alone: other entries are
// likely to have sent requests too. With 1 servers that slow down under load got too many in virtual time.
constexpr double ownRequestWeight = 4.0;

} // namespace

void BackendSelector::addCosts(std::vector<Target> &targets, const RouteRequest &request, core::TimePoint now) const
{
    if (usesExpectedTimes(targets, now)) {
        addExpectedTimes(targets, now);
        return;
    }
    const double dither = m_settings.ditherWeight * unreportedWork(targets, now);
    for (auto &target : targets) {
        const core::VmId &vm = target.server->candidate.vm;
        const double tokens = target.rank->tokens.estimate(m_liveEntries, m_settings.reportTimeConstant, now);
        const double requests = target.rank->requests.estimate(m_liveEntries, m_settings.reportTimeConstant, now);
        double work = m_settings.tokenWeight * tokens + m_settings.requestWeight * requests
            + static_cast<double>(request.expectedTokens);
        if (std::binary_search(request.slow.begin(), request.slow.end(), vm)) {
            work = (work + m_settings.requestWeight) * m_settings.slowFactor;
        }
        target.cost = work * m_speed.slowness(vm, now) / m_health.loadFraction(vm, now) + dither * target.rank->dither;
        if (target.server->candidate.dataCentre != request.localDataCentre) {
            target.cost += m_settings.crossDataCentrePenaltyTokens;
        }
    }
}

bool BackendSelector::usesExpectedTimes(const std::vector<Target> &targets, core::TimePoint now)
{
    return std::all_of(targets.begin(), targets.end(), [now](const Target &target) {
        return target.server->candidate.hasAdaptiveCapacity && !target.rank->requests.hasReport(now);
    });
}

void BackendSelector::addExpectedTimes(std::vector<Target> &targets, core::TimePoint now) const
{
    for (auto &target : targets) {
        const core::VmId &vm = target.server->candidate.vm;
        const double load = 1.0 + ownRequestWeight * static_cast<double>(target.server->inFlight);
        const double time = load * m_capacity.slowness(vm, now) / m_health.loadFraction(vm, now);
        // The smallest of exponential variables with means t^k belongs to each server in proportion to t^-k.
        const double variable = -std::log(1.0 - target.rank->dither);
        target.cost = std::pow(time, expectedTimeExponent) * variable;
    }
}

double BackendSelector::unreportedWork(const std::vector<Target> &targets, core::TimePoint now) const
{
    double ages = 0.0;
    for (const auto &target : targets) {
        const core::Duration age = target.rank->tokens.hasReport(now) ? now - target.rank->tokens.measuredAt()
                                                                      : m_settings.reportTimeConstant;
        // Older reports have little weight, and the local requests in flight that replace them are up to date.
        ages += std::chrono::duration<double>(std::min(age, m_settings.reportTimeConstant)).count();
    }
    const auto count = static_cast<double>(targets.size());
    return static_cast<double>(m_liveEntries) * m_sentRate * std::max(0.0, ages / count) / count;
}

} // namespace lycheelanding::decisions::routing
