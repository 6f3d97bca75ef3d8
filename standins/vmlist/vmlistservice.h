#pragma once

#include "common/faultinjector.h"

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>

/// Stand-in for the VM list of the platform, in which changes become visible after a lag.
namespace lycheelanding::standins::vmlist {

using common::Json;

class VmListService
{
public:
    /// Settings: {"vms": [rows], "lagMs": N}.
    VmListService(asio::io_context &context, const Json &settings);

    void handle(const http::HttpExchangePointer &exchange);

private:
    using Rows = std::map<std::string, Json>;

    void handleControl(const http::HttpExchangePointer &exchange);
    void applyAfterLag(std::function<void(Rows &)> change);
    Json list() const;

    asio::io_context &m_context;
    common::FaultInjector m_faultInjector;
    mutable std::mutex m_mutex;
    Rows m_visibleRows;
    std::chrono::milliseconds m_lag{0};
};

} // namespace lycheelanding::standins::vmlist
