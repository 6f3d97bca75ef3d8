#include "support/standinprocess.h"

#include <gtest/gtest.h>

#include <future>

namespace lycheelanding::tests {

using support::callJson;
using support::Json;
using support::StandInProcess;

TEST(KeyValueStandIn, lostAnswerKeepsTheWrite)
{
    StandInProcess store("standin-keyvalue");
    store.post("/control", {{"mode", "loseAnswers"}, {"count", 1}});
    EXPECT_EQ(store.put("/kv/a/b", {{"value", "mine"}, {"expectedRevision", 0}}).status, 0);
    const auto read = store.get("/kv/a/b");
    EXPECT_EQ(read.body.at("value"), "mine");
    const auto conflict = store.put("/kv/a/b", {{"value", "other"}, {"expectedRevision", 0}});
    EXPECT_EQ(conflict.status, 409);
    EXPECT_EQ(conflict.body.at("revision"), read.body.at("revision"));
    EXPECT_EQ(store.put("/kv/a/b", {{"value", "other"}, {"expectedRevision", read.body.at("revision")}}).status, 200);
}

TEST(KeyValueStandIn, keysOfAnExpiredLeaseAreRemoved)
{
    StandInProcess store("standin-keyvalue");
    const Json lease = store.post("/leases", {{"ttlMs", 50}}).body.at("lease");
    const std::string keepAlive = "/leases/" + lease.dump() + "/keepalive";
    const auto written = store.put("/kv/owner", {{"value", "me"}, {"lease", lease}});
    EXPECT_EQ(written.status, 200);
    const auto gone = store.get("/kv/owner?waitMs=30000&afterRevision=" + written.body.at("revision").dump());
    EXPECT_EQ(gone.status, 404);
    EXPECT_GT(gone.body.at("revision"), written.body.at("revision"));
    EXPECT_EQ(store.post(keepAlive, Json::object()).status, 404);
    EXPECT_EQ(store.put("/kv/owner", {{"value", "me"}, {"lease", lease}}).status, 404);
}

TEST(KeyValueStandIn, watchAnswersOnAChangeAndFailsOnAnOutage)
{
    StandInProcess store("standin-keyvalue");
    const std::string watchUrl = store.url("/kv/key?afterRevision=0&waitMs=9000");
    const auto watch = [&watchUrl] { return callJson("GET", watchUrl); };
    const auto isWaiting = [&store] { return store.get("/control/stats").body.at("watchesWaiting") == 1; };

    auto changed = std::async(std::launch::async, watch);
    ASSERT_TRUE(support::waitUntil(isWaiting));
    store.put("/kv/key", {{"value", "x"}});
    EXPECT_EQ(changed.get().body.at("value"), "x");
    EXPECT_EQ(store.get("/kv/key?afterRevision=1&waitMs=10").status, 304);

    callJson("DELETE", store.url("/kv/key"));
    EXPECT_EQ(watch().status, 404);
    const std::string laterWatchUrl = store.url("/kv/key?afterRevision=2&waitMs=9000");
    auto interrupted = std::async(std::launch::async, [&laterWatchUrl] { return callJson("GET", laterWatchUrl); });
    ASSERT_TRUE(support::waitUntil(isWaiting));
    store.post("/control", {{"mode", "down"}});
    EXPECT_EQ(interrupted.get().status, 0);
    EXPECT_EQ(store.get("/kv/key").status, 0);
}

TEST(PlainStandIn, stalledRequestRunsLaterAfterItsCallerTimedOut)
{
    StandInProcess plain("standin-plain");
    plain.post("/control", {{"mode", "stall"}});
    http::HttpClient client;
    http::HttpClientRequest request;
    request.method = "POST";
    request.url = plain.url("/run/release");
    request.timeout = std::chrono::milliseconds(50);
    EXPECT_EQ(core::errorOf(client.fetchAndWait(request)).kind, core::ErrorKind::DeadlineExceeded);
    EXPECT_TRUE(plain.get("/journal").body.at("runs").empty());
    plain.post("/control", {{"mode", "up"}});
    EXPECT_EQ(plain.get("/journal").body.at("runs").size(), 1U);
    plain.process().terminate();
    EXPECT_EQ(plain.process().waitForExit(std::chrono::minutes(1)), 0);
}

TEST(FaultProxyStandIn, appliesFaultsToNewAndOpenConnections)
{
    StandInProcess plain("standin-plain");
    const Json settings{{"proxies", Json::array({{{"name", "p"}, {"target", plain.address()}}})}};
    StandInProcess proxy("standin-faultproxy", settings);
    const Json listening = proxy.get("/proxies").body.at("proxies").at(0).at("listen");
    const std::string proxiedUrl = "http://127.0.0.1:" + listening.dump() + "/run/a";
    const auto runs = [&plain] { return plain.get("/journal").body.at("runs").size(); };
    const auto setMode = [&proxy](const Json &mode) { EXPECT_EQ(proxy.post("/control", mode).status, 200); };

    EXPECT_EQ(callJson("POST", proxiedUrl).status, 200);
    setMode({{"mode", "cut"}});
    EXPECT_EQ(callJson("POST", proxiedUrl).status, 0);
    setMode({{"mode", "truncate"}, {"afterBytes", 20}});
    EXPECT_EQ(callJson("POST", proxiedUrl).status, 0);
    EXPECT_EQ(runs(), 2U);
    setMode({{"mode", "freeze"}});
    auto frozen = std::async(std::launch::async, [&proxiedUrl] { return callJson("POST", proxiedUrl); });
    setMode({{"mode", "pass"}});
    EXPECT_EQ(frozen.get().status, 200);
    EXPECT_EQ(runs(), 3U);
}

} // namespace lycheelanding::tests
