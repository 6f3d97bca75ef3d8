#include "relayingside.h"

#include <gtest/gtest.h>

namespace lycheelanding::rankgroups {

namespace {

using decisions::quarantine::CrashReport;
using decisions::quarantine::RequestFeature;
using decisions::quarantine::RequestFeatures;

const RequestFeatures features{RequestFeature("common"), RequestFeature("bad")};

bool isHeld(Entry &entry)
{
    return entry.server.requestGuard().holdTime({features, RequestFeature("request:1")}).has_value();
}

} // namespace

TEST(CrashNotices, noticesAreTheSameAfterDecoding)
{
    const auto crash = decodeDatagram(encodeDatagram(CrashNotice{"b1@5", features, 70}));
    ASSERT_TRUE(crash && std::holds_alternative<CrashNotice>(*crash));
    EXPECT_EQ(std::get<CrashNotice>(*crash).backend, "b1@5");
    EXPECT_EQ(std::get<CrashNotice>(*crash).features, features);
    EXPECT_EQ(std::get<CrashNotice>(*crash).ageMs, 70U);
    const auto progress = decodeDatagram(encodeDatagram(ProgressNotice{features, 80}));
    ASSERT_TRUE(progress && std::holds_alternative<ProgressNotice>(*progress));
    EXPECT_EQ(std::get<ProgressNotice>(*progress).features, features);
    EXPECT_EQ(std::get<ProgressNotice>(*progress).ageMs, 80U);
}

TEST(CrashNotices, cutOffNoticesAreInvalid)
{
    const auto bytes = encodeDatagram(CrashNotice{"b1@5", features, 70});
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        EXPECT_EQ(decodeDatagram(std::string_view(bytes).substr(0, size)), std::nullopt);
    }
}

// No entry alone sees enough of the crashes, and entries do not know each other's addresses.
TEST(CrashNotices, sideRelaysThemBetweenEntries)
{
    asio::io_context context{1};
    const RelayingSide side(context);
    Entry first(context, "127.0.0.51", side.port);
    Entry second(context, "127.0.0.52", side.port);
    ASSERT_TRUE(side.isOpen && first.isOpen && second.isOpen);

    core::SystemClock clock;
    for (const auto *backend : {"b1", "b2"}) {
        first.server.requestGuard().apply(CrashReport{backend, features, clock.now()});
    }
    ASSERT_TRUE(isHeld(first));
    EXPECT_TRUE(runUntil(context, [&] { return isHeld(second); }));

    first.server.requestGuard().answerProgressed({features, RequestFeature("request:1")});
    ASSERT_FALSE(isHeld(first));
    EXPECT_TRUE(runUntil(context, [&] { return !isHeld(second); }));
}

} // namespace lycheelanding::rankgroups
