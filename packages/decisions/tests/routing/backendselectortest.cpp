#include "lycheelanding/decisions/routing/backendselector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace lycheelanding::decisions::routing {

namespace {

using namespace std::chrono_literals;

const core::ServiceId drafting("drafting");
const core::ModelId model("draft");

core::VmId vmNumbered(std::size_t number)
{
    return core::VmId("vm-" + std::to_string(number));
}

BackendCandidate candidateNumbered(std::size_t number)
{
    BackendCandidate candidate;
    candidate.vm = vmNumbered(number);
    candidate.dataCentre = core::DataCentreId(number % 2 == 0 ? "a" : "b");
    candidate.service = drafting;
    candidate.model = model;
    candidate.versions = {ModelVersion("1")};
    candidate.ranks = {core::RankIndex(2 * number), core::RankIndex(2 * number + 1)};
    return candidate;
}

std::vector<BackendCandidate> candidates(std::size_t count)
{
    std::vector<BackendCandidate> list;
    for (std::size_t number = 0; number < count; ++number) {
        list.push_back(candidateNumbered(number));
    }
    return list;
}

RouteRequest request()
{
    RouteRequest wanted;
    wanted.service = drafting;
    wanted.model = model;
    wanted.expectedTokens = 100;
    wanted.localDataCentre = core::DataCentreId("a");
    return wanted;
}

enum class Step : std::uint8_t { Send, Progress, End, Report, Leave, Remove, Reset, Wait };

/// The selector under test with a reference model of its candidates and attempts.
struct Harness
{
    explicit Harness(std::uint64_t seed) : selector(SelectorSettings(), seed) { reset(4); }

    void reset(std::size_t count)
    {
        selector.setCandidates(candidates(count));
        std::set<core::VmId> kept;
        for (std::size_t number = 0; number < count; ++number) {
            kept.insert(vmNumbered(number));
            if (configured.count(vmNumbered(number)) == 0) {
                leaving.erase(vmNumbered(number));
            }
        }
        configured = kept;
    }

    void send(std::uint64_t excluded)
    {
        RouteRequest wanted = request();
        wanted.excluded = {vmNumbered(excluded % 8)};
        wanted.prefix = PromptPrefix{excluded, 50};
        const auto result = selector.choose(wanted, now);
        if (!core::isOk(result)) {
            return;
        }
        const Choice &choice = core::valueOf(result);
        RC_ASSERT(configured.count(choice.vm) == 1U);
        RC_ASSERT(leaving.count(choice.vm) == 0U);
        RC_ASSERT(choice.vm != wanted.excluded.front());
        ++attempts;
        selector.requestSent(AttemptId(attempts), choice, 100, now);
        running[attempts] = choice.vm;
    }

    void end(AttemptId attempt, Outcome outcome)
    {
        selector.requestEnded(attempt, outcome, now);
        const auto found = running.find(attempt.number());
        if (found == running.end()) {
            return;
        }
        if (outcome == Outcome::Leaving) {
            leaving.insert(found->second);
        }
        running.erase(found);
    }

    void apply(Step step, std::uint64_t value)
    {
        const auto vm = vmNumbered(value % 8);
        const AttemptId attempt(running.empty() ? 0 : std::next(running.begin(), value % running.size())->first);
        switch (step) {
        case Step::Send:
            return send(value);
        case Step::Progress:
            selector.firstToken(attempt, value % 70, now);
            return selector.tokenProgress(attempt, value % 70, now);
        case Step::End:
            end(attempt, static_cast<Outcome>(value % 6));
            return;
        case Step::Report:
            return selector.reportLoad(vm, {{{core::RankIndex(2 * (value % 8)), value % 1000, 0}}, now - 1s});
        case Step::Leave:
            selector.setLeaving(vm);
            leaving.insert(vm);
            return;
        case Step::Remove:
            selector.remove(vm);
            configured.erase(vm);
            leaving.erase(vm);
            return;
        case Step::Reset:
            return reset(1 + value % 6);
        case Step::Wait:
            now += std::chrono::milliseconds(value % 3000);
        }
    }

    BackendSelector selector;
    core::TimePoint now = core::TimePoint(1h);
    std::set<core::VmId> configured;
    std::set<core::VmId> leaving;
    std::map<std::uint64_t, core::VmId> running;
    std::uint64_t attempts = 0;
};

} // namespace

RC_GTEST_PROP(BackendSelectorTest, choosesOnlyUsableServersAndReleasesEndedRequests, (std::uint64_t seed))
{
    Harness harness(seed);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
        rc::gen::pair(rc::gen::inRange(0, 16), rc::gen::arbitrary<std::uint32_t>()));
    for (const auto &[kind, value] : steps) {
        // The upper half of the range sends requests, so that most servers have work in flight.
        harness.apply(kind < 8 ? static_cast<Step>(kind) : Step::Send, value);
    }
    while (!harness.running.empty()) {
        harness.apply(Step::End, 0);
    }
    for (std::size_t number = 0; number < 8; ++number) {
        RC_ASSERT(harness.selector.inFlightRequests(vmNumbered(number)) == 0U);
        RC_ASSERT(harness.selector.inFlightTokens(vmNumbered(number)) == 0U);
    }
}

