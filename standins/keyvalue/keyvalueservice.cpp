#include "keyvalue/keyvalueservice.h"

#include <chrono>
#include <utility>

namespace lycheelanding::standins::keyvalue {

namespace {

using common::CallKind;
using common::jsonAnswer;

constexpr std::chrono::milliseconds tickPeriod{10};
constexpr std::size_t maxValueBytes = 1024UL * 1024;

core::TimePoint now()
{
    return core::SystemClock().now();
}

template <typename Number>
std::optional<Number> optionalNumber(const Json &body, const char *key)
{
    const auto found = body.find(key);
    if (found == body.end() || found->is_null()) {
        return std::nullopt;
    }
    return found->get<Number>();
}

} // namespace

KeyValueService::KeyValueService(asio::io_context &context, const Json &) : m_context(context), m_faultInjector(context)
{
    common::callAfter(m_context, tickPeriod, [this] { tick(); });
}

void KeyValueService::handle(const http::HttpExchangePointer &exchange)
{
    const http::HttpRequest &request = exchange->request();
    const auto path = request.path();
    if (const auto key = common::pathAfterPrefix(path, "/kv/")) {
        handleKey(exchange, *key);
    } else if (path == "/kv" && request.method == "GET") {
        const std::string prefix = request.queryParameter("prefix").value_or("");
        m_faultInjector.answer(exchange, CallKind::Read, [this, prefix] { return list(prefix); });
    } else if (const auto lease = common::pathAfterPrefix(path, "/leases")) {
        handleLease(exchange, *lease);
    } else {
        handleControl(exchange);
    }
}

void KeyValueService::handleKey(const http::HttpExchangePointer &exchange, const std::string &key)
{
    const http::HttpRequest &request = exchange->request();
    if (request.method == "GET") {
        if (const auto afterRevision = common::numericQueryParameter(request, "afterRevision")) {
            startWatch(exchange, key, *afterRevision);
            return;
        }
        m_faultInjector.answer(exchange, CallKind::Read, [this, key] { return read(key); });
    } else if (request.method == "PUT") {
        const Json body = common::parseJsonBody(exchange);
        const WriteRequest writeRequest{key, body.at("value").get<std::string>(),
                                        optionalNumber<Revision>(body, "expectedRevision"),
                                        optionalNumber<LeaseId>(body, "lease")};
        m_faultInjector.answer(exchange, CallKind::Write, [this, writeRequest] { return write(writeRequest); });
    } else if (request.method == "DELETE") {
        const auto expected = common::numericQueryParameter(request, "expectedRevision");
        m_faultInjector.answer(exchange, CallKind::Write, [this, key, expected] { return erase(key, expected); });
    } else {
        common::respondNotFound(exchange);
    }
}

void KeyValueService::handleLease(const http::HttpExchangePointer &exchange, const std::string &leasePath)
{
    if (leasePath.empty()) {
        const Json body = common::parseJsonBody(exchange);
        m_faultInjector.answer(exchange, CallKind::Write, [this, body] { return grantLease(body); });
        return;
    }
    m_faultInjector.answer(exchange, CallKind::Write, [this, method = exchange->request().method, leasePath] {
        return changeLease(method, leasePath);
    });
}

void KeyValueService::handleControl(const http::HttpExchangePointer &exchange)
{
    const auto path = exchange->request().path();
    if (path == "/control" && exchange->request().method == "POST") {
        m_faultInjector.configure(common::parseJsonBody(exchange));
        if (m_faultInjector.mode() == common::FaultMode::Down) {
            abortWatches();
        }
        common::respondJson(exchange, 200, Json::object());
    } else if (path == "/control/stats") {
        exchange->respond(stats());
    } else {
        common::respondNotFound(exchange);
    }
}

http::HttpResponse KeyValueService::read(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    ++m_stats.reads;
    m_table.removeExpiredLeases(now());
    return entryAnswer(key);
}

http::HttpResponse KeyValueService::list(const std::string &prefix)
{
    const std::lock_guard lock(m_mutex);
    ++m_stats.reads;
    m_table.removeExpiredLeases(now());
    Json entries = Json::array();
    const auto &all = m_table.entries();
    for (auto entry = all.lower_bound(prefix); entry != all.end() && entry->first.starts_with(prefix); ++entry) {
        entries.push_back(
            {{"key", entry->first}, {"value", entry->second.value}, {"revision", entry->second.revision}});
    }
    return jsonAnswer(200, {{"entries", entries}});
}

http::HttpResponse KeyValueService::write(const WriteRequest &request)
{
    const std::lock_guard lock(m_mutex);
    ++m_stats.writes;
    if (request.value.size() > maxValueBytes) {
        return jsonAnswer(413, {{"error", "the value is larger than 1 MiB"}});
    }
    m_table.removeExpiredLeases(now());
    return finishChange(m_table.write(request));
}

http::HttpResponse KeyValueService::erase(const std::string &key, std::optional<Revision> expectedRevision)
{
    const std::lock_guard lock(m_mutex);
    ++m_stats.writes;
    m_table.removeExpiredLeases(now());
    return finishChange(m_table.erase(key, expectedRevision));
}

http::HttpResponse KeyValueService::grantLease(const Json &body)
{
    const std::lock_guard lock(m_mutex);
    ++m_stats.leaseCalls;
    const std::chrono::milliseconds timeToLive(body.at("ttlMs").get<std::int64_t>());
    return jsonAnswer(200, {{"lease", m_table.grantLease(timeToLive, now())}});
}

http::HttpResponse KeyValueService::changeLease(const std::string &method, const std::string &leasePath)
{
    const std::lock_guard lock(m_mutex);
    ++m_stats.leaseCalls;
    m_table.removeExpiredLeases(now());
    const LeaseId lease = std::stoull(leasePath.substr(1));
    const bool isFound = method == "DELETE" ? m_table.revokeLease(lease) : m_table.keepLeaseAlive(lease, now());
    answerWatches();
    return isFound ? jsonAnswer(200, {{"lease", lease}}) : jsonAnswer(404, {{"error", "the lease has expired"}});
}

http::HttpResponse KeyValueService::stats() const
{
    const std::lock_guard lock(m_mutex);
    return jsonAnswer(200,
                      {{"reads", m_stats.reads},
                       {"writes", m_stats.writes},
                       {"conflicts", m_stats.conflicts},
                       {"watches", m_stats.watches},
                       {"watchesWaiting", m_watches.size()},
                       {"leaseCalls", m_stats.leaseCalls}});
}

void KeyValueService::startWatch(const http::HttpExchangePointer &exchange, const std::string &key,
                                 Revision afterRevision)
{
    if (m_faultInjector.mode() == common::FaultMode::Down) {
        exchange->abort();
        return;
    }
    const std::chrono::milliseconds wait(common::numericQueryParameter(exchange->request(), "waitMs").value_or(0));
    {
        const std::lock_guard lock(m_mutex);
        ++m_stats.watches;
        m_watches.push_back({exchange, key, afterRevision, now() + wait});
        answerWatches();
    }
    exchange->onCallerGone([this, watched = exchange.get()] { removeWatch(watched); });
}

void KeyValueService::removeWatch(const http::HttpExchange *exchange)
{
    const std::lock_guard lock(m_mutex);
    m_watches.remove_if([exchange](const Watch &watch) { return watch.exchange.get() == exchange; });
}

void KeyValueService::abortWatches()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &watch : m_watches) {
        watch.exchange->abort();
    }
    m_watches.clear();
}

