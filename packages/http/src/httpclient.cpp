#include "lycheelanding/http/httpclient.h"

#include "lycheelanding/http/asynchttpclient.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <atomic>
#include <future>
#include <thread>
#include <unordered_map>
#include <utility>

namespace lycheelanding::http {

class HttpClient::Private
{
public:
    Private()
        : m_work(m_context.get_executor()), m_client(m_context.get_executor()), m_thread([this] { m_context.run(); })
    { }
    ~Private();
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    HttpTransferId enqueue(HttpClientRequest request, HttpClientHandlers handlers);
    void enqueueCancel(HttpTransferId id);

private:
    void start(HttpTransferId id, HttpClientRequest request, HttpClientHandlers handlers);

    std::atomic<HttpTransferId> m_lastId = 0;
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    /// This and the members below are used by the client's thread only.
    AsyncHttpClient m_client;
    /// Running transfers: IDs that start() returned, and the IDs that m_client uses for them.
    std::unordered_map<HttpTransferId, HttpTransferId> m_running;
    bool m_isStopping = false;
    std::thread m_thread;
};

HttpClient::Private::~Private()
{
    asio::post(m_context, [this] {
        m_isStopping = true;
        m_client.cancelAll();
        m_work.reset();
    });
    m_thread.join();
}

HttpTransferId HttpClient::Private::enqueue(HttpClientRequest request, HttpClientHandlers handlers)
{
    const HttpTransferId id = ++m_lastId;
    asio::post(m_context, [this, id, request = std::move(request), handlers = std::move(handlers)]() mutable {
        start(id, std::move(request), std::move(handlers));
    });
    return id;
}

void HttpClient::Private::start(HttpTransferId id, HttpClientRequest request, HttpClientHandlers handlers)
{
    if (m_isStopping) {
        handlers.onDone(core::Error{core::ErrorKind::Cancelled, "the client has ended"});
        return;
    }
    handlers.onDone = [this, id, onDone = std::move(handlers.onDone)](const core::Status &status) {
        m_running.erase(id);
        if (onDone) {
            onDone(status);
        }
    };
    // A transfer may end before m_client.start() returns. Its entry has been erased then and must not be added again.
    m_running.emplace(id, 0);
    const auto transfer = m_client.start(std::move(request), std::move(handlers));
    if (const auto entry = m_running.find(id); entry != m_running.end()) {
        entry->second = transfer;
    }
}

void HttpClient::Private::enqueueCancel(HttpTransferId id)
{
    asio::post(m_context, [this, id] {
        const auto found = m_running.find(id);
        if (found != m_running.end()) {
            m_client.cancel(found->second);
        }
    });
}

HttpClient::HttpClient() : m_d(std::make_unique<Private>()) { }

HttpClient::~HttpClient() = default;

HttpTransferId HttpClient::start(HttpClientRequest request, HttpClientHandlers handlers)
{
    return m_d->enqueue(std::move(request), std::move(handlers));
}

HttpTransferId HttpClient::fetch(HttpClientRequest request, std::function<void(core::Result<HttpResponse>)> onDone)
{
    return start(std::move(request), bufferingHandlers(std::move(onDone)));
}

core::Result<HttpResponse> HttpClient::fetchAndWait(HttpClientRequest request)
{
    std::promise<core::Result<HttpResponse>> promise;
    auto future = promise.get_future();
    fetch(std::move(request), [&promise](core::Result<HttpResponse> result) { promise.set_value(std::move(result)); });
    return future.get();
}

void HttpClient::cancel(HttpTransferId id)
{
    m_d->enqueueCancel(id);
}

} // namespace lycheelanding::http
