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

/// Adapters to the platform's interfaces, one file each, behind concepts.
namespace lycheelanding::services {

struct StoredValue
{
    std::string value;
    /// Grows with every change of any key.
    std::uint64_t revision = 0;
};

enum class WriteOutcome : std::uint8_t {
    Written,
    /// The key is not at the expected revision; nothing was written.
    Conflict,
    /// No answer came back: the write may have taken effect.
    Unknown,
    /// The service was not reached; nothing was written.
    Unavailable,
};

struct WriteAnswer
{
    WriteOutcome outcome = WriteOutcome::Unavailable;
    /// The revision written, or with Conflict the current one.
    std::uint64_t revision = 0;
};

/// Nothing when the key does not exist; StoreUnavailable when the service gave no answer.
using ReadHandler = std::function<void(core::Result<std::optional<StoredValue>>)>;
using WriteHandler = std::function<void(WriteAnswer)>;

/// The platform's key-value service. Handlers are called on a thread of the adapter.
template <typename Type>
concept KeyValueStore = requires(Type &store, const std::string &key, std::string value, std::uint64_t revision,
                                 std::chrono::milliseconds wait, ReadHandler onRead, WriteHandler onWritten)
{
    store.read(key, onRead);
    store.write(key, value, revision, onWritten);
    store.watch(key, revision, wait, onRead);
};

/// The key-value service over HTTP.
class HttpKeyValueStore
{
public:
    /// `baseUrl` such as "http://10.0.0.1:2379".
    HttpKeyValueStore(http::HttpClient &client, std::string baseUrl, std::chrono::milliseconds timeout);

    void read(const std::string &key, ReadHandler onRead);
    /// Writes only when the key is at `expectedRevision`; 0 means that it must not exist.
    void write(const std::string &key, std::string value, std::uint64_t expectedRevision, WriteHandler onWritten);
    /// Waits until the key has a revision above `afterRevision`; after `wait` answers with the value as it is.
    void watch(const std::string &key, std::uint64_t afterRevision, std::chrono::milliseconds wait, ReadHandler onRead);

private:
    http::HttpClientRequest requestFor(const std::string &method, const std::string &key) const;

    http::HttpClient &m_client;
    std::string m_baseUrl;
    std::chrono::milliseconds m_timeout;
};

static_assert(KeyValueStore<HttpKeyValueStore>);

} // namespace lycheelanding::services
