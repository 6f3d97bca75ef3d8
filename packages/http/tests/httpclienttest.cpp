#include "lycheelanding/http/httpclient.h"

#include "lycheelanding/http/asynchttpclient.h"
#include "testserver.h"

#include <gtest/gtest.h>

#include <future>
#include <mutex>

namespace lycheelanding::http {

namespace {

using core::ErrorKind;

HttpClientRequest getRequest(std::string url)
{
    HttpClientRequest request;
    request.url = std::move(url);
    return request;
}

HttpClientRequest longUpload(std::string url)
{
    auto request = getRequest(std::move(url));
    request.method = "POST";
    request.body = std::string(32UL * 1024 * 1024, 'x');
    return request;
}

/// Accepts connections; the test reads and writes the bytes of the server.
class RawListener
{
public:
    RawListener() : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}) { }

    asio::ip::tcp::socket accept() { return m_acceptor.accept(); }
    void close() { m_acceptor.close(); }
    std::string url() const { return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()) + "/"; }

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
};

std::string readRequest(asio::ip::tcp::socket &socket, std::size_t bodySize)
{
    std::string bytes;
    asio::read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n");
    const std::size_t requestSize = bytes.find("\r\n\r\n") + 4 + bodySize;
    asio::read(socket, asio::dynamic_buffer(bytes),
               asio::transfer_exactly(requestSize - std::min(requestSize, bytes.size())));
    return bytes;
}

/// Answers a first request; the client reuses the connection for the next one.
asio::ip::tcp::socket connectionAfterOneAnswer(RawListener &listener, HttpClient &client,
                                               const HttpClientRequest &request)
{
    std::promise<core::Result<HttpResponse>> first;
    client.fetch(request, [&first](core::Result<HttpResponse> result) { first.set_value(std::move(result)); });
    auto socket = listener.accept();
    readRequest(socket, 0);
    asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
    EXPECT_TRUE(core::isOk(first.get_future().get()));
    return socket;
}

void echo(const HttpExchangePointer &exchange)
{
    exchange->respond(jsonResponse(201, exchange->request().method + exchange->request().body));
}

/// Fetches an answer of these bytes, after which the server closes the connection.
core::Result<HttpResponse> fetchUnframed(const std::string &bytes)
{
    RawListener listener;
    HttpClient client;
    auto result = std::async(std::launch::async, [&] { return client.fetchAndWait(getRequest(listener.url())); });
    auto socket = listener.accept();
    readRequest(socket, 0);
    asio::write(socket, asio::buffer(bytes));
    socket.close();
    return result.get();
}

ErrorKind kindOf(const core::Result<HttpResponse> &result)
{
    return core::errorOf(result).kind;
}

} // namespace

TEST(HttpClient, fetchesCompleteAnswers)
{
    TestServer server(echo);
    HttpClient client;
    for (const std::string method : {"GET", "POST", "PUT", "PATCH", "DELETE"}) {
        HttpClientRequest request = getRequest(server.url("/x"));
        request.method = method;
        request.body = method == "GET" ? "" : std::string(300000, 'b');
        const auto result = client.fetchAndWait(request);
        ASSERT_TRUE(core::isOk(result)) << core::errorOf(result).detail;
        EXPECT_EQ(core::valueOf(result).status, 201);
        EXPECT_EQ(core::valueOf(result).body, method + request.body);
        EXPECT_EQ(core::valueOf(result).headers.find("content-type"), "application/json");
    }
}

