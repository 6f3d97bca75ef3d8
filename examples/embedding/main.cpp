// Embeds two parts of the decision library: the selector of backend servers and the planner of expert moves.

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/experts/expertplanner.h"
#include "lycheelanding/decisions/routing/backendselector.h"

#include <cstdlib>
#include <iostream>
#include <variant>

namespace {

using namespace lycheelanding;

/// Routes one request. The caller passes events and the time to the selector, which returns its choice.
bool showRouting(const core::SystemClock &clock)
{
    using namespace decisions::routing;
    BackendSelector selector(SelectorSettings(), 1);
    BackendCandidate near;
    near.vm = core::VmId("worker-1");
    near.dataCentre = core::DataCentreId("kolkata-a");
    near.model = core::ModelId("drafting");
    near.ranks = {core::RankIndex(0), core::RankIndex(1)};
    auto far = near;
    far.vm = core::VmId("worker-2");
    far.dataCentre = core::DataCentreId("durgapur");
    selector.setCandidates({near, far});

    RouteRequest request;
    request.model = core::ModelId("drafting");
    request.expectedTokens = 300;
    request.localDataCentre = core::DataCentreId("kolkata-a");
    const auto choice = selector.choose(request, clock.now());
    if (!core::isOk(choice)) {
        std::cout << core::errorOf(choice).detail << "\n";
        return false;
    }
    const AttemptId attempt(1);
    selector.requestSent(attempt, core::valueOf(choice), request.expectedTokens, clock.now());
    std::cout << "request goes to " << core::valueOf(choice).vm.text() << "\n";
    selector.requestEnded(attempt, Outcome::Answered, clock.now());
    return true;
}

/// Plans a move of experts after one expert has become hot.
bool showPlanning(const core::SystemClock &clock)
{
    using namespace decisions::experts;
    const MapShape shape{4, 8, 1, 3};
    const WeightStoreLimits weightStore{1'000'000, 100'000'000};
    ExpertPlanner planner(shape, settingsOf(PlannerPreset::LowSkew, shape, weightStore));
    ExpertCounts counts(shape.layers, shape.experts, clock.now());
    for (std::size_t expert = 0; expert < shape.experts; ++expert) {
        counts.setTokens(core::LayerIndex(0), core::ExpertIndex(expert), expert == 0 ? 4000 : 500);
    }
    planner.observe(counts);
    std::vector<core::RankIndex> ranks;
    for (std::size_t rank = 0; rank < shape.ranks; ++rank) {
        ranks.emplace_back(rank);
    }
    const auto plan = planner.plan(roundRobinMap(shape, core::MapVersion(1)), ranks, clock.now());
    if (const auto *move = std::get_if<Move>(&plan)) {
        std::cout << "move of " << move->loads.size() << " experts, predicted skew " << move->skewBefore << " to "
                  << move->skewAfter << "\n";
    } else {
        std::cout << "stay: " << nameOf(std::get<Stay>(plan).reason) << "\n";
    }
    return true;
}

} // namespace

int main()
{
    const core::SystemClock clock;
    return showRouting(clock) && showPlanning(clock) ? EXIT_SUCCESS : EXIT_FAILURE;
}
