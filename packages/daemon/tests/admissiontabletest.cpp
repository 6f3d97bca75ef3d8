#include "entry/admissiontable.h"
#include "entry/classifiedrequest.h"

#include <gtest/gtest.h>

namespace lycheelanding::daemon::entry {

namespace {

using decisions::admission::Admitted;
using decisions::admission::TicketId;

const core::OrganisationId flooding("flooding");
const core::OrganisationId calm("calm");

class AdmissionTableTest : public ::testing::Test
{
protected:
    AdmissionTableTest()
    {
        table.setOrganisations({{flooding, 1.0, 0}, {calm, 1.0, 0}});
        table.setCapacity(4);
    }

    void offer(std::uint64_t id, const core::OrganisationId &organisation)
    {
        const auto deadline = core::SystemClock().now() + std::chrono::hours(1);
        table.offer({TicketId(id), organisation, decisions::admission::Priority::Normal, deadline, 1},
                    [this, id](const core::Result<Admitted> &result) {
                        beyondShare[id] = core::isOk(result) && core::valueOf(result).beyondShare;
                    });
    }

    static decisions::admission::AdmissionSettings settings()
    {
        decisions::admission::AdmissionSettings settings;
        settings.reserveFraction = 0.0;
        return settings;
    }

    /// Never run: verdicts come from the calls alone.
    asio::io_context context;
    AdmissionTable table{context, settings()};
    std::map<std::uint64_t, bool> beyondShare;
};

} // namespace

TEST_F(AdmissionTableTest, theVerdictTellsOfRequestsBeyondTheShareAtOnceAndAfterAWait)
{
    for (std::uint64_t id = 1; id <= 5; ++id) {
        offer(id, flooding);
    }
    using Verdicts = std::map<std::uint64_t, bool>;
    EXPECT_EQ(beyondShare, (Verdicts{{1, false}, {2, false}, {3, true}, {4, true}}));
    table.completed(TicketId(1));
    EXPECT_EQ(beyondShare, (Verdicts{{1, false}, {2, false}, {3, true}, {4, true}, {5, true}}));
    offer(6, calm);
    table.completed(TicketId(2));
    EXPECT_FALSE(beyondShare.at(6));
}

TEST(UrgencyBeyondShareTest, neverRaisesAndIsBelowTheUsual)
{
    for (std::uint8_t wished = 0; wished <= 7; ++wished) {
        EXPECT_GE(urgencyBeyondShare(wished), wished);
        EXPECT_GT(urgencyBeyondShare(wished), 3);
    }
}

} // namespace lycheelanding::daemon::entry
