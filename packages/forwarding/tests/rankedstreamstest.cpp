#include "lycheelanding/forwarding/routetable.h"

#include <gtest/gtest.h>

namespace lycheelanding::forwarding {

namespace {

using namespace std::chrono_literals;

const core::ServiceId drafts("drafts");

Route streamRoute(std::uint32_t priority)
{
    Route route;
    route.kind = RouteKind::Stream;
    route.services = {{drafts, 1}};
    route.targetEventInterval = 120ms;
    route.priority = priority;
    return route;
}

std::set<core::ServiceId> rankedServices(std::vector<Route> routes)
{
    ForwardingConfiguration configuration;
    configuration.routes = std::move(routes);
    return RouteTable(std::move(configuration)).servicesWithRankedStreams();
}

} // namespace

// Guards against early refusals in deployments whose operators do not rank the streams of a service: there a late
// answer is what callers got before.
TEST(RankedStreams, streamsOfEqualPriorityAreNotAdmittedInTimeOnly)
{
    auto plain = streamRoute(2);
    plain.kind = RouteKind::NonIdempotent;
    auto withoutTarget = streamRoute(3);
    withoutTarget.targetEventInterval = 0ms;
    EXPECT_TRUE(rankedServices({streamRoute(1), streamRoute(1), plain, withoutTarget}).empty());
}

TEST(RankedStreams, serviceWhoseStreamsCompeteByPriorityIsAdmittedInTimeOnly)
{
    auto other = streamRoute(2);
    other.services = {{core::ServiceId("notices"), 1}};
    EXPECT_EQ(rankedServices({streamRoute(1), other, streamRoute(0)}), std::set{drafts});
}

} // namespace lycheelanding::forwarding
