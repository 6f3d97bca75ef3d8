#include "engine/expertloader.h"

#include <asio/post.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace lycheelanding::standins::engine {

namespace {

constexpr std::chrono::milliseconds retryDelay{100};
constexpr std::chrono::milliseconds loadTimeout = std::chrono::minutes(1);
constexpr int statusOk = 200;

} // namespace

ExpertLoader::ExpertLoader(asio::io_context &context, http::HttpClient &client, const EngineSettings &settings,
                           LoadedHandler onLoaded)
    : m_context(context), m_client(client),
      m_baseUrl(settings.weightStore.empty() ? "" : settings.weightStore + "/weights/" + settings.model + "/"),
      m_onLoaded(std::move(onLoaded))
{ }

void ExpertLoader::load(MapVersion version, std::vector<LayerExpert> experts)
{
    std::uint64_t loadNumber = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (m_loading && m_version == version) {
            return;
        }
        loadNumber = ++m_loadNumber;
        m_loading = true;
        m_version = version;
        m_pendingExperts = std::move(experts);
        if (m_baseUrl.empty()) {
            m_pendingExperts.clear();
        }
    }
    asio::post(m_context, [this, loadNumber] { loadNext(loadNumber); });
}

void ExpertLoader::loadNext(std::uint64_t loadNumber)
{
    http::HttpClientRequest request;
    {
        const std::lock_guard lock(m_mutex);
        if (loadNumber != m_loadNumber) {
            return;
        }
        if (!m_pendingExperts.empty()) {
            const LayerExpert next = m_pendingExperts.back();
            request.url = m_baseUrl + std::to_string(next.layer) + "/" + std::to_string(next.expert);
            request.timeout = loadTimeout;
        }
        m_loading = !m_pendingExperts.empty();
    }
    if (request.url.empty()) {
        m_onLoaded(m_version);
        return;
    }
    m_client.fetch(std::move(request), [this, loadNumber](const core::Result<http::HttpResponse> &result) {
        finishExpert(loadNumber, core::isOk(result) && core::valueOf(result).status == statusOk);
    });
}

void ExpertLoader::finishExpert(std::uint64_t loadNumber, bool loaded)
{
    if (!loaded) {
        common::callAfter(m_context, retryDelay, [this, loadNumber] { loadNext(loadNumber); });
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        if (loadNumber == m_loadNumber) {
            m_pendingExperts.pop_back();
        }
    }
    loadNext(loadNumber);
}

} // namespace lycheelanding::standins::engine
