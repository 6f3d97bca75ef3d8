#include "entry/admissionservice.h"
#include "entry/classifiedrequest.h"

#include <gtest/gtest.h>

namespace lycheelanding::daemon::entry {

namespace {

using decisions::admission::Admitted;
using decisions::admission::TicketId;

const core::OrganisationId heavyOrganisation("flooding");
const core::OrganisationId lightOrganisation("calm");

class AdmissionServiceTest : public ::testing::Test
{
protected:
    AdmissionServiceTest()
    {
        service.setOrganisations({{heavyOrganisation, 1.0, 0}, {lightOrganisation, 1.0, 0}});
        service.setCapacity(4);
    }

    void offer(std::uint64_t id, const core::OrganisationId &organisation)
    {
        const auto deadline = core::SystemClock().now() + std::chrono::hours(1);
        service.offer({TicketId(id), organisation, decisions::admission::Priority::Normal, deadline, 1},
                      [this, id](const core::Result<Admitted> &result) {
                          isBeyondShare[id] = core::isOk(result) && core::valueOf(result).isBeyondShare;
                      });
    }

    static decisions::admission::AdmissionSettings settings()
    {
        decisions::admission::AdmissionSettings settings;
        settings.reserveFraction = 0.0;
        return settings;
    }

    /// Never run, so the timer does not fire: decisions are made only in the calls of the test.
    asio::io_context context;
    AdmissionService service{context, settings()};
    std::map<std::uint64_t, bool> isBeyondShare;
};

} // namespace

TEST_F(AdmissionServiceTest, reportsRequestsBeyondTheShareAtOnceAndAfterQueueing)
{
    for (std::uint64_t id = 1; id <= 5; ++id) {
        offer(id, heavyOrganisation);
    }
    using Decisions = std::map<std::uint64_t, bool>;
    EXPECT_EQ(isBeyondShare, (Decisions{{1, false}, {2, false}, {3, true}, {4, true}}));
    service.completed(TicketId(1));
    EXPECT_EQ(isBeyondShare, (Decisions{{1, false}, {2, false}, {3, true}, {4, true}, {5, true}}));
    offer(6, lightOrganisation);
    service.completed(TicketId(2));
    EXPECT_FALSE(isBeyondShare.at(6));
}

TEST(UrgencyBeyondShareTest, isNotAboveTheRequestedAndBelowTheDefault)
{
    for (std::uint8_t requested = 0; requested <= 7; ++requested) {
        EXPECT_GE(urgencyBeyondShare(requested), requested);
        EXPECT_GT(urgencyBeyondShare(requested), 3);
    }
}

} // namespace lycheelanding::daemon::entry
