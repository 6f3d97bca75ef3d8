#pragma once

#include "common/faultinjector.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

/// Stand-in for a service whose calls must not be repeated. Tests check its journal of executed calls.
namespace lycheelanding::standins::plain {

using common::Json;

class PlainService
{
public:
    PlainService(asio::io_context &context, const Json &settings);

    void handle(const http::HttpExchangePointer &exchange);

private:
    struct Run
    {
        std::string idempotencyKey;
        std::string operation;
        std::string method;
        std::string path;
        std::string body;
    };

    void run(const http::HttpExchangePointer &exchange, const std::string &operation);
    Json record(const http::HttpRequest &request, const std::string &operation);
    Json status(const std::string &operation) const;
    Json journal() const;

    common::FaultInjector m_faultInjector;
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace lycheelanding::standins::plain
