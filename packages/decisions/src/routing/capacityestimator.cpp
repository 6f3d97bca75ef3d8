#include "lycheelanding/decisions/routing/capacityestimator.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lycheelanding::decisions::routing {

namespace {

// Speeds change within seconds; a shorter half-life leaves too few samples at two requests per second and server.
constexpr core::Duration recentHalfLife = std::chrono::seconds(2);
// Covers an entry that sends a request to each server only every five seconds: about three samples count.
constexpr core::Duration longTermHalfLife = std::chrono::seconds(10);
// Standard deviation of the logarithms of the servers' speeds, and of their changes, that is assumed before there are
// samples: a factor of two.
constexpr double priorDeviation = 0.7;
// Initial variance of the logarithms of the response times on one server, on the safe side: that of times between a
// third and three times the mean.
constexpr double initialVariance = 1.0;
// Below this variance, three samples would be enough to shift traffic by differences that are of no use.
constexpr double minVariance = 0.05;
constexpr double varianceWeight = 0.03;
// A single sample counts as at most this many times the expected time (or its inverse): 1 % of the requests take five
// times as long as the mean.
constexpr double maxSampleFactor = 3.0;
// Differences of this many standard errors are halved, and smaller ones vanish: noise of few samples must not move
// traffic. With 0.5, one sample each that differ by a factor of three counted as a slowness of 1.8.
constexpr double noiseErrors = 0.7;
constexpr double maxSlowness = 16.0;
// A backend server is overloaded when answers take this many times their low-load time.
constexpr double overloadFactor = 2.0;
// Standard errors by which that factor must be exceeded.
constexpr double overloadErrors = 1.5;
// Fewer recent samples show no overload.
constexpr double minOverloadSamples = 3.0;
// Time over which the low-load time is the minimum; two windows are kept. A longer rise is taken as the normal time.
constexpr core::Duration minimumWindow = std::chrono::seconds(15);
// A decrease must show in the response times before the next one.
constexpr core::Duration minDecreaseInterval = std::chrono::milliseconds(700);
constexpr double decreaseFactor = 0.7;
// Relative growth: from one request in progress to two in four seconds, so that the effect on the response times shows
// in between.
constexpr double growthPerSecond = 0.25;
// Without any request nothing is learnt. Pauses between requests, which lower the mean number in progress below 1, gave
// no better times in virtual time.
constexpr double minLimit = 1.0;
// A limit of this many times the usual number of requests in progress has no effect.
constexpr double unusedFactor = 2.0;

double secondsOf(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

std::string_view nameOf(SampleDrop drop)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(SampleDrop::Count)> names{
        "invalidTime", "invalidCount", "unknownServer", "otherIncarnation", "beforeSuspension"};
    return names.at(static_cast<std::size_t>(drop));
}

double CapacityEstimator::DecayingMean::weightAt(core::Duration halfLife, core::TimePoint now) const
{
    return weight * std::exp2(-std::max(0.0, secondsOf(now - updatedAt) / secondsOf(halfLife)));
}

void CapacityEstimator::DecayingMean::add(double value, core::Duration halfLife, core::TimePoint now)
{
    weight = weightAt(halfLife, now) + 1.0;
    mean += (value - mean) / weight;
    updatedAt = std::max(updatedAt, now);
}

void CapacityEstimator::setServers(const std::vector<EstimatedServer> &servers)
{
    std::map<core::VmId, Server> kept;
    for (const auto &server : servers) {
        const auto known = m_servers.find(server.vm);
        const bool isSame = known != m_servers.end() && known->second.incarnation == server.incarnation
            && known->second.service == server.service;
        Server fresh;
        fresh.service = server.service;
        fresh.incarnation = server.incarnation;
        kept.emplace(server.vm, isSame ? known->second : fresh);
    }
    m_servers = std::move(kept);
}

void CapacityEstimator::answered(const ResponseSample &sample, core::TimePoint now)
{
    if (Server *const server = accept(sample)) {
        record(*server, std::log(secondsOf(sample.responseTime)), sample.inProgress, now);
    }
}

void CapacityEstimator::failed(const ResponseSample &sample, core::TimePoint now)
{
    Server *const server = accept(sample);
    if (server == nullptr) {
        return;
    }
    const auto mean = serviceMean(server->service, now);
    const double logSeconds = std::log(secondsOf(sample.responseTime));
    // A request that ended early says nothing about the time that its answer would have taken.
    if (mean && logSeconds > estimate(*server, *mean, now).value) {
        record(*server, logSeconds, sample.inProgress, now);
    }
}

void CapacityEstimator::refused(const ResponseSample &sample, core::TimePoint now)
{
    if (Server *const server = accept(sample)) {
        decreaseLimit(*server, now);
    }
}

double CapacityEstimator::slowness(const core::VmId &vm, core::TimePoint now) const
{
    const auto found = m_servers.find(vm);
    const auto mean = found != m_servers.end() ? serviceMean(found->second.service, now) : std::nullopt;
    if (!mean) {
        return 1.0;
    }
    const double own = deviation(found->second, *mean, now);
    double fastest = own;
    for (const auto &[otherVm, other] : m_servers) {
        if (other.service == found->second.service) {
            fastest = std::min(fastest, deviation(other, *mean, now));
        }
    }
    return std::min(std::exp(own - fastest), maxSlowness);
}

std::optional<std::size_t> CapacityEstimator::limit(const core::VmId &vm, core::TimePoint now) const
{
    const auto found = m_servers.find(vm);
    const auto limit = found != m_servers.end() ? grownLimit(found->second, now) : std::nullopt;
    return limit ? std::optional(static_cast<std::size_t>(*limit)) : std::nullopt;
}

std::uint64_t CapacityEstimator::droppedSamples() const
{
    return std::accumulate(m_dropped.begin(), m_dropped.end(), std::uint64_t{0});
}

CapacityEstimator::Server *CapacityEstimator::accept(const ResponseSample &sample)
{
    const auto found = m_servers.find(sample.vm);
    if (found == m_servers.end()) {
        drop(SampleDrop::UnknownServer);
    } else if (found->second.incarnation != sample.incarnation) {
        drop(SampleDrop::OtherIncarnation);
    } else if (m_suspendedAt && sample.sentAt <= *m_suspendedAt) {
        drop(SampleDrop::BeforeSuspension);
    } else if (sample.responseTime <= core::Duration::zero()) {
        drop(SampleDrop::InvalidTime);
    } else if (sample.inProgress == 0) {
        drop(SampleDrop::InvalidCount);
    } else {
        ++m_accepted;
        return &found->second;
    }
    return nullptr;
}

void CapacityEstimator::record(Server &server, double logSeconds, std::size_t inProgress, core::TimePoint now)
{
    double value = logSeconds;
    if (const auto mean = serviceMean(server.service, now)) {
        const double expected = estimate(server, *mean, now).value;
        const double bound = std::log(maxSampleFactor);
        const double difference = std::clamp(logSeconds - expected, -bound, bound);
        value = expected + difference;
        double &variance = m_variances.try_emplace(server.service, initialVariance).first->second;
        variance += varianceWeight * (difference * difference - variance);
    }
    // Growth up to now holds also if the sample shows an overload.
    server.limit = grownLimit(server, now);
    server.limitedAt = now;
    server.recent.add(value, recentHalfLife, now);
    server.longTerm.add(value, longTermHalfLife, now);
    server.inProgress.add(static_cast<double>(inProgress), recentHalfLife, now);
    if (now >= server.windowEnd) {
        const bool isRecent = now < server.windowEnd + minimumWindow;
        server.previousMinimum = isRecent ? server.windowMinimum : std::nullopt;
        server.windowMinimum.reset();
        server.windowEnd = now + minimumWindow;
    }
    const double mean = serviceMean(server.service, now).value_or(value);
    const double current = estimate(server, mean, now).value;
    server.windowMinimum = std::min(server.windowMinimum.value_or(current), current);
    if (isOverloaded(server, mean, now)) {
        decreaseLimit(server, now);
    }
}

bool CapacityEstimator::isOverloaded(const Server &server, double serviceMean, core::TimePoint now) const
{
    if (server.recent.weightAt(recentHalfLife, now) < minOverloadSamples) {
        return false;
    }
    const double lowest = std::min(*server.windowMinimum, server.previousMinimum.value_or(*server.windowMinimum));
    const auto current = estimate(server, serviceMean, now);
    return current.value - lowest > std::log(overloadFactor) + overloadErrors * current.standardError;
}

void CapacityEstimator::decreaseLimit(Server &server, core::TimePoint now)
{
    // While the overload lasts, the limit does not grow.
    const double used = std::max(server.inProgress.mean, 1.0);
    const double limit = std::min(server.limit.value_or(used), used);
    server.limitedAt = now;
    if (server.limit && now - server.lastDecrease < minDecreaseInterval) {
        return;
    }
    server.lastDecrease = now;
    server.limit = std::max(limit * decreaseFactor, minLimit);
}

std::optional<double> CapacityEstimator::grownLimit(const Server &server, core::TimePoint now) const
{
    if (!server.limit) {
        return std::nullopt;
    }
    const double elapsed = std::max(0.0, secondsOf(now - server.limitedAt));
    const double limit = *server.limit * (1.0 + growthPerSecond * elapsed);
    const bool hasEffect = limit < unusedFactor * std::max(server.inProgress.mean, 1.0);
    return hasEffect ? std::optional(limit) : std::nullopt;
}

double CapacityEstimator::variance(const core::ServiceId &service) const
{
    const auto found = m_variances.find(service);
    return std::max(found != m_variances.end() ? found->second : initialVariance, minVariance);
}

std::optional<double> CapacityEstimator::serviceMean(const core::ServiceId &service, core::TimePoint now) const
{
    double weights = 0.0;
    double sum = 0.0;
    for (const auto &[vm, server] : m_servers) {
        if (server.service == service) {
            // Servers count alike once they have some samples, whatever their share of the traffic.
            const double samples = server.longTerm.weightAt(longTermHalfLife, now);
            const double weight = samples / (samples + 1.0);
            weights += weight;
            sum += weight * server.longTerm.mean;
        }
    }
    return weights > 0.0 ? std::optional(sum / weights) : std::nullopt;
}

CapacityEstimator::Estimate CapacityEstimator::estimate(const Server &server, double serviceMean,
                                                        core::TimePoint now) const
{
    const double varianceOfSample = variance(server.service);
    const double priorSamples = varianceOfSample / (priorDeviation * priorDeviation);
    const double longTermSamples = server.longTerm.weightAt(longTermHalfLife, now);
    const double recentSamples = server.recent.weightAt(recentHalfLife, now);
    const double longTerm
        = serviceMean + longTermSamples / (longTermSamples + priorSamples) * (server.longTerm.mean - serviceMean);
    const double recentShare = recentSamples / (recentSamples + priorSamples);
    const double samples = recentShare * recentSamples + (1.0 - recentShare) * longTermSamples + priorSamples;
    return {longTerm + recentShare * (server.recent.mean - longTerm), std::sqrt(varianceOfSample / samples)};
}

double CapacityEstimator::deviation(const Server &server, double serviceMean, core::TimePoint now) const
{
    const auto current = estimate(server, serviceMean, now);
    const double difference = current.value - serviceMean;
    const double noise = noiseErrors * current.standardError;
    const double squared = difference * difference;
    return squared > 0.0 ? difference * squared / (squared + noise * noise) : 0.0;
}

} // namespace lycheelanding::decisions::routing
