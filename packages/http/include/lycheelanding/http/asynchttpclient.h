#pragma once

#include "lycheelanding/http/httpclient.h"

#include <asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace lycheelanding::http {

/// Runs HTTP requests concurrently on the given executor, which must not run two handlers at the same time.
/// All members must be called on that executor.
class AsyncHttpClient
{
public:
    explicit AsyncHttpClient(asio::any_io_executor executor);
    /// Ends the running requests without calling their handlers, whose owner may be gone.
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient &) = delete;
    AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

    HttpTransferId start(HttpClientRequest request, HttpClientHandlers handlers);
    /// Buffers the complete answer before it calls `onDone`.
    HttpTransferId fetch(HttpClientRequest request, std::function<void(core::Result<HttpResponse>)> onDone);
    // The handlers of cancelled requests get a Cancelled error.
    void cancel(HttpTransferId id);
    void cancelAll();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

/// Handlers that buffer the complete answer and then call `onDone`.
HttpClientHandlers bufferingHandlers(std::function<void(core::Result<HttpResponse>)> onDone);

} // namespace lycheelanding::http
