#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpclient.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheelanding::control {

/// The base URL of an entry, such as "http://10.0.0.1:8080".
struct EntryAddress
{
    std::string url;
};

struct EntryAnswer
{
    EntryAddress entry;
    core::Result<http::HttpResponse> response;
};

/// The error that an entry answered with (application/problem+json).
struct Refusal
{
    core::Error error;
    /// Set for VersionConflict.
    std::optional<std::uint64_t> currentVersion;
};

/// The refusal in an answer with a status of 400 or more; Internal when the body names no known kind of error.
Refusal refusalOf(const http::HttpResponse &response);

/// A request for EntryClient::call(), which puts the base URL of the entry before `path`.
http::HttpClientRequest entryRequest(std::string method, std::string path);

/// HTTP client of the entries that the command line names.
class EntryClient
{
public:
    /// `timeout` applies to each call; `entries` must not be empty.
    EntryClient(std::vector<EntryAddress> entries, std::chrono::milliseconds timeout);

    const std::vector<EntryAddress> &entries() const { return m_entries; }

    /// `request` is made by entryRequest(). The detail of an error starts with the URL of the entry.
    core::Result<http::HttpResponse> call(const EntryAddress &entry, http::HttpClientRequest request);
    /// GET from one entry after the other until one answers with a status below 400; else the error of the last one.
    core::Result<http::HttpResponse> getFromAny(const std::string &path);
    /// GET from all entries concurrently, in the order of entries(). Statuses from 400 are returned as errors.
    std::vector<EntryAnswer> getFromAll(const std::string &path);

private:
    http::HttpClientRequest preparedRequest(const EntryAddress &entry, http::HttpClientRequest request) const;

    std::vector<EntryAddress> m_entries;
    std::chrono::milliseconds m_timeout;
    http::HttpClient m_client;
};

} // namespace lycheelanding::control