http::HttpResponse KeyValueService::entryAnswer(const std::string &key) const
{
    const Entry *const entry = m_table.find(key);
    if (entry == nullptr) {
        return jsonAnswer(404, {{"revision", m_table.lastChangeRevision(key)}});
    }
    return jsonAnswer(200, {{"value", entry->value}, {"revision", entry->revision}});
}

http::HttpResponse KeyValueService::finishChange(const ChangeResult &result)
{
    switch (result.outcome) {
    case ChangeOutcome::Changed:
        answerWatches();
        return jsonAnswer(200, {{"revision", result.revision}});
    case ChangeOutcome::Conflict:
        ++m_stats.conflicts;
        return jsonAnswer(409, {{"revision", result.revision}});
    case ChangeOutcome::UnknownLease:
        break;
    }
    return jsonAnswer(404, {{"error", "the lease has expired"}});
}

void KeyValueService::answerWatches()
{
    const core::TimePoint time = now();
    m_watches.remove_if([this, time](const Watch &watch) {
        if (m_table.lastChangeRevision(watch.key) > watch.afterRevision) {
            watch.exchange->respond(entryAnswer(watch.key));
            return true;
        }
        if (watch.timeoutAt <= time) {
            http::HttpResponse unchanged;
            unchanged.status = 304;
            watch.exchange->respond(unchanged);
            return true;
        }
        return false;
    });
}

void KeyValueService::tick()
{
    {
        const std::lock_guard lock(m_mutex);
        m_table.removeExpiredLeases(now());
        answerWatches();
    }
    common::callAfter(m_context, tickPeriod, [this] { tick(); });
}

} // namespace lycheelanding::standins::keyvalue