TEST(BackendSelectorTest, failingServerIsEjectedAndReturnsAfterOneProbe)
{
    BackendSelector selector(SelectorSettings(), 1);
    selector.setCandidates(candidates(3));
    core::TimePoint now(1h);
    std::uint64_t attempt = 0;
    for (int failure = 0; failure < 3; ++failure) {
        selector.requestSent(AttemptId(++attempt), {vmNumbered(1), core::RankIndex(2)}, 10, now);
        selector.requestEnded(AttemptId(attempt), Outcome::Failed, now);
    }
    EXPECT_FALSE(selector.isAvailable(vmNumbered(1), now));

    now += 2s;
    const auto probe = selector.choose(request(), now);
    ASSERT_TRUE(core::isOk(probe));
    EXPECT_TRUE(core::valueOf(probe).isProbe);
    selector.requestSent(AttemptId(++attempt), core::valueOf(probe), 10, now);
    const auto second = selector.choose(request(), now);
    EXPECT_FALSE(core::valueOf(second).isProbe);
    selector.requestEnded(AttemptId(attempt), Outcome::Answered, now + 100ms);
    EXPECT_TRUE(selector.isAvailable(vmNumbered(1), now + 100ms));
}

TEST(BackendSelectorTest, nonIdempotentRequestIsNotUsedAsProbe)
{
    BackendSelector selector(SelectorSettings(), 1);
    selector.setCandidates(candidates(3));
    core::TimePoint now(1h);
    for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
        selector.requestSent(AttemptId(attempt), {vmNumbered(1), core::RankIndex(2)}, 10, now);
        selector.requestEnded(AttemptId(attempt), Outcome::Failed, now);
    }
    RouteRequest once = request();
    once.isIdempotent = false;
    EXPECT_FALSE(core::valueOf(selector.choose(once, now + 10s)).isProbe);
}

TEST(BackendSelectorTest, stalledServerGetsNoFurtherRequest)
{
    BackendSelector selector(SelectorSettings(), 1);
    selector.setCandidates(candidates(4));
    const core::TimePoint now(1h);
    selector.requestSent(AttemptId(2), {vmNumbered(2), core::RankIndex(4)}, 10, now - 100ms);
    selector.firstToken(AttemptId(2), 5, now - 50ms);
    selector.requestEnded(AttemptId(2), Outcome::Answered, now);
    selector.requestSent(AttemptId(1), {vmNumbered(2), core::RankIndex(4)}, 10, now);
    EXPECT_TRUE(selector.isAvailable(vmNumbered(2), now + 100ms));
    EXPECT_FALSE(selector.isAvailable(vmNumbered(2), now + 2s));
    selector.tokenProgress(AttemptId(1), 1, now + 3s);
    EXPECT_TRUE(selector.isAvailable(vmNumbered(2), now + 3s));
}

TEST(BackendSelectorTest, unknownVersionIsAnErrorAndPlainServicesNeedNoModel)
{
    BackendSelector selector(SelectorSettings(), 1);
    BackendCandidate plain;
    plain.vm = core::VmId("app-0");
    plain.service = core::ServiceId("orders");
    selector.setCandidates({plain, candidateNumbered(0)});
    RouteRequest wanted = request();
    wanted.version = ModelVersion("2");
    EXPECT_EQ(core::errorOf(selector.choose(wanted, core::TimePoint(1h))).kind, core::ErrorKind::UnknownModel);
    RouteRequest order;
    order.service = core::ServiceId("orders");
    EXPECT_EQ(core::valueOf(selector.choose(order, core::TimePoint(1h))).vm, core::VmId("app-0"));
}

// Guards against refusing all requests of a small service: the limit of ejected servers applies to all servers
// together, so all three servers of one service could be ejected after lost answers, and its requests were refused for
// a second.
TEST(BackendSelectorTest, serviceWithAllServersEjectedIsStillServed)
{
    SelectorSettings settings;
    settings.minAvailableFraction = 0.5;
    BackendSelector selector(settings, 1);
    std::vector<BackendCandidate> candidates;
    for (int number = 0; number < 19; ++number) {
        BackendCandidate candidate;
        candidate.vm = core::VmId("vm-" + std::to_string(number));
        candidate.service = core::ServiceId(number < 3 ? "desk" : "drafts");
        candidates.push_back(candidate);
    }
    selector.setCandidates(candidates);
    RouteRequest request;
    request.service = core::ServiceId("desk");
    request.isIdempotent = false;
    const core::TimePoint now(1h);
    for (std::uint64_t number = 1; number <= 30; ++number) {
        const auto choice = selector.choose(request, now);
        ASSERT_TRUE(core::isOk(choice)) << number;
        selector.requestSent(AttemptId(number), core::valueOf(choice), 1, now);
        selector.requestEnded(AttemptId(number), Outcome::Failed, now);
    }
}

} // namespace lycheelanding::decisions::routing
