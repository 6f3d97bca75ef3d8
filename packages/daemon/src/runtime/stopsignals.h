#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <functional>

namespace lycheelanding::daemon::runtime {

/// Calls a handler once, at the first SIGTERM or SIGINT. SIGHUP, which would end the process without a drain, is
/// ignored.
class StopSignals
{
public:
    StopSignals(asio::io_context &context, std::function<void()> onStop);

private:
    void ignoreHangup();

    asio::signal_set m_signals;
    asio::signal_set m_hangupSignal;
};

} // namespace lycheelanding::daemon::runtime
