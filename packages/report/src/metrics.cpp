#include "lycheelanding/report/metrics.h"

#include <fmt/format.h>

#include <iterator>

namespace lycheelanding::report {

namespace {

double seconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void appendHeader(std::string &text, std::string_view name, std::string_view help, std::string_view type)
{
    fmt::format_to(std::back_inserter(text), "# HELP lycheelanding_{0} {1}\n# TYPE lycheelanding_{0} {2}\n", name, help,
                   type);
}

void appendLatency(std::string &text, const MetricText &metric, const LatencyStatistics &statistics)
{
    const auto name = fmt::format("{}_seconds", metric.name);
    appendHeader(text, name, metric.help, "summary");
    for (std::size_t index = 0; index < latencyQuantiles.size(); ++index) {
        fmt::format_to(std::back_inserter(text), "lycheelanding_{}{{quantile=\"{}\"}} {:.6f}\n", name,
                       latencyQuantiles[index], seconds(statistics.quantiles[index]));
    }
    fmt::format_to(std::back_inserter(text), "lycheelanding_{0}_sum {1:.6f}\nlycheelanding_{0}_count {2}\n", name,
                   seconds(statistics.sum), statistics.count);
}

std::size_t indexOf(core::ErrorKind kind)
{
    // Kinds are also received in messages of peers, so the value may be outside the enumeration.
    const auto index = static_cast<std::size_t>(kind);
    return index < core::errorKindCount ? index : static_cast<std::size_t>(core::ErrorKind::Internal);
}

} // namespace

void Metrics::increment(Counter counter, std::uint64_t amount)
{
    m_counters[static_cast<std::size_t>(counter)].fetch_add(amount, std::memory_order_relaxed);
}

void Metrics::countRefusal(core::ErrorKind kind)
{
    m_refusals[indexOf(kind)].fetch_add(1, std::memory_order_relaxed);
}

void Metrics::set(Gauge gauge, std::uint64_t value)
{
    m_gauges[static_cast<std::size_t>(gauge)].store(value, std::memory_order_relaxed);
}

void Metrics::record(Latency latency, core::Duration duration, core::TimePoint now)
{
    const std::lock_guard lock(m_latencyMutex);
    m_latencies[static_cast<std::size_t>(latency)].record(duration, now);
}

std::uint64_t Metrics::value(Counter counter) const
{
    return m_counters[static_cast<std::size_t>(counter)].load(std::memory_order_relaxed);
}

std::uint64_t Metrics::value(Gauge gauge) const
{
    return m_gauges[static_cast<std::size_t>(gauge)].load(std::memory_order_relaxed);
}

std::uint64_t Metrics::refusals(core::ErrorKind kind) const
{
    return m_refusals[indexOf(kind)].load(std::memory_order_relaxed);
}

LatencyStatistics Metrics::statistics(Latency latency, core::TimePoint now) const
{
    const std::lock_guard lock(m_latencyMutex);
    return m_latencies[static_cast<std::size_t>(latency)].statistics(now);
}

std::string Metrics::prometheusText(core::TimePoint now) const
{
    std::string text;
    for (std::size_t index = 0; index < counterCount; ++index) {
        const auto &metric = counterTexts()[index];
        const auto name = fmt::format("{}_total", metric.name);
        appendHeader(text, name, metric.help, "counter");
        fmt::format_to(std::back_inserter(text), "lycheelanding_{} {}\n", name, value(static_cast<Counter>(index)));
    }
    appendHeader(text, "refusals_total", "Answers that carry an error, by kind", "counter");
    for (const auto &answer : core::errorAnswers()) {
        fmt::format_to(std::back_inserter(text), "lycheelanding_refusals_total{{kind=\"{}\"}} {}\n", answer.name,
                       refusals(answer.kind));
    }
    for (std::size_t index = 0; index < gaugeCount; ++index) {
        const auto &metric = gaugeTexts()[index];
        appendHeader(text, metric.name, metric.help, "gauge");
        fmt::format_to(std::back_inserter(text), "lycheelanding_{} {}\n", metric.name,
                       value(static_cast<Gauge>(index)));
    }
    for (std::size_t index = 0; index < latencyCount; ++index) {
        appendLatency(text, latencyTexts()[index], statistics(static_cast<Latency>(index), now));
    }
    return text;
}

} // namespace lycheelanding::report
