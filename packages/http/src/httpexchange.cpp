#include "lycheelanding/http/httpserver.h"

#include "private/serverconnection.h"

#include <utility>

namespace lycheelanding::http {

HttpExchange::HttpExchange(std::unique_ptr<Private> implementation) : m_d(std::move(implementation)) { }

HttpExchange::~HttpExchange()
{
    const auto &connection = m_d->connection();
    connection->post([connection, answer = m_d->answer()] {
        if (answer->hasBegun) {
            connection->abort(answer);
            return;
        }
        connection->respond(answer, jsonResponse(500, R"({"kind":"internal"})"));
    });
}

void HttpExchange::respond(HttpResponse response)
{
    const auto &connection = m_d->connection();
    m_d->answer()->unsentBytes += response.body.size();
    connection->post([connection, answer = m_d->answer(), response = std::move(response)]() mutable {
        connection->respond(answer, std::move(response));
    });
}

void HttpExchange::startStream(int status, const HttpHeaders &headers)
{
    const auto &connection = m_d->connection();
    connection->post([connection, answer = m_d->answer(), status, headers] {
        connection->begin(answer, status, headers, std::nullopt);
    });
}

void HttpExchange::startWithContentLength(int status, const HttpHeaders &headers, std::uint64_t bodyBytes)
{
    const auto &connection = m_d->connection();
    connection->post([connection, answer = m_d->answer(), status, headers, bodyBytes] {
        connection->begin(answer, status, headers, bodyBytes);
    });
}

void HttpExchange::sendChunk(std::string bytes)
{
    const auto &connection = m_d->connection();
    m_d->answer()->unsentBytes += bytes.size();
    connection->post([connection, answer = m_d->answer(), bytes = std::move(bytes)]() mutable {
        connection->write(answer, std::move(bytes));
    });
}

void HttpExchange::finish()
{
    const auto &connection = m_d->connection();
    connection->post([connection, answer = m_d->answer()] { connection->finish(answer); });
}

void HttpExchange::abort()
{
    const auto &connection = m_d->connection();
    connection->post([connection, answer = m_d->answer()] { connection->abort(answer); });
}

void HttpExchange::onCallerGone(std::function<void()> handler)
{
    const auto &connection = m_d->connection();
    connection->post([connection, answer = m_d->answer(), handler = std::move(handler)]() mutable {
        connection->setCallerGoneHandler(answer, std::move(handler));
    });
}

const HttpRequest &HttpExchange::request() const
{
    return m_d->request();
}

std::size_t HttpExchange::unsentBytes() const
{
    return m_d->answer()->unsentBytes;
}

bool HttpExchange::hasMemoryAccount() const
{
    return m_d->connection()->hasMemoryAccount();
}

} // namespace lycheelanding::http