TEST(HttpClient, streamsChunksAsTheyArrive)
{
    std::promise<HttpExchangePointer> started;
    TestServer server([&started](const HttpExchangePointer &exchange) {
        exchange->startStream(200, {});
        started.set_value(exchange);
    });
    HttpClient client;
    std::promise<int> head;
    std::promise<void> firstChunk;
    std::promise<bool> done;
    std::string body;
    HttpClientHandlers handlers;
    handlers.onHead = [&head](int status, const HttpHeaders &) { head.set_value(status); };
    handlers.onChunk = [&](std::string_view bytes) {
        if (body.empty()) {
            firstChunk.set_value();
        }
        body.append(bytes);
    };
    handlers.onDone = [&done](const core::Status &status) { done.set_value(core::isOk(status)); };
    client.start(getRequest(server.url("/")), handlers);
    EXPECT_EQ(head.get_future().get(), 200);
    const HttpExchangePointer exchange = started.get_future().get();
    exchange->sendChunk("one");
    firstChunk.get_future().get();
    exchange->sendChunk("two");
    exchange->finish();
    EXPECT_TRUE(done.get_future().get());
    EXPECT_EQ(body, "onetwo");
}

TEST(HttpClient, abortedStreamIsLost)
{
    TestServer server([](const HttpExchangePointer &exchange) {
        exchange->startStream(200, {});
        exchange->sendChunk("part");
        exchange->abort();
    });
    HttpClient client;
    EXPECT_EQ(kindOf(client.fetchAndWait(getRequest(server.url("/")))), ErrorKind::BackendServerLost);
}

TEST(HttpClient, refusedConnectIsUnreachable)
{
    std::string url;
    {
        const RawListener closed;
        url = closed.url();
    }
    HttpClient client;
    EXPECT_EQ(kindOf(client.fetchAndWait(getRequest(url))), ErrorKind::PeerUnreachable);
}

TEST(HttpClient, brokenAnswerIsLost)
{
    const std::vector<std::string> answers{
        "",
        "HTTP/1.1 200 OK\r\nSer",
        "HTTP/1.1 200 OK\r\nServer: x\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    };
    RawListener listener;
    HttpClient client;
    for (const auto &answer : answers) {
        std::promise<ErrorKind> kind;
        client.fetch(getRequest(listener.url()), [&kind](const auto &result) {
            kind.set_value(core::isOk(result) ? ErrorKind::Internal : kindOf(result));
        });
        {
            auto socket = listener.accept();
            readRequest(socket, 0);
            asio::write(socket, asio::buffer(answer));
        }
        EXPECT_EQ(kind.get_future().get(), ErrorKind::BackendServerLost) << answer;
    }
}

// A crash closes the connection like the end of the event stream, and its callers got half an event as a complete
// answer.
TEST(HttpClient, unframedEventStreamThatEndsInsideAnEventIsLost)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\n\r\n";
    for (const std::string events : {"", "id: 1\n", "data: a\n\ndata: b", "data: a\r\n\r\ndata: b\r\n"}) {
        const auto answer = fetchUnframed(head + events);
        ASSERT_FALSE(core::isOk(answer)) << events;
        EXPECT_EQ(kindOf(answer), ErrorKind::BackendServerLost);
    }
}

TEST(HttpClient, unframedEventStreamThatEndsAfterAnEventIsComplete)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    for (const std::string events : {"data: a\n\n", "data: a\r\n\r\n", "data: a\r\r", "data: a\n\n: comment\n"}) {
        const auto answer = fetchUnframed(head + events);
        ASSERT_TRUE(core::isOk(answer)) << events;
        EXPECT_EQ(core::valueOf(answer).body, events);
    }
}

TEST(HttpClient, doesNotSendAPostTwice)
{
    RawListener listener;
    HttpClient client;
    HttpClientRequest request = getRequest(listener.url());
    request.method = "POST";
    request.body = "";
    auto socket = connectionAfterOneAnswer(listener, client, request);

    std::promise<core::Result<HttpResponse>> second;
    client.fetch(request, [&second](core::Result<HttpResponse> result) { second.set_value(std::move(result)); });
    // The server receives the request on the reused connection and closes it without an answer.
    readRequest(socket, 0);
    socket.close();
    EXPECT_EQ(kindOf(second.get_future().get()), ErrorKind::BackendServerLost);
}

