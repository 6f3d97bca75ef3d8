#include "lycheelanding/http/httpserver.h"

#include "testserver.h"

#include <gtest/gtest.h>

#include <future>

namespace lycheelanding::http {

namespace {

/// More bytes than the socket buffers of a connection hold.
constexpr std::size_t answerBytes = 64UL * 1024 * 1024;

void echo(const HttpExchangePointer &exchange)
{
    HttpResponse response;
    response.headers.add("Echo-Method", exchange->request().method);
    response.body = exchange->request().target + "|" + exchange->request().body;
    exchange->respond(std::move(response));
}

std::string rawAnswer(TestServer &server, const std::string &request)
{
    RawConnection connection(server.server().port());
    connection.send(request);
    return connection.readUntilClosed();
}

} // namespace

TEST(HttpServer, answersPipelinedRequests)
{
    TestServer server(echo);
    RawConnection connection(server.server().port());
    connection.send("POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\none"
                    "GET /second HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const std::string answers = connection.readUntilClosed();
    const auto first = answers.find("/a?b=c|one");
    EXPECT_NE(first, std::string::npos);
    EXPECT_NE(answers.find("/second|", first), std::string::npos);
}

TEST(HttpServer, headAnswerHasNoBody)
{
    for (const bool streams : {false, true}) {
        TestServer server([streams](const HttpExchangePointer &exchange) {
            if (!streams) {
                echo(exchange);
                return;
            }
            exchange->startStream(200, {});
            exchange->sendChunk("chunk");
            exchange->finish();
        });
        const std::string answer = rawAnswer(server, "HEAD / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200"));
        EXPECT_EQ(answer.find("\r\n\r\n"), answer.size() - 4) << answer;
    }
}

TEST(HttpServer, refusesInvalidRequestsAndServesOthers)
{
    struct Case
    {
        std::string request;
        std::string status;
    };
    HttpServerSettings settings;
    settings.maxBodyBytes = 100;
    settings.maxHeaderValueBytes = 1000;
    TestServer server(echo, settings);
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";
    const std::vector<Case> cases{
        {"nonsense\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\nbad header\r\n\r\n", "400"},
        {head + "Content-Length: x\r\n\r\n", "400"},
        {head + "Content-Length: 101\r\n\r\n", "413"},
        {head + "Content-Length: 2000000\r\n\r\n" + std::string(2000000, 'b'), "413"},
        {head + "Transfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'b') + "\r\n0\r\n\r\n", "413"},
        {head + "Long: " + std::string(1001, 'v') + "\r\n\r\n", "431"},
        {head + std::string(300, 'n') + ": v\r\n\r\n", "431"},
        {"GET /" + std::string(9000, 'u') + " HTTP/1.1\r\nHost: x\r\n\r\n", "431"},
        {"GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", "501"},
    };
    RawConnection other(server.server().port());
    for (const auto &row : cases) {
        const std::string answer = rawAnswer(server, row.request);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + row.status)) << row.request.substr(0, 80) << "\n" << answer;
    }
    other.send("GET /other HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    EXPECT_NE(other.readUntilClosed().find("/other|"), std::string::npos);
}

// Requests whose bytes are mostly no part of a request kept the processor busy until the read timeout.
TEST(HttpServer, endlessFramingOfARequestIsRefused)
{
    TestServer server(echo);
    const std::string chunked = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    constexpr int repetitions = 4000;
    for (const std::string repeated :
         {"1;extension=that-is-much-longer-than-its-chunk\r\nx\r\n", "0000000000000000", "1;a=b;c=d;e=f;g=h;i=j;"}) {
        std::string request = chunked;
        for (int repetition = 0; repetition < repetitions; ++repetition) {
            request += repeated;
        }
        EXPECT_TRUE(rawAnswer(server, request).starts_with("HTTP/1.1 4")) << repeated;
    }
    std::string trailer = chunked + "1\r\nx\r\n0\r\n";
    std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";
    for (int field = 0; field < repetitions; ++field) {
        trailer += "Field-" + std::to_string(field) + ": x\r\n";
    }
    for (int field = 0; field < 100; ++field) {
        head += "Field-" + std::to_string(field) + ": " + std::string(1000, 'x') + "\r\n";
    }
    EXPECT_TRUE(rawAnswer(server, trailer).starts_with("HTTP/1.1 4"));
    EXPECT_TRUE(rawAnswer(server, head + "\r\n").starts_with("HTTP/1.1 431 "));
}

TEST(HttpServer, malformedRequestDoesNotMixWithAnAnswerInProgress)
{
    std::promise<HttpExchangePointer> started;
    TestServer server([&started](const HttpExchangePointer &exchange) {
        exchange->startStream(200, {});
        exchange->sendChunk("first");
        started.set_value(exchange);
    });
    RawConnection connection(server.server().port());
    connection.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    const HttpExchangePointer exchange = started.get_future().get();
    connection.send("nonsense\r\n\r\n");
    const std::string answer = connection.readUntilClosed();
    EXPECT_EQ(answer.find("400"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("\r\n0\r\n\r\n"), std::string::npos) << answer;
}

TEST(HttpServer, slowRequestIsClosedAndOthersAreServed)
{
    HttpServerSettings settings;
    settings.readTimeout = std::chrono::milliseconds(100);
    TestServer server(echo, settings);
    RawConnection slow(server.server().port());
    slow.send("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
    const std::string answer = rawAnswer(server, "GET /quick HTTP/1.1\r\nConnection: close\r\n\r\n");
    EXPECT_NE(answer.find("/quick|"), std::string::npos);
    EXPECT_EQ(slow.readUntilClosed(), "");
}

TEST(HttpServer, slowReaderIsClosedAndHandlerNotified)
{
    HttpServerSettings settings;
    settings.writeTimeout = std::chrono::milliseconds(100);
    std::promise<void> gone;
    std::promise<std::size_t> unsent;
    TestServer server(
        [&](const HttpExchangePointer &exchange) {
            exchange->startStream(200, {});
            exchange->sendChunk(std::string(answerBytes, 'x'));
            unsent.set_value(exchange->unsentBytes());
            exchange->onCallerGone([&gone, exchange] { gone.set_value(); });
        },
        settings);
    RawConnection connection(server.server().port());
    connection.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(unsent.get_future().get(), answerBytes);
    gone.get_future().get();
    EXPECT_EQ(server.server().openExchanges(), 0U);
}

TEST(HttpServer, notifiesHandlerWhenTheCallerIsGone)
{
    for (const bool streams : {false, true}) {
        std::promise<void> started;
        std::promise<void> gone;
        TestServer server([&](const HttpExchangePointer &exchange) {
            exchange->onCallerGone([&gone, exchange] { gone.set_value(); });
            if (streams) {
                exchange->startStream(200, {});
            }
            started.set_value();
        });
        RawConnection connection(server.server().port());
        connection.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        started.get_future().get();
        EXPECT_EQ(server.server().openExchanges(), 1U);
        connection.close();
        gone.get_future().get();
        EXPECT_EQ(server.server().openExchanges(), 0U);
    }
}

TEST(HttpServer, droppedExchangesEndWithAnError)
{
    TestServer server([](const HttpExchangePointer &exchange) {
        if (exchange->request().target == "/stream") {
            exchange->startStream(200, {});
            exchange->sendChunk("part");
        }
    });
    EXPECT_TRUE(rawAnswer(server, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 500"));
    const std::string stream = rawAnswer(server, "GET /stream HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_NE(stream.find("part"), std::string::npos) << stream;
    EXPECT_EQ(stream.find("\r\n0\r\n\r\n"), std::string::npos);
}

// An answer to HTTP/1.0 ends with its connection, so one that was broken off looked
// complete.
TEST(HttpServer, abortedAnswerToAnHttp10CallerIsReset)
{
    TestServer server([](const HttpExchangePointer &exchange) {
        exchange->startStream(200, {});
        exchange->sendChunk("half");
        exchange->abort();
    });
    RawConnection connection(server.server().port());
    connection.send("GET /x HTTP/1.0\r\n\r\n");
    connection.readUntilClosed();
    EXPECT_TRUE(connection.wasReset);
}

TEST(HttpServer, completeAnswerToAnHttp10CallerIsNotReset)
{
    TestServer server([](const HttpExchangePointer &exchange) {
        exchange->startStream(200, {});
        exchange->sendChunk("whole");
        exchange->finish();
    });
    RawConnection connection(server.server().port());
    connection.send("GET /x HTTP/1.0\r\n\r\n");
    EXPECT_TRUE(connection.readUntilClosed().ends_with("\r\n\r\nwhole"));
    EXPECT_FALSE(connection.wasReset);
}

TEST(HttpServer, stopAcceptingLetsRunningExchangesEnd)
{
    std::promise<HttpExchangePointer> started;
    TestServer server([&started](const HttpExchangePointer &exchange) { started.set_value(exchange); });
    RawConnection connection(server.server().port());
    connection.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    HttpExchangePointer exchange = started.get_future().get();
    server.server().stopAccepting();
    EXPECT_THROW(RawConnection(server.server().port()), std::system_error);
    exchange->respond(jsonResponse(200, "{}"));
    const std::string answer = connection.readUntilClosed();
    EXPECT_TRUE(answer.ends_with("\r\n\r\n{}")) << answer;
}

TEST(HttpServer, connectionsOverTheLimitAreClosedAndLaterOnesServed)
{
    HttpServerSettings settings;
    settings.maxConnections = 2;
    TestServer server(echo, settings);
    const std::string request = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
    RawConnection first(server.server().port());
    RawConnection second(server.server().port());
    for (RawConnection *connection : {&first, &second}) {
        connection->send(request);
        EXPECT_EQ(connection->readBytes(4), "HTTP");
    }
    EXPECT_EQ(rawAnswer(server, request), "");
    first.close();
    std::string answer;
    while (answer.empty()) {
        answer = rawAnswer(server, "GET /x HTTP/1.1\r\nConnection: close\r\n\r\n");
    }
    EXPECT_NE(answer.find("/x|"), std::string::npos);
}

TEST(HttpServer, startFailsWhenThePortIsInUse)
{
    TestServer server(echo);
    HttpServerSettings settings;
    settings.port = server.server().port();
    TestServer second(echo, settings);
    EXPECT_FALSE(second.isStarted);
}

} // namespace lycheelanding::http
