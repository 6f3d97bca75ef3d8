#include "testserver.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>

namespace lycheelanding::http {

namespace {

constexpr std::size_t bodyBytes = 200'000;

HttpServerSettings settingsWithMemory()
{
    decisions::admission::MemoryAccountSettings account;
    account.shares = {64UL * 1024, bodyBytes + 64UL * 1024, 1024UL * 1024};
    HttpServerSettings settings;
    settings.memory = std::make_shared<CallerMemory>(account);
    return settings;
}

std::string postHead(std::size_t bytes)
{
    return "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

} // namespace

// A second large request must neither be read without memory nor be lost.
TEST(HttpServerMemory, requestWaitsUntilTheExchangeBeforeItEnds)
{
    const auto settings = settingsWithMemory();
    std::promise<HttpExchangePointer> first;
    std::atomic<bool> hasFirst = false;
    TestServer server(
        [&](const HttpExchangePointer &exchange) {
            if (!hasFirst.exchange(true)) {
                first.set_value(exchange);
                return;
            }
            exchange->respond(jsonResponse(200, "{}"));
        },
        settings);
    RawConnection holder(server.server().port());
    holder.send(postHead(bodyBytes) + std::string(bodyBytes, 'x'));
    auto exchange = first.get_future().get();
    EXPECT_EQ(exchange->request().body.size(), bodyBytes);
    RawConnection waiting(server.server().port());
    auto sent = std::async(std::launch::async,
                           [&waiting] { waiting.send(postHead(bodyBytes) + std::string(bodyBytes, 'x')); });
    while (settings.memory->waitingConnections() == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    exchange->respond(jsonResponse(200, "{}"));
    exchange.reset();
    EXPECT_EQ(waiting.readBytes(12), "HTTP/1.1 200");
    EXPECT_EQ(settings.memory->refusedRequests(), 0U);
}

// An upload over a slow link took longer than the time for the fields and was cut off.
TEST(HttpServerMemory, slowUploadIsServedWhileThereIsMemory)
{
    auto settings = settingsWithMemory();
    settings.readTimeout = std::chrono::milliseconds(1000);
    TestServer server([](const HttpExchangePointer &exchange) { exchange->respond(jsonResponse(200, "{}")); },
                      settings);
    RawConnection connection(server.server().port());
    constexpr std::size_t pieces = 5;
    connection.send(postHead(pieces));
    for (std::size_t piece = 0; piece < pieces; ++piece) {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        connection.send("x");
    }
    EXPECT_EQ(connection.readBytes(12), "HTTP/1.1 200");
}

// Memory that is not released would refuse all callers in the end.
TEST(HttpServerMemory, nothingStaysDrawnWhenConnectionsEnd)
{
    const auto settings = settingsWithMemory();
    {
        TestServer server([](const HttpExchangePointer &exchange) { exchange->respond(jsonResponse(200, "{}")); },
                          settings);
        for (const std::size_t sent : {std::size_t{1000}, bodyBytes - 1, bodyBytes}) {
            RawConnection connection(server.server().port());
            connection.send(postHead(bodyBytes) + std::string(sent, 'x'));
            if (sent == bodyBytes) {
                EXPECT_EQ(connection.readBytes(12), "HTTP/1.1 200");
            }
        }
    }
    EXPECT_EQ(settings.memory->heldBytes(), 0U);
}

// Steps of a growing chunked body counted as small requests: small ones waited behind it although their share had room.
TEST(CallerMemory, growingBodyThatWaitsDoesNotHoldUpSmallRequests)
{
    constexpr std::size_t step = 64UL * 1024;
    decisions::admission::MemoryAccountSettings account;
    account.shares = {16 * step, step, 1024UL * 1024};
    account.minInactivity = core::Duration::zero();
    const auto memory = std::make_shared<CallerMemory>(account);
    bool isClosed = false;
    MemoryHold large(memory, [&isClosed] { isClosed = true; });
    large.setClosable(true);
    EXPECT_TRUE(large.draw(step));
    EXPECT_TRUE(large.draw(step));
    EXPECT_FALSE(large.draw(step));
    EXPECT_TRUE(isClosed);
    EXPECT_TRUE(large.waitForRoom(step, [] {}));
    MemoryHold small(memory, [] {});
    EXPECT_TRUE(small.draw(step / 16));
}

} // namespace lycheelanding::http
