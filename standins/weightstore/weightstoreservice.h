#pragma once

#include "common/faultinjector.h"
#include "lycheelanding/core/clock.h"

#include <cstdint>
#include <mutex>

/// Stand-in for a store of model weights whose bandwidth is shared by all callers.
namespace lycheelanding::standins::weightstore {

using common::Json;

class WeightStoreService
{
public:
    /// Settings: {"bytesPerSecond", "expertBytes"}.
    WeightStoreService(asio::io_context &context, const Json &settings);

    void handle(const http::HttpExchangePointer &exchange);

private:
    /// Reserves bandwidth for one expert behind the transfers in progress; returns the time until its transfer
    /// completes.
    std::chrono::milliseconds reserveTransfer();
    Json stats() const;

    common::FaultInjector m_faultInjector;
    const double m_bytesPerSecond;
    const std::uint64_t m_expertBytes;
    mutable std::mutex m_mutex;
    core::TimePoint m_busyUntil;
    std::uint64_t m_requests = 0;
};

} // namespace lycheelanding::standins::weightstore
