#include "runtime/stopsignals.h"

#include "logging/statelog.h"

#include <csignal>

namespace lycheelanding::daemon::runtime {

StopSignals::StopSignals(asio::io_context &context, std::function<void()> onStop)
    : m_signals(context, SIGTERM, SIGINT), m_hangupSignal(context, SIGHUP)
{
    ignoreHangup();
    m_signals.async_wait([onStop = std::move(onStop)](const auto &error, int) {
        if (!error) {
            onStop();
        }
    });
}

void StopSignals::ignoreHangup()
{
    m_hangupSignal.async_wait([this](const auto &error, int) {
        if (error) {
            return;
        }
        logging::logChange(logging::Level::Info, "SIGHUP is ignored: settings are read at the start only");
        ignoreHangup();
    });
}

} // namespace lycheelanding::daemon::runtime