// The error said that no byte was sent, although the request had gone out on the reused connection before.
TEST(HttpClient, requestThatWentOutOnAReusedConnectionIsNotReportedAsUnsent)
{
    RawListener listener;
    HttpClient client;
    const HttpClientRequest request = getRequest(listener.url());
    auto socket = connectionAfterOneAnswer(listener, client, request);

    std::promise<core::Result<HttpResponse>> second;
    client.fetch(request, [&second](core::Result<HttpResponse> result) { second.set_value(std::move(result)); });
    readRequest(socket, 0);
    // The server ends.
    listener.close();
    socket.close();
    EXPECT_EQ(kindOf(second.get_future().get()), ErrorKind::BackendServerLost);
}

// A server sent the answer to a request once more when the next one had arrived on its connection, and the next caller
// got it.
TEST(HttpClient, copyOfAnAnswerReachesNoRequestThatSharesNoConnection)
{
    const auto answerOf = [](const std::string &body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    RawListener listener;
    std::thread server([&] {
        auto first = listener.accept();
        readRequest(first, 0);
        asio::write(first, asio::buffer(answerOf("first")));
        std::array<char, 1> byte{};
        asio::error_code error;
        if (first.read_some(asio::buffer(byte), error) > 0) {
            asio::write(first, asio::buffer(answerOf("first") + answerOf("second")), error);
            return;
        }
        auto second = listener.accept();
        readRequest(second, 0);
        asio::write(second, asio::buffer(answerOf("second")));
    });
    HttpClient client;
    auto request = getRequest(listener.url());
    request.sharesConnection = false;
    for (const std::string body : {"first", "second"}) {
        const auto answer = client.fetchAndWait(request);
        ASSERT_TRUE(core::isOk(answer));
        EXPECT_EQ(core::valueOf(answer).body, body);
    }
    server.join();
}

TEST(HttpClient, reportsTimeoutCancellationAndTooLargeBody)
{
    std::mutex mutex;
    std::vector<HttpExchangePointer> held;
    TestServer server([&](const HttpExchangePointer &exchange) {
        if (exchange->request().target == "/large") {
            exchange->respond(jsonResponse(200, std::string(101, 'x')));
            return;
        }
        const std::lock_guard lock(mutex);
        held.push_back(exchange);
    });
    HttpClient client;
    HttpClientRequest request = getRequest(server.url("/hold"));
    request.timeout = std::chrono::milliseconds(50);
    EXPECT_EQ(kindOf(client.fetchAndWait(request)), ErrorKind::DeadlineExceeded);

    std::promise<ErrorKind> cancelled;
    request.timeout = std::chrono::minutes(10);
    const auto id = client.fetch(request, [&cancelled](const auto &result) { cancelled.set_value(kindOf(result)); });
    client.cancel(id);
    EXPECT_EQ(cancelled.get_future().get(), ErrorKind::Cancelled);

    request = getRequest(server.url("/large"));
    request.maxBodyBytes = 100;
    EXPECT_EQ(kindOf(client.fetchAndWait(request)), ErrorKind::BackendServerFailed);
    const std::lock_guard lock(mutex);
    held.clear();
}

// A server answered a long upload at once, without a length, and reset the connection while the upload was being
// written. The write got the error of the reset, and the read took the end of the connection for that of the answer.
TEST(HttpClient, answerWithoutALengthThatIsResetWithinTheUploadIsIncomplete)
{
    constexpr int rounds = 20;
    for (int round = 0; round < rounds; ++round) {
        RawListener listener;
        HttpClient client;
        auto result = std::async(std::launch::async, [&] { return client.fetchAndWait(longUpload(listener.url())); });
        auto socket = listener.accept();
        readRequest(socket, 0);
        asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nhalf")));
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
        EXPECT_EQ(kindOf(result.get()), ErrorKind::BackendServerLost);
    }
}

// A server that answers early, ends its side of the connection and reads on has given a whole answer.
TEST(HttpClient, answerWithoutALengthIsCompleteIfTheServerReadsTheUpload)
{
    RawListener listener;
    HttpClient client;
    auto result = std::async(std::launch::async, [&] { return client.fetchAndWait(longUpload(listener.url())); });
    auto socket = listener.accept();
    readRequest(socket, 0);
    asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nwhole")));
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    std::string upload;
    asio::error_code error;
    asio::read(socket, asio::dynamic_buffer(upload), error);
    const auto answer = result.get();
    ASSERT_TRUE(core::isOk(answer));
    EXPECT_EQ(core::valueOf(answer).body, "whole");
}

// The answer to a request that set no limit was kept until the memory of the machine was used up.
TEST(HttpClient, answerWithoutEndFailsAtTheDefaultLimit)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string piece(64UL * 1024, 'x');
    for (const auto &[start, part] : std::vector<std::pair<std::string, std::string>>{
             {head + "\r\n", piece},
             {head + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + piece + "\r\n"},
             {head + "Content-Length: 99999999999\r\n\r\n", piece}}) {
        RawListener listener;
        HttpClient client;
        auto result = std::async(std::launch::async, [&] { return client.fetchAndWait(getRequest(listener.url())); });
        auto socket = listener.accept();
        readRequest(socket, 0);
        asio::error_code error;
        asio::write(socket, asio::buffer(start), error);
        std::size_t sentBytes = 0;
        while (!error && sentBytes < 4 * defaultMaxAnswerBytes) {
            sentBytes += asio::write(socket, asio::buffer(part), error);
        }
        EXPECT_LT(sentBytes, 2 * defaultMaxAnswerBytes) << start;
        socket.close();
        EXPECT_EQ(kindOf(result.get()), ErrorKind::BackendServerFailed) << start;
    }
}

