#include "side/loadobserver.h"

#include "logging/statelog.h"

namespace lycheelanding::daemon::side {

LoadObserver::LoadObserver(asio::io_context &context, http::HttpClient &client, const settings::SideSettings &settings)
    : m_client(client), m_settings(settings), m_engine(client, settings.backendUrl), m_loadReadAt(m_clock.now()),
      m_timer(context, settings.loadInterval, [this] { readLoad(); })
{ }

void LoadObserver::readLoad()
{
    {
        const std::scoped_lock lock(m_mutex);
        if (m_isReading) {
            return;
        }
        m_isReading = true;
    }
    if (m_settings.backendKind == settings::BackendKind::Engine) {
        m_engine.load([this](const auto &load) { recordLoad(load); });
        return;
    }
    probePlainBackend();
}

void LoadObserver::probePlainBackend()
{
    // Any answer shows that a plain backend server can be reached. Such a server reports no load.
    http::HttpClientRequest request;
    request.method = "HEAD";
    request.url = m_settings.backendUrl + "/";
    request.timeout = std::chrono::seconds(2);
    m_client.fetch(std::move(request), [this](const core::Result<http::HttpResponse> &response) {
        recordLoad(core::isOk(response) ? core::Result<services::EngineLoad>(services::EngineLoad())
                                        : core::Result<services::EngineLoad>(core::errorOf(response)));
    });
}

void LoadObserver::recordLoad(const core::Result<services::EngineLoad> &load)
{
    const bool isReachable = core::isOk(load);
    bool isChanged = false;
    {
        const std::scoped_lock lock(m_mutex);
        m_isReading = false;
        isChanged = isReachable != m_isReachable;
        m_isReachable = isReachable;
        if (isReachable) {
            m_load = core::valueOf(load);
            m_loadReadAt = m_clock.now();
        }
    }
    if (isChanged) {
        logging::logChange(
            logging::Level::Info, "backend server reachability changed",
            {{"reachable", isReachable ? "yes" : "no"}, {"detail", isReachable ? "" : core::errorOf(load).detail}});
    }
}

void LoadObserver::addTo(wire::Heartbeat &heartbeat) const
{
    const std::scoped_lock lock(m_mutex);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_loadReadAt);
    heartbeat.isBackendReachable = m_isReachable;
    heartbeat.queued = m_load.queued;
    heartbeat.outstandingTokens = m_load.outstandingTokens;
    heartbeat.loadAgeMs = static_cast<std::uint32_t>(age.count());
    for (const auto &rank : m_load.ranks) {
        heartbeat.ranks.push_back({rank.rank, rank.outstandingTokens});
    }
}

bool LoadObserver::isBackendReachable() const
{
    const std::scoped_lock lock(m_mutex);
    return m_isReachable;
}

} // namespace lycheelanding::daemon::side
