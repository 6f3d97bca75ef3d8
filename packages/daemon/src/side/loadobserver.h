#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/http/httpclient.h"
#include "lycheelanding/services/modelengine.h"
#include "lycheelanding/wire/messages.h"
#include "settings/daemonsettings.h"

#include <asio/io_context.hpp>

#include <memory>
#include <mutex>

#include "runtime/workerpool.h"

namespace lycheelanding::daemon::side {

/// Reads the backend server's load at intervals and checks that the server can be reached.
class LoadObserver
{
public:
    LoadObserver(asio::io_context &context, http::HttpClient &client, const settings::SideSettings &settings);

    /// Sets the load fields of a heartbeat.
    void addTo(wire::Heartbeat &heartbeat) const;
    bool isBackendReachable() const;

private:
    void readLoad();
    void probePlainBackend();
    void recordLoad(const core::Result<services::EngineLoad> &load);

    http::HttpClient &m_client;
    const settings::SideSettings m_settings;
    services::HttpModelEngine m_engine;
    core::SystemClock m_clock;
    mutable std::mutex m_mutex;
    services::EngineLoad m_load;
    core::TimePoint m_loadReadAt;
    bool m_isReachable = false;
    bool m_isReading = false;
    runtime::RepeatingTimer m_timer;
};

} // namespace lycheelanding::daemon::side
