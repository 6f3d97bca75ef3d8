#pragma once

#include "common/faultinjector.h"
#include "keyvalue/keyvaluetable.h"

#include <cstdint>
#include <list>
#include <mutex>
#include <string>

namespace lycheelanding::standins::keyvalue {

using common::Json;

/// HTTP interface of the table, with long-poll watches and fault injection.
class KeyValueService
{
public:
    KeyValueService(asio::io_context &context, const Json &settings);

    void handle(const http::HttpExchangePointer &exchange);

private:
    struct Watch
    {
        http::HttpExchangePointer exchange;
        std::string key;
        Revision afterRevision = 0;
        core::TimePoint timeoutAt;
    };

    struct Stats
    {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t conflicts = 0;
        std::uint64_t watches = 0;
        std::uint64_t leaseCalls = 0;
    };

    void handleKey(const http::HttpExchangePointer &exchange, const std::string &key);
    void handleLease(const http::HttpExchangePointer &exchange, const std::string &leasePath);
    void handleControl(const http::HttpExchangePointer &exchange);

    http::HttpResponse read(const std::string &key);
    http::HttpResponse list(const std::string &prefix);
    http::HttpResponse write(const WriteRequest &request);
    http::HttpResponse erase(const std::string &key, std::optional<Revision> expectedRevision);
    http::HttpResponse grantLease(const Json &body);
    http::HttpResponse changeLease(const std::string &method, const std::string &leasePath);
    http::HttpResponse stats() const;

    void startWatch(const http::HttpExchangePointer &exchange, const std::string &key, Revision afterRevision);
    void removeWatch(const http::HttpExchange *exchange);
    void abortWatches();

    /// The functions below, apart from `tick()`, require the mutex to be held.
    http::HttpResponse entryAnswer(const std::string &key) const;
    /// The answer to a write or deletion; on success also answers the watches that it affects.
    http::HttpResponse finishChange(const ChangeResult &result);
    /// Answers and removes the watches whose key has changed or whose wait has timed out.
    void answerWatches();
    /// Expires leases and answers watches periodically.
    void tick();

    asio::io_context &m_context;
    common::FaultInjector m_faultInjector;
    mutable std::mutex m_mutex;
    KeyValueTable m_table;
    std::list<Watch> m_watches;
    Stats m_stats;
};

} // namespace lycheelanding::standins::keyvalue
