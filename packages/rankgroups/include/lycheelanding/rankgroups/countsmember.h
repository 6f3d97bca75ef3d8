#pragma once

#include "lycheelanding/rankgroups/choiceincrements.h"
#include "lycheelanding/rankgroups/countscollector.h"
#include "lycheelanding/rankgroups/countsquantizer.h"
#include "lycheelanding/rankgroups/countsschedule.h"
#include "lycheelanding/rankgroups/countstree.h"

#include <optional>
#include <string>

namespace lycheelanding::rankgroups {

/// A report to send.
struct AddressedCounts
{
    /// IP address of a collector; empty for the group's leader.
    std::string collector;
    CountsReport report;
};

/// A side's part in the tree of counts: when it reads the counts of its rank, and what it sends to whom.
class CountsMember
{
public:
    /// `ip` is the side's own address.
    explicit CountsMember(std::string ip);

    /// The leader has told the route of this side's counts.
    void routed(const CountsRoute &route);
    bool isReadDue(core::StepNumber step, core::TimePoint now) const { return m_schedule.isDue(step, now); }
    void readStarted(core::StepNumber step, core::TimePoint now);
    /// `totals` are the rank's counts since its engine started in `generation`. An idle rank sends nothing.
    std::optional<AddressedCounts> countsRead(core::Generation generation, ChoiceCounts totals, core::TimePoint now);
    /// Another member sent its counts here.
    std::optional<AddressedCounts> reportReceived(const std::string &source, const CountsReport &report,
                                                  core::TimePoint now);

private:
    bool isCollector() const { return m_route.collector == m_ip; }
    std::optional<AddressedCounts> collect(const std::string &source, const CountsReport &report, core::TimePoint now);

    const std::string m_ip;
    CountsRoute m_route;
    CountsSchedule m_schedule;
    /// Step at which the counts were read last, and whether the rank had begun it since the read before.
    core::StepNumber m_readStep;
    bool m_hasStepped = false;
    ChoiceIncrements m_increments;
    CountsQuantizer m_quantizer;
    std::optional<CountsCollector> m_collector;
};

} // namespace lycheelanding::rankgroups
