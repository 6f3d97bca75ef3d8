#include "entry/requestmetrics.h"

namespace lycheelanding::daemon::entry {

namespace {

using report::Counter;

constexpr int firstServerError = 500;

report::BurnKey burnKeyOf(const ClassifiedRequest &request)
{
    if (request.route.model.isEmpty()) {
        return {report::TargetKind::Service, request.route.service.text(), request.organisation};
    }
    return {report::TargetKind::Model, request.route.model.text(), request.organisation};
}

/// Whether the error is caused by the caller or its organisation and so is no failure of the service.
bool isCallerError(core::ErrorKind kind)
{
    switch (kind) {
    case core::ErrorKind::MalformedRequest:
    case core::ErrorKind::RequestTooLarge:
    case core::ErrorKind::HeaderTooLarge:
    case core::ErrorKind::UnknownRoute:
    case core::ErrorKind::UnknownOrganisation:
    case core::ErrorKind::UnknownModel:
    case core::ErrorKind::OrganisationLimit:
    case core::ErrorKind::AlreadyClaimed:
    case core::ErrorKind::IdempotencyKeyExpired:
    case core::ErrorKind::Cancelled:
        return true;
    default:
        return false;
    }
}

} // namespace

RequestMetrics::RequestMetrics(report::Metrics &metrics) : m_metrics(metrics) { }

void RequestMetrics::setObjectives(const std::vector<configuration::Objective> &objectives)
{
    m_burn.setObjectives(objectives);
}

void RequestMetrics::recordReceived()
{
    m_metrics.increment(Counter::RequestsReceived);
}

void RequestMetrics::recordRetry()
{
    m_metrics.increment(Counter::RetriesSent);
}

void RequestMetrics::recordTokenGap(core::Duration gap)
{
    m_metrics.record(report::Latency::BetweenTokens, gap, m_clock.now());
}

void RequestMetrics::recordEarlyRefusal(core::ErrorKind kind)
{
    m_metrics.increment(Counter::RequestsReceived);
    countError(kind);
}

void RequestMetrics::countError(core::ErrorKind kind)
{
    const bool isNotRun = core::answerOf(kind).ran == core::Ran::No;
    m_metrics.countRefusal(kind);
    m_metrics.increment(isNotRun ? Counter::RequestsNotRun : Counter::RequestsOutcomeUnknown);
}

void RequestMetrics::countEnd(const RequestEnd &end)
{
    switch (end.kind) {
    case RequestEndKind::Answered:
        m_metrics.increment(Counter::RequestsAnswered);
        m_metrics.increment(Counter::AnswersComplete);
        m_metrics.record(report::Latency::WholeAnswer, end.duration, m_clock.now());
        break;
    case RequestEndKind::Refused:
        countError(end.error.value_or(core::ErrorKind::Internal));
        break;
    case RequestEndKind::Aborted:
        m_metrics.increment(Counter::AnswersBroken);
        countError(end.error.value_or(core::ErrorKind::Internal));
        break;
    case RequestEndKind::CallerGone:
        m_metrics.increment(Counter::RequestsCancelled);
        break;
    }
    if (end.firstToken) {
        m_metrics.record(report::Latency::FirstToken, *end.firstToken, m_clock.now());
    }
}

void RequestMetrics::recordEnd(const ClassifiedRequest &request, const RequestEnd &end)
{
    countEnd(end);
    const bool isExcluded = end.kind == RequestEndKind::CallerGone || (end.error && isCallerError(*end.error));
    if (isExcluded) {
        return;
    }
    report::BurnObservation observation;
    observation.key = burnKeyOf(request);
    observation.succeeded = end.kind == RequestEndKind::Answered && end.status < firstServerError;
    observation.gaps = end.gaps;
    observation.slowGaps = end.slowGaps;
    if (!request.route.model.isEmpty()) {
        observation.firstToken = end.firstToken;
    }
    m_burn.record(observation, m_clock.now());
}

std::optional<core::Duration> RequestMetrics::maxTokenGap(const ClassifiedRequest &request) const
{
    const auto thresholds = m_burn.thresholds(burnKeyOf(request));
    return thresholds ? std::optional(thresholds->betweenTokens) : std::nullopt;
}

std::string RequestMetrics::metricsText() const
{
    return m_metrics.prometheusText(m_clock.now());
}

std::string RequestMetrics::burnJson() const
{
    return report::toJson(m_burn.counts(m_clock.now()));
}

} // namespace lycheelanding::daemon::entry
