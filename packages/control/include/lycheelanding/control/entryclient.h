#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpclient.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheelanding::control {

/// An entry by its base URL, such as "http://10.0.0.1:8080".
struct EntryAddress
{
    std::string url;
};

struct EntryAnswer
{
    EntryAddress entry;
    core::Result<http::HttpResponse> response;
};

/// A refusal that an entry answered with (application/problem+json).
struct Refusal
{
    core::Error error;
    /// With VersionConflict.
    std::optional<std::uint64_t> currentVersion;
};

/// The refusal in an answer with a status of 400 or more; a body of another kind gives Internal.
Refusal refusalOf(const http::HttpResponse &response);

/// A request for EntryClient::call(): its URL is the path at the entry.
http::HttpClientRequest entryRequest(std::string method, std::string path);

/// Speaks to the entries that the operator named.
class EntryClient
{
public:
    /// `timeout` is for one call; `entries` must not be empty.
    EntryClient(std::vector<EntryAddress> entries, std::chrono::milliseconds timeout);

    const std::vector<EntryAddress> &entries() const { return m_entries; }

    /// `request` is for a path, see entryRequest().
    core::Result<http::HttpResponse> call(const EntryAddress &entry, http::HttpClientRequest request);
    /// GET from the first entry that answers with 200; else the error of the last one.
    core::Result<http::HttpResponse> getFromAny(const std::string &path);
    /// GET from all entries at once; answers other than 200 are errors. In the order of entries().
    std::vector<EntryAnswer> getFromAll(const std::string &path);

private:
    http::HttpClientRequest preparedRequest(const EntryAddress &entry, http::HttpClientRequest request) const;

    std::vector<EntryAddress> m_entries;
    std::chrono::milliseconds m_timeout;
    http::HttpClient m_client;
};

} // namespace lycheelanding::control
