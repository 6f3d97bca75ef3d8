#include "lycheelanding/http/asynchttpclient.h"

#include "private/httptransfer.h"

#include <unordered_map>
#include <utility>

namespace lycheelanding::http {

namespace {

/// Shorter than the idle timeout of this project's servers, so that few requests are sent on a connection that the
/// server is closing.
constexpr std::chrono::seconds maxIdleTime{10};

using TransferPointer = std::shared_ptr<HttpTransfer>;

} // namespace

class AsyncHttpClient::Private
{
public:
    explicit Private(asio::any_io_executor transferExecutor) : executor(std::move(transferExecutor)) { }

    const asio::any_io_executor executor;
    ConnectionPool pool{maxIdleTime};
    std::unordered_map<HttpTransferId, TransferPointer> running;
    HttpTransferId lastId = 0;
};

AsyncHttpClient::AsyncHttpClient(asio::any_io_executor executor) : m_d(std::make_unique<Private>(std::move(executor)))
{ }

AsyncHttpClient::~AsyncHttpClient()
{
    while (!m_d->running.empty()) {
        TransferPointer(m_d->running.begin()->second)->discard();
    }
    m_d->pool.closeAll();
}

HttpTransferId AsyncHttpClient::start(HttpClientRequest request, HttpClientHandlers handlers)
{
    const HttpTransferId id = ++m_d->lastId;
    const auto transfer = std::make_shared<HttpTransfer>(m_d->executor, m_d->pool, std::move(request),
                                                         std::move(handlers), [this, id] { m_d->running.erase(id); });
    m_d->running.emplace(id, transfer);
    transfer->start();
    return id;
}

HttpTransferId AsyncHttpClient::fetch(HttpClientRequest request, std::function<void(core::Result<HttpResponse>)> onDone)
{
    return start(std::move(request), bufferingHandlers(std::move(onDone)));
}

void AsyncHttpClient::cancel(HttpTransferId id)
{
    const auto found = m_d->running.find(id);
    if (found != m_d->running.end()) {
        TransferPointer(found->second)->cancel();
    }
}

void AsyncHttpClient::cancelAll()
{
    while (!m_d->running.empty()) {
        TransferPointer(m_d->running.begin()->second)->cancel();
    }
    m_d->pool.closeAll();
}

HttpClientHandlers bufferingHandlers(std::function<void(core::Result<HttpResponse>)> onDone)
{
    const auto response = std::make_shared<HttpResponse>();
    HttpClientHandlers handlers;
    handlers.onHead = [response](int status, const HttpHeaders &headers) {
        response->status = status;
        response->headers = headers;
    };
    handlers.onChunk = [response](std::string_view bytes) { response->body.append(bytes); };
    handlers.onDone = [response, onDone = std::move(onDone)](const core::Status &status) {
        if (core::isOk(status)) {
            onDone(std::move(*response));
            return;
        }
        onDone(core::errorOf(status));
    };
    return handlers;
}

} // namespace lycheelanding::http
