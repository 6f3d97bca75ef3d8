#include "lycheelanding/decisions/admission/admissioncontroller.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace lycheelanding::decisions::admission {

namespace {

using namespace std::chrono_literals;

core::OrganisationId organisationNumbered(std::size_t number)
{
    return core::OrganisationId("organisation-" + std::to_string(number));
}

RequestTicket ticket(std::uint64_t id, std::size_t organisation, core::TimePoint deadline)
{
    return {TicketId(id), organisationNumbered(organisation), Priority::Normal, deadline, 1};
}

enum class Step : std::uint8_t { Offer, Complete, Cancel, Dequeue, Wait, Capacity };

/// The controller under test with a reference model of the tickets that it holds.
struct Harness
{
    Harness() : controller({.maxQueuedPerOrganisation = 5})
    {
        controller.setOrganisations({{organisationNumbered(0), 1.0}, {organisationNumbered(1), 3.0, 4}});
        controller.setCapacity(capacity);
    }

    void offer(std::uint64_t value)
    {
        RequestTicket offered = ticket(++ids, value % 2, now + std::chrono::milliseconds(value % 4000));
        offered.priority = static_cast<Priority>(value % 3);
        const auto result = controller.offer(offered, now);
        if (std::holds_alternative<Admitted>(result)) {
            admitted(ids);
        } else if (std::holds_alternative<Queued>(result)) {
            RC_ASSERT(queued.insert(ids).second);
        } else {
            RC_ASSERT(std::get<Refused>(result).error.retryAfter.has_value());
        }
    }

    void admitted(std::uint64_t id)
    {
        RC_ASSERT(running.insert(id).second);
        RC_ASSERT(running.size() <= capacity);
    }

    void dequeue()
    {
        const DequeuedTickets dequeued = controller.dequeue(now);
        for (const auto &refused : dequeued.refused) {
            RC_ASSERT(queued.erase(refused.id.number()) == 1U);
            RC_ASSERT(refused.error.retryAfter.has_value());
        }
        for (const auto &ticket : dequeued.admitted) {
            RC_ASSERT(queued.erase(ticket.id.number()) == 1U);
            admitted(ticket.id.number());
        }
    }

    void apply(Step step, std::uint64_t value)
    {
        std::set<std::uint64_t> &chosen = step == Step::Cancel && value % 2 == 0 ? queued : running;
        const std::uint64_t id = chosen.empty() ? 0 : *std::next(chosen.begin(), value % chosen.size());
        switch (step) {
        case Step::Offer:
            return offer(value);
        case Step::Complete:
            controller.completed(TicketId(id), now);
            running.erase(id);
            return dequeue();
        case Step::Cancel:
            controller.cancelled(TicketId(id), now);
            chosen.erase(id);
            return;
        case Step::Dequeue:
            return dequeue();
        case Step::Wait:
            now += std::chrono::milliseconds(value % 500);
            return;
        case Step::Capacity:
            // Admitted tickets are never revoked, so the model keeps the capacity at or above the running requests.
            capacity = std::max<std::size_t>(running.size(), value % 12);
            controller.setCapacity(capacity);
        }
    }

    AdmissionController controller;
    core::TimePoint now = core::TimePoint(1h);
    std::size_t capacity = 8;
    std::set<std::uint64_t> queued;
    std::set<std::uint64_t> running;
    std::uint64_t ids = 0;
};

} // namespace

RC_GTEST_PROP(AdmissionControllerTest, holdsEachTicketOnceWithinItsLimits, ())
{
    Harness harness;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
        rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::arbitrary<std::uint32_t>()));
    for (const auto &[kind, value] : steps) {
        harness.apply(kind < 6 ? static_cast<Step>(kind) : Step::Offer, value);
        RC_ASSERT(harness.controller.inFlight() == harness.running.size());
        RC_ASSERT(harness.controller.queued() == harness.queued.size());
        RC_ASSERT(harness.controller.inFlight(organisationNumbered(1)) <= 4U);
        RC_ASSERT(harness.controller.queued(organisationNumbered(0)) <= 5U);
    }
    harness.now += 10s;
    harness.dequeue();
    RC_ASSERT(harness.queued.empty());
}

