#pragma once

#include "lycheelanding/decisions/quarantine/requestfeatures.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lycheelanding::forwarding {

/// An attempt whose connection was lost before its answer was complete.
struct LostAttempt
{
    /// Incarnation of the backend server.
    std::string backend;
    asio::ip::tcp::endpoint endpoint;
    decisions::quarantine::SharedFeatures features;
};

/// Finds out whether a backend server that has lost a connection has crashed: it then refuses a new one. A backend
/// server that accepts it, or whose VM does not respond, has not shown a crash. Used on one thread.
class CrashDetector
{
public:
    /// `onCrash` is called for each lost attempt of a crashed backend server.
    CrashDetector(asio::io_context &context, std::function<void(const LostAttempt &)> onCrash);
    ~CrashDetector();
    CrashDetector(const CrashDetector &) = delete;
    CrashDetector &operator=(const CrashDetector &) = delete;

    void attemptLost(const LostAttempt &attempt);

private:
    struct Check;

    void finish(const std::string &backend, bool isRefused);

    asio::io_context &m_context;
    const std::function<void(const LostAttempt &)> m_onCrash;
    /// Checks under way, by backend server.
    std::map<std::string, std::shared_ptr<Check>> m_checks;
};

} // namespace lycheelanding::forwarding
