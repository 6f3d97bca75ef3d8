#include "entry/backendtable.h"

#include <gtest/gtest.h>

namespace lycheelanding::daemon::entry {

namespace {

using decisions::routing::AttemptId;
using decisions::routing::Outcome;

const core::VmId firstVm("b1");
const core::VmId secondVm("b2");
constexpr core::Incarnation firstIncarnation(1);
constexpr core::Incarnation secondIncarnation(2);

configuration::Document document(const std::string &service)
{
    configuration::Document document;
    document.services.push_back({core::ServiceId(service), "/orders", {firstVm, secondVm}, {}});
    return document;
}

decisions::routing::RouteRequest requestFor(const std::string &service)
{
    decisions::routing::RouteRequest request;
    request.service = core::ServiceId(service);
    return request;
}

/// A heartbeat of a side that serves and whose backend server is reachable.
void sendHeartbeat(BackendTable &table, const core::VmId &vm, core::Incarnation incarnation)
{
    wire::Heartbeat heartbeat;
    heartbeat.isBackendReachable = true;
    table.heartbeat(vm, incarnation, heartbeat);
}

class BackendTableTest : public ::testing::Test
{
protected:
    BackendTableTest()
    {
        table.setConfiguration(document("orders"));
        table.setVms({{firstVm, {}, services::VmRole::Backend, services::VmState::Live, ""},
                      {secondVm, {}, services::VmRole::Backend, services::VmState::Live, ""}});
    }

    /// Sends one request and ends it with `outcome`. Returns the chosen VM; an empty id if there was none.
    core::VmId sendOne(Outcome outcome)
    {
        const AttemptId attempt(++attempts);
        const auto choice = table.chooseBackend(requestFor("orders"), attempt);
        if (!core::isOk(choice)) {
            return {};
        }
        auto vm = core::valueOf(choice).vm;
        table.requestEnded(attempt, vm, outcome);
        return vm;
    }

    BackendTable table{7};
    std::uint64_t attempts = 0;
};

} // namespace

TEST_F(BackendTableTest, leavingVmGetsNoRequestsUntilItsNextIncarnation)
{
    EXPECT_EQ(table.capacity(), 0U);
    sendHeartbeat(table, firstVm, firstIncarnation);
    const auto capacityOfOne = table.capacity();
    ASSERT_GT(capacityOfOne, 1U);
    ASSERT_EQ(sendOne(Outcome::Leaving), firstVm);
    EXPECT_EQ(sendOne(Outcome::Answered), core::VmId());
    EXPECT_EQ(table.capacity(), 1U);
    sendHeartbeat(table, secondVm, firstIncarnation);
    EXPECT_EQ(table.capacity(), capacityOfOne);
    sendHeartbeat(table, firstVm, firstIncarnation);
    EXPECT_EQ(table.capacity(), capacityOfOne);
    sendHeartbeat(table, firstVm, secondIncarnation);
    EXPECT_EQ(table.capacity(), 2 * capacityOfOne);
}

TEST_F(BackendTableTest, lateRefusalOfAnEarlierIncarnationDoesNotAffectTheNext)
{
    sendHeartbeat(table, firstVm, firstIncarnation);
    const AttemptId attempt(++attempts);
    ASSERT_TRUE(core::isOk(table.chooseBackend(requestFor("orders"), attempt)));
    sendHeartbeat(table, firstVm, secondIncarnation);
    table.requestEnded(attempt, firstVm, Outcome::Leaving);
    EXPECT_EQ(sendOne(Outcome::Answered), firstVm);
}

// Guards against a 404 without Retry-After for a configured service or model while all of its sides restart.
TEST_F(BackendTableTest, configuredServiceWithoutRoutableVmsIsUnavailableAndNotUnknown)
{
    const auto errorFor = [this](const std::string &service) {
        return core::errorOf(table.chooseBackend(requestFor(service), AttemptId(++attempts))).kind;
    };
    EXPECT_EQ(errorFor("orders"), core::ErrorKind::NoBackendServer);
    EXPECT_EQ(errorFor("invoices"), core::ErrorKind::UnknownModel);
    sendHeartbeat(table, firstVm, firstIncarnation);
    ASSERT_EQ(sendOne(Outcome::Answered), firstVm);
    table.linkLost(firstVm);
    EXPECT_EQ(errorFor("orders"), core::ErrorKind::NoBackendServer);
}

TEST_F(BackendTableTest, newConfigurationAppliesWithoutAChangeOfVms)
{
    sendHeartbeat(table, firstVm, firstIncarnation);
    ASSERT_EQ(sendOne(Outcome::Answered), firstVm);
    table.setConfiguration(document("invoices"));
    EXPECT_FALSE(core::isOk(table.chooseBackend(requestFor("orders"), AttemptId(++attempts))));
    EXPECT_TRUE(core::isOk(table.chooseBackend(requestFor("invoices"), AttemptId(++attempts))));
}

TEST_F(BackendTableTest, newConfigurationKeepsTheStateOfVms)
{
    sendHeartbeat(table, firstVm, firstIncarnation);
    const auto capacity = table.capacity();
    auto next = document("orders");
    next.membership.heartbeatTimeoutMs = 60'000;
    table.setConfiguration(next);
    EXPECT_EQ(table.capacity(), capacity);
    ASSERT_EQ(sendOne(Outcome::Leaving), firstVm);
    table.setConfiguration(next);
    EXPECT_EQ(sendOne(Outcome::Answered), core::VmId());
}

} // namespace lycheelanding::daemon::entry
