#pragma once

#include "engine/expertmap.h"
#include "lycheelanding/http/httpclient.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace lycheelanding::standins::engine {

/// Loads experts from the weight store, one at a time; retries failed requests.
class ExpertLoader
{
public:
    using LoadedHandler = std::function<void(MapVersion)>;

    /// `onLoaded` runs on a thread of the io_context or of the HTTP client.
    ExpertLoader(asio::io_context &context, http::HttpClient &client, const EngineSettings &settings,
                 LoadedHandler onLoaded);

    /// Replaces a load in progress, unless it is for the same map version.
    void load(MapVersion version, std::vector<LayerExpert> experts);

private:
    void loadNext(std::uint64_t loadNumber);
    void finishExpert(std::uint64_t loadNumber, bool loaded);

    asio::io_context &m_context;
    http::HttpClient &m_client;
    const std::string m_baseUrl;
    const LoadedHandler m_onLoaded;
    std::mutex m_mutex;
    /// Number of the latest load; callbacks of replaced loads carry a lower one and stop.
    std::uint64_t m_loadNumber = 0;
    bool m_loading = false;
    MapVersion m_version = 0;
    std::vector<LayerExpert> m_pendingExperts;
};

} // namespace lycheelanding::standins::engine
