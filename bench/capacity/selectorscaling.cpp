#include "scaling.h"

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/membership/backendmembership.h"
#include "lycheelanding/decisions/routing/backendselector.h"

namespace lycheelanding::bench::capacity {

namespace {

using namespace decisions::routing;

constexpr std::size_t ranksPerServer = 8;

core::VmId vmIdOf(std::size_t number)
{
    return core::VmId("backend-" + std::to_string(number));
}

std::vector<BackendCandidate> candidates(std::size_t count)
{
    std::vector<BackendCandidate> all;
    for (std::size_t number = 0; number < count; ++number) {
        BackendCandidate candidate;
        candidate.vm = vmIdOf(number);
        candidate.dataCentre = core::DataCentreId("a");
        candidate.model = core::ModelId("drafting");
        for (std::size_t rank = 0; rank < ranksPerServer; ++rank) {
            candidate.ranks.emplace_back(rank);
        }
        all.push_back(std::move(candidate));
    }
    return all;
}

ScalingRow choiceRow(std::size_t servers)
{
    core::ManualClock clock;
    BackendSelector selector(SelectorSettings(), 1);
    selector.setCandidates(candidates(servers));
    RouteRequest request;
    request.model = core::ModelId("drafting");
    request.prefix = PromptPrefix{42, 100};
    std::uint64_t attempt = 0;
    const double time = microsecondsPerCall([&] {
        clock.advance(std::chrono::microseconds(100));
        const auto choice = selector.choose(request, clock.now());
        const AttemptId id(++attempt);
        selector.requestSent(id, core::valueOf(choice), 100, clock.now());
        selector.firstToken(id, 50, clock.now());
        selector.requestEnded(id, Outcome::Answered, clock.now());
    });
    return {"choice, first token and end, by servers", servers, time, "us"};
}

ScalingRow membershipRow(std::size_t servers)
{
    core::ManualClock clock;
    decisions::membership::BackendMembership membership{decisions::membership::MembershipSettings()};
    std::vector<decisions::membership::ListedVm> listed;
    for (std::size_t number = 0; number < servers; ++number) {
        listed.push_back({vmIdOf(number), decisions::membership::VmState::Live});
        membership.heartbeat(vmIdOf(number), core::Incarnation(number + 1), clock.now());
    }
    const double time = microsecondsPerCall([&] {
        membership.vmsListed(listed, clock.now());
        for (std::size_t number = 0; number < servers; ++number) {
            membership.heartbeat(vmIdOf(number), core::Incarnation(number + 1), clock.now());
        }
    });
    return {"listing and a heartbeat of each, by servers", servers, time, "us"};
}

} // namespace

std::vector<ScalingRow> measureSelector()
{
    std::vector<ScalingRow> rows;
    for (const std::size_t servers : {10, 20, 40, 160, 810}) {
        rows.push_back(choiceRow(servers));
    }
    for (const std::size_t servers : {20, 40, 810}) {
        rows.push_back(membershipRow(servers));
    }
    return rows;
}

} // namespace lycheelanding::bench::capacity
