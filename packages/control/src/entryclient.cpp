#include "lycheelanding/control/entryclient.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <future>
#include <utility>

namespace lycheelanding::control {

namespace {

constexpr int firstErrorStatus = 400;

/// Converts an answer with an error status to the error in its body.
core::Result<http::HttpResponse> refusalAsError(core::Result<http::HttpResponse> result)
{
    if (!core::isOk(result) || core::valueOf(result).status < firstErrorStatus) {
        return result;
    }
    return refusalOf(core::valueOf(result)).error;
}

/// Puts the URL of the entry before the detail of an error.
core::Result<http::HttpResponse> withEntryInError(const EntryAddress &entry, core::Result<http::HttpResponse> result)
{
    if (auto *error = std::get_if<core::Error>(&result)) {
        error->detail = fmt::format("{}: {}", entry.url, error->detail);
    }
    return result;
}

} // namespace

Refusal refusalOf(const http::HttpResponse &response)
{
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    const auto textOf = [&](const char *key) {
        const bool isText = json.is_object() && json.contains(key) && json[key].is_string();
        return isText ? json[key].get<std::string>() : std::string();
    };
    Refusal refusal;
    refusal.error.kind = core::errorKindNamed(textOf("kind")).value_or(core::ErrorKind::Internal);
    refusal.error.detail = textOf("detail");
    if (refusal.error.detail.empty()) {
        refusal.error.detail = fmt::format("status {}", response.status);
    }
    if (json.is_object() && json.contains("currentVersion") && json["currentVersion"].is_number_unsigned()) {
        refusal.currentVersion = json["currentVersion"].get<std::uint64_t>();
    }
    return refusal;
}

http::HttpClientRequest entryRequest(std::string method, std::string path)
{
    http::HttpClientRequest request;
    request.method = std::move(method);
    request.url = std::move(path);
    return request;
}

EntryClient::EntryClient(std::vector<EntryAddress> entries, std::chrono::milliseconds timeout)
    : m_entries(std::move(entries)), m_timeout(timeout)
{ }

core::Result<http::HttpResponse> EntryClient::call(const EntryAddress &entry, http::HttpClientRequest request)
{
    return withEntryInError(entry, m_client.fetchAndWait(preparedRequest(entry, std::move(request))));
}

core::Result<http::HttpResponse> EntryClient::getFromAny(const std::string &path)
{
    core::Result<http::HttpResponse> lastResult = core::Error{core::ErrorKind::PeerUnreachable, "no entry was named"};
    for (const auto &entry : m_entries) {
        lastResult = refusalAsError(call(entry, entryRequest("GET", path)));
        if (core::isOk(lastResult)) {
            return lastResult;
        }
    }
    return lastResult;
}

std::vector<EntryAnswer> EntryClient::getFromAll(const std::string &path)
{
    std::vector<std::promise<core::Result<http::HttpResponse>>> promises(m_entries.size());
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        m_client.fetch(preparedRequest(m_entries[index], entryRequest("GET", path)),
                       [&promise = promises[index]](auto result) { promise.set_value(std::move(result)); });
    }
    std::vector<EntryAnswer> answers;
    answers.reserve(m_entries.size());
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        auto result = refusalAsError(promises[index].get_future().get());
        answers.push_back({m_entries[index], withEntryInError(m_entries[index], std::move(result))});
    }
    return answers;
}

http::HttpClientRequest EntryClient::preparedRequest(const EntryAddress &entry, http::HttpClientRequest request) const
{
    request.url = entry.url + request.url;
    request.timeout = m_timeout;
    request.connectTimeout = std::min(request.connectTimeout, m_timeout);
    return request;
}

} // namespace lycheelanding::control