TEST(HttpClient, statedLengthOfABodyThatIsNotSentIsNoLimit)
{
    RawListener listener;
    HttpClient client;
    auto request = getRequest(listener.url());
    request.method = "HEAD";
    auto result = std::async(std::launch::async, [&] { return client.fetchAndWait(request); });
    auto socket = listener.accept();
    readRequest(socket, 0);
    asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n")));
    EXPECT_TRUE(core::isOk(result.get()));
}

TEST(HttpClient, destructionCancelsRunningRequests)
{
    const RawListener listener;
    std::promise<ErrorKind> kind;
    {
        HttpClient client;
        client.fetch(getRequest(listener.url()), [&kind](const auto &result) { kind.set_value(kindOf(result)); });
    }
    EXPECT_EQ(kind.get_future().get(), ErrorKind::Cancelled);
}

// Entries crashed at the end of a planned stop: the client of the store called back the watches destroyed before it.
TEST(AsyncHttpClient, destructionCallsNoHandlers)
{
    const RawListener server;
    asio::io_context context;
    bool isCalled = false;
    {
        AsyncHttpClient client(context.get_executor());
        client.fetch(getRequest(server.url()), [&isCalled](const auto &) { isCalled = true; });
        context.poll();
    }
    EXPECT_FALSE(isCalled);
    context.restart();
    context.poll();
    EXPECT_FALSE(isCalled);
}

TEST(HttpClient, concurrentRequestsGetTheirAnswers)
{
    constexpr int requestCount = 300;
    TestServer server(echo);
    HttpClient client;
    std::vector<std::future<bool>> matches;
    for (int index = 0; index < requestCount; ++index) {
        HttpClientRequest request = getRequest(server.url("/"));
        request.method = "POST";
        request.body = std::to_string(index);
        const auto promise = std::make_shared<std::promise<bool>>();
        matches.push_back(promise->get_future());
        client.fetch(request, [promise, expected = "POST" + request.body](const auto &result) {
            promise->set_value(core::isOk(result) && core::valueOf(result).body == expected);
        });
    }
    for (auto &future : matches) {
        EXPECT_TRUE(future.get());
    }
}

} // namespace lycheelanding::http
