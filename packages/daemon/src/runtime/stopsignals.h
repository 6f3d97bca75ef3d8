#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <functional>

namespace lycheelanding::daemon::runtime {

/// Calls a handler once, at the first SIGTERM or SIGINT.
class StopSignals
{
public:
    StopSignals(asio::io_context &context, std::function<void()> onStop);

private:
    asio::signal_set m_signals;
};

} // namespace lycheelanding::daemon::runtime
