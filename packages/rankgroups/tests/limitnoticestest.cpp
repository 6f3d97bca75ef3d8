#include "relayingside.h"

#include <gtest/gtest.h>

namespace lycheelanding::rankgroups {

namespace {

const forwarding::BackendId backend("backend-1");

http::AnswerHead headWith(const std::string &limit)
{
    http::AnswerHead head;
    if (!limit.empty()) {
        head.headers.add("Limit", limit);
    }
    return head;
}

void receiveAnswer(Entry &entry, const std::string &limit)
{
    forwarding::FieldNames names;
    names.requestLimit = "Limit";
    const auto now = core::SystemClock().now();
    entry.server.intakeTracker().answered({backend, 0, now, now}, headWith(limit), names);
}

} // namespace

// An entry that gets no turns of a limit learns of its end from the others alone.
TEST(LimitNotices, entriesLearnOfLimitsThatOthersWereTold)
{
    asio::io_context context{1};
    const RelayingSide side(context);
    Entry first(context, "127.0.0.51", side.port);
    Entry second(context, "127.0.0.52", side.port);
    ASSERT_TRUE(side.isOpen && first.isOpen && second.isOpen);

    receiveAnswer(first, "2.5");
    EXPECT_TRUE(runUntil(context, [&] { return second.server.intake().limitOf(backend) == 2.5; }));
    receiveAnswer(first, "");
    EXPECT_TRUE(runUntil(context, [&] { return !second.server.intake().limitOf(backend); }));
}

// Another incarnation of the backend server may have the same id.
TEST(LimitNotices, limitOfAnEarlierIncarnationChangesNothing)
{
    asio::io_context context{1};
    Entry entry(context, "127.0.0.51", freePort(context));
    entry.server.intakeTracker().apply({backend, 17, 2.5, core::SystemClock().now()});
    EXPECT_FALSE(entry.server.intake().limitOf(backend));
    entry.server.intakeTracker().apply({backend, 0, 2.5, core::SystemClock().now()});
    EXPECT_TRUE(entry.server.intake().limitOf(backend));
}

} // namespace lycheelanding::rankgroups