RC_GTEST_PROP(AdmissionControllerTest, backloggedOrganisationsGetTheirShares, ())
{
    const auto weight = *rc::gen::inRange(1, 6);
    AdmissionController controller({.maxQueueWait = 1h});
    controller.setOrganisations({{organisationNumbered(0), 1.0}, {organisationNumbered(1), double(weight)}});
    controller.setCapacity(1);
    const core::TimePoint now(1h);
    std::map<std::uint64_t, std::size_t> owners;
    std::uint64_t running = 0;
    for (std::uint64_t id = 1; id <= 400; ++id) {
        owners[id] = id % 2;
        if (std::holds_alternative<Admitted>(controller.offer(ticket(id, id % 2, now + 1h), now))) {
            running = id;
        }
    }
    std::array<int, 2> counts{};
    for (int round = 0; round < 20 * (weight + 1); ++round) {
        ++counts[owners[running]];
        controller.completed(TicketId(running), now);
        const auto dequeued = controller.dequeue(now);
        RC_ASSERT(dequeued.admitted.size() == 1U);
        running = dequeued.admitted.front().id.number();
    }
    RC_ASSERT(std::abs(counts[0] - 20) <= 2);
}

TEST(AdmissionControllerTest, floodLeavesTheReserveToOthers)
{
    AdmissionController controller({.reserveFraction = 0.2});
    // The share of the flooding organisation is one request, so its flood reaches the full reserve.
    controller.setOrganisations({{organisationNumbered(0), 1.0}, {organisationNumbered(1), 9.0}});
    controller.setCapacity(10);
    const core::TimePoint now(1h);
    for (std::uint64_t id = 1; id <= 20; ++id) {
        controller.offer(ticket(id, 0, now + 1min), now);
    }
    EXPECT_EQ(controller.inFlight(), 8U);
    const auto other = controller.offer(ticket(21, 1, now + 1min), now);
    ASSERT_TRUE(std::holds_alternative<Admitted>(other));
    EXPECT_FALSE(std::get<Admitted>(other).isBeyondShare);
    controller.completed(TicketId(1), now);
    controller.completed(TicketId(2), now);
    const auto dequeued = controller.dequeue(now);
    ASSERT_EQ(dequeued.admitted.size(), 1U);
    EXPECT_TRUE(dequeued.admitted.front().isBeyondShare);
}

TEST(AdmissionControllerTest, remoteDemandShiftsTheShare)
{
    AdmissionController controller({.reserveFraction = 0.5});
    controller.setOrganisations({{organisationNumbered(0), 1.0}, {organisationNumbered(1), 1.0}});
    controller.setLiveEntries(2);
    controller.setCapacity(100);
    core::TimePoint now(1h);
    for (std::uint64_t id = 1; id <= 100; ++id) {
        controller.offer(ticket(id, 0, now + 1min), now);
        controller.cancelled(TicketId(id), now);
        now += 10ms;
    }
    EXPECT_GT(controller.localDemand(organisationNumbered(0), now), 50.0);
    controller.setRemoteDemand(organisationNumbered(0), 0.0);
    controller.setRemoteDemand(organisationNumbered(1), 100.0);
    for (std::uint64_t id = 200; id <= 300; ++id) {
        controller.offer(ticket(id, 0, now + 1min), now);
    }
    EXPECT_GT(controller.inFlight(organisationNumbered(0)), 70U);
}

TEST(AdmissionControllerTest, newSettingsKeepQueuedRequests)
{
    AdmissionController controller({});
    controller.setOrganisations({{organisationNumbered(0), 1.0}});
    controller.setCapacity(1);
    const core::TimePoint now(1h);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        controller.offer(ticket(id, 0, now + 1min), now);
    }
    controller.configure({.maxQueuedPerOrganisation = 1});
    EXPECT_EQ(controller.inFlight(), 1U);
    EXPECT_EQ(controller.queued(), 2U);
    EXPECT_TRUE(std::holds_alternative<Refused>(controller.offer(ticket(4, 0, now + 1min), now)));
    controller.configure({.maxQueuedPerOrganisation = 3});
    EXPECT_TRUE(std::holds_alternative<Queued>(controller.offer(ticket(5, 0, now + 1min), now)));
}

} // namespace lycheelanding::decisions::admission
