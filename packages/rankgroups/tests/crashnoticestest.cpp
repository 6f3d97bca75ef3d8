#include "lycheelanding/rankgroups/rankstatusreceiver.h"
#include "lycheelanding/rankgroups/sideserver.h"

#include <gtest/gtest.h>

#include <memory>

namespace lycheelanding::rankgroups {

namespace {

using namespace std::chrono_literals;
using decisions::quarantine::CrashReport;
using decisions::quarantine::PromptPart;
using decisions::quarantine::PromptParts;

const PromptParts parts{PromptPart("common"), PromptPart("bad")};
const std::string sideIp = "127.0.0.53";

/// A port that is free on the side's address now.
std::uint16_t freePort(asio::io_context &context)
{
    const asio::ip::udp::socket socket(context, {asio::ip::make_address(sideIp), 0});
    return socket.local_endpoint().port();
}

EngineInterface silentEngine()
{
    EngineInterface engine;
    engine.readReport = [](const auto &, auto onReport) { onReport(std::nullopt); };
    return engine;
}

/// An entry with one backend server, beside which the side runs.
struct Entry
{
    Entry(asio::io_context &context, const std::string &ip, std::uint16_t port)
        : log(-1, ip), server(context, forwarding::EntryServerSettings(), log), receiver(context, server, port)
    {
        forwarding::ForwardingConfiguration configuration;
        configuration.version = core::ConfigurationVersion(1);
        configuration.services = {{core::ServiceId("drafts"), 0, forwarding::ModelShape()}};
        server.installConfiguration(configuration);
        forwarding::RegisteredBackend backend;
        backend.id = forwarding::BackendId("backend-1");
        backend.service = core::ServiceId("drafts");
        backend.address = sideIp + ":8000";
        server.applyBackendChanges({decisions::membership::BackendUsable{backend}});
        isOpen = core::isOk(receiver.open(ip));
    }

    bool isHeld() { return server.prompts().holdTime(parts).has_value(); }

    forwarding::EventLog log;
    forwarding::EntryServer server;
    RankStatusReceiver receiver;
    bool isOpen = false;
};

template <typename Condition>
bool runUntil(asio::io_context &context, Condition condition)
{
    constexpr int maxRounds = 1000;
    for (int round = 0; round < maxRounds && !condition(); ++round) {
        context.run_one_for(10ms);
        context.restart();
    }
    return condition();
}

} // namespace

TEST(CrashNotices, noticesAreTheSameAfterDecoding)
{
    const auto crash = decodeDatagram(encodeDatagram(CrashNotice{"b1@5", parts, 70}));
    ASSERT_TRUE(crash && std::holds_alternative<CrashNotice>(*crash));
    EXPECT_EQ(std::get<CrashNotice>(*crash).backend, "b1@5");
    EXPECT_EQ(std::get<CrashNotice>(*crash).parts, parts);
    EXPECT_EQ(std::get<CrashNotice>(*crash).ageMs, 70U);
    const auto progress = decodeDatagram(encodeDatagram(ProgressNotice{parts, 80}));
    ASSERT_TRUE(progress && std::holds_alternative<ProgressNotice>(*progress));
    EXPECT_EQ(std::get<ProgressNotice>(*progress).parts, parts);
    EXPECT_EQ(std::get<ProgressNotice>(*progress).ageMs, 80U);
}

TEST(CrashNotices, cutOffNoticesAreInvalid)
{
    const auto bytes = encodeDatagram(CrashNotice{"b1@5", parts, 70});
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        EXPECT_EQ(decodeDatagram(std::string_view(bytes).substr(0, size)), std::nullopt);
    }
}

// No entry alone sees enough of the crashes, and entries do not know each other's addresses.
TEST(CrashNotices, sideRelaysThemBetweenEntries)
{
    asio::io_context context{1};
    const auto port = freePort(context);
    forwarding::EventLog log(-1, "side");
    SideServerSettings settings;
    settings.ip = sideIp;
    settings.datagramPort = port;
    SideServer side(context, settings, silentEngine(), LeaderStoreInterface(), log);
    ASSERT_TRUE(core::isOk(side.start()));
    Entry first(context, "127.0.0.51", port);
    Entry second(context, "127.0.0.52", port);
    ASSERT_TRUE(first.isOpen && second.isOpen);

    core::SystemClock clock;
    for (const auto *backend : {"b1", "b2"}) {
        first.server.prompts().apply(CrashReport{backend, parts, clock.now()});
    }
    ASSERT_TRUE(first.isHeld());
    EXPECT_TRUE(runUntil(context, [&] { return second.isHeld(); }));

    first.server.prompts().answerProgressed(parts);
    ASSERT_FALSE(first.isHeld());
    EXPECT_TRUE(runUntil(context, [&] { return !second.isHeld(); }));
}

} // namespace lycheelanding::rankgroups
