#include "lycheelanding/rankgroups/countsmember.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::rankgroups {

CountsMember::CountsMember(std::string ip) : m_ip(std::move(ip)) { }

void CountsMember::routed(const CountsRoute &route)
{
    m_schedule.setInterval(route.interval);
    const bool wasCollector = std::exchange(m_route, route).collector == m_ip;
    if (!isCollector()) {
        m_collector.reset();
    } else if (!wasCollector || !m_collector) {
        // A sum ends with the report of each member, or when the next reports are due. While the members are not known
        // yet, each report would end one.
        m_collector.emplace(CollectorSettings{0, route.interval / 2, route.interval, route.interval});
    }
}

void CountsMember::readStarted(core::StepNumber step, core::TimePoint now)
{
    m_schedule.readStarted(step, now);
    m_hasStepped = std::exchange(m_readStep, step) != step;
}

std::optional<AddressedCounts> CountsMember::countsRead(core::Generation generation, ChoiceCounts totals,
                                                        core::TimePoint now)
{
    auto counts = m_increments.since(std::move(totals));
    const bool isIdle
        = !m_hasStepped && std::all_of(counts.begin(), counts.end(), [](std::uint32_t count) { return count == 0; });
    if (counts.empty() || isIdle) {
        return std::nullopt;
    }
    if (isCollector()) {
        return collect(m_ip, {generation, m_readStep, 1, 0, std::move(counts)}, now);
    }
    return AddressedCounts{m_route.collector,
                           m_quantizer.quantize({generation, m_readStep, 1, {counts.begin(), counts.end()}})};
}

std::optional<AddressedCounts> CountsMember::reportReceived(const std::string &source, const CountsReport &report,
                                                            core::TimePoint now)
{
    return isCollector() ? collect(source, report, now) : std::nullopt;
}

std::optional<AddressedCounts> CountsMember::collect(const std::string &source, const CountsReport &report,
                                                     core::TimePoint now)
{
    m_collector->add(source, report, now);
    const auto sum = m_collector->takeIfEnded(now);
    return sum ? std::optional(AddressedCounts{{}, m_quantizer.quantize(*sum)}) : std::nullopt;
}

} // namespace lycheelanding::rankgroups
