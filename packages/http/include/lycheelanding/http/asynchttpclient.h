#pragma once

#include "lycheelanding/http/httpclient.h"

#include <asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace lycheelanding::http {

/// Runs any number of HTTP requests at a time on an executor of the caller's, of which no two handlers run at a time.
/// All calls are made on it.
class AsyncHttpClient
{
public:
    explicit AsyncHttpClient(asio::any_io_executor executor);
    /// Cancels what runs.
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient &) = delete;
    AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

    HttpTransferId start(HttpClientRequest request, HttpClientHandlers handlers);
    /// Gathers the whole answer before it calls `onDone`.
    HttpTransferId fetch(HttpClientRequest request, std::function<void(core::Result<HttpResponse>)> onDone);
    void cancel(HttpTransferId id);
    void cancelAll();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

/// Handlers that gather a whole answer.
HttpClientHandlers bufferingHandlers(std::function<void(core::Result<HttpResponse>)> onDone);

} // namespace lycheelanding::http
