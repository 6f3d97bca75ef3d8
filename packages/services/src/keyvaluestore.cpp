#include "lycheelanding/services/keyvaluestore.h"

#include "private/answerjson.h"

namespace lycheelanding::services {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotModified = 304;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;

core::Error storeUnavailable(const std::string &detail)
{
    return core::Error{core::ErrorKind::StoreUnavailable, "the key-value service gave no answer: " + detail};
}

core::Result<std::optional<StoredValue>> storedValueFrom(const core::Result<http::HttpResponse> &result)
{
    if (!core::isOk(result)) {
        return storeUnavailable(core::errorOf(result).detail);
    }
    const auto &response = core::valueOf(result);
    if (response.status == statusNotFound) {
        return std::optional<StoredValue>();
    }
    const auto json = parsedAnswer(response.body);
    if (response.status != statusOk || !json.is_object()) {
        return storeUnavailable("status " + std::to_string(response.status));
    }
    try {
        return std::optional(
            StoredValue{json.at("value").get<std::string>(), json.at("revision").get<std::uint64_t>()});
    } catch (const Json::exception &exception) {
        return storeUnavailable(exception.what());
    }
}

WriteAnswer writeAnswerFrom(const core::Result<http::HttpResponse> &result)
{
    if (!core::isOk(result)) {
        const bool isUnsent = core::errorOf(result).kind == core::ErrorKind::PeerUnreachable;
        return WriteAnswer{isUnsent ? WriteOutcome::Unavailable : WriteOutcome::Unknown, 0};
    }
    const auto &response = core::valueOf(result);
    const auto json = parsedAnswer(response.body);
    const auto revision = json.is_object() && json.contains("revision") && json["revision"].is_number_unsigned()
        ? json["revision"].get<std::uint64_t>()
        : 0;
    if (response.status == statusOk && revision != 0) {
        return WriteAnswer{WriteOutcome::Written, revision};
    }
    if (response.status == statusConflict) {
        return WriteAnswer{WriteOutcome::Conflict, revision};
    }
    return WriteAnswer{WriteOutcome::Unknown, 0};
}

} // namespace

HttpKeyValueStore::HttpKeyValueStore(http::HttpClient &client, std::string baseUrl, std::chrono::milliseconds timeout)
    : m_client(client), m_baseUrl(std::move(baseUrl)), m_timeout(timeout)
{ }

http::HttpClientRequest HttpKeyValueStore::requestFor(const std::string &method, const std::string &key) const
{
    http::HttpClientRequest request;
    request.method = method;
    request.url = m_baseUrl + "/kv/" + key;
    request.timeout = m_timeout;
    return request;
}

void HttpKeyValueStore::read(const std::string &key, ReadHandler onRead)
{
    m_client.fetch(requestFor("GET", key),
                   [onRead = std::move(onRead)](const auto &result) { onRead(storedValueFrom(result)); });
}

void HttpKeyValueStore::write(const std::string &key, std::string value, std::uint64_t expectedRevision,
                              WriteHandler onWritten)
{
    auto request = requestFor("PUT", key);
    request.headers.add("Content-Type", "application/json");
    request.body = Json{{"value", std::move(value)}, {"expectedRevision", expectedRevision}}.dump();
    m_client.fetch(std::move(request),
                   [onWritten = std::move(onWritten)](const auto &result) { onWritten(writeAnswerFrom(result)); });
}

void HttpKeyValueStore::watch(const std::string &key, std::uint64_t afterRevision, std::chrono::milliseconds wait,
                              ReadHandler onRead)
{
    auto request = requestFor("GET", key);
    request.url += "?afterRevision=" + std::to_string(afterRevision) + "&waitMs=" + std::to_string(wait.count());
    request.timeout = wait + m_timeout;
    m_client.fetch(std::move(request), [this, key, onRead = std::move(onRead)](const auto &result) {
        if (core::isOk(result) && core::valueOf(result).status == statusNotModified) {
            read(key, onRead);
            return;
        }
        onRead(storedValueFrom(result));
    });
}

} // namespace lycheelanding::services
