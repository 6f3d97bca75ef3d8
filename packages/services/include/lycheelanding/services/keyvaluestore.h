#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpclient.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

/// Clients of the platform's HTTP interfaces, one file each, with a concept for each interface.
namespace lycheelanding::services {

struct StoredValue
{
    std::string value;
    /// Increases with every change of any key.
    std::uint64_t revision = 0;
};

enum class WriteOutcome : std::uint8_t {
    Written,
    /// The key is not at the expected revision; nothing was written.
    Conflict,
    /// No answer, or one without a clear outcome: the write may have taken effect.
    Unknown,
    /// The service could not be reached; nothing was written.
    Unavailable,
};

struct WriteAnswer
{
    WriteOutcome outcome = WriteOutcome::Unavailable;
    /// With Written, the new revision of the key; with Conflict, its current revision; otherwise 0.
    std::uint64_t revision = 0;
};

/// Gets an unset value when the key does not exist. Fails with StoreUnavailable when there is no valid answer.
using ReadHandler = std::function<void(core::Result<std::optional<StoredValue>>)>;
using WriteHandler = std::function<void(WriteAnswer)>;

/// The platform's key-value service. Handlers are called on a thread of the implementation.
template <typename Type>
concept KeyValueStore = requires(Type &store, const std::string &key, std::string value, std::uint64_t revision,
                                 std::chrono::milliseconds wait, ReadHandler onRead, WriteHandler onWritten)
{
    store.read(key, onRead);
    store.write(key, value, revision, onWritten);
    store.watch(key, revision, wait, onRead);
};

/// Client of the key-value service over HTTP. Handlers are called on the thread of the HTTP client.
class HttpKeyValueStore
{
public:
    /// `baseUrl` is, for example, "http://10.0.0.1:2379".
    HttpKeyValueStore(http::HttpClient &client, std::string baseUrl, std::chrono::milliseconds timeout);

    void read(const std::string &key, ReadHandler onRead);
    /// Writes only if the key is at `expectedRevision`; 0 means that the key must not exist.
    void write(const std::string &key, std::string value, std::uint64_t expectedRevision, WriteHandler onWritten);
    /// Waits until the revision of the key is higher than `afterRevision`; after `wait` returns the current value.
    void watch(const std::string &key, std::uint64_t afterRevision, std::chrono::milliseconds wait, ReadHandler onRead);

private:
    http::HttpClientRequest requestFor(const std::string &method, const std::string &key) const;

    http::HttpClient &m_client;
    std::string m_baseUrl;
    std::chrono::milliseconds m_timeout;
};

static_assert(KeyValueStore<HttpKeyValueStore>);

} // namespace lycheelanding::services
