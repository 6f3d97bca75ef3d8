#include "lycheelanding/forwarding/crashdetector.h"

#include <asio/steady_timer.hpp>

#include <chrono>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

/// To another data centre a connection takes about a millisecond.
constexpr std::chrono::milliseconds connectTimeout{500};

} // namespace

struct CrashDetector::Check
{
    explicit Check(asio::io_context &context) : socket(context), timer(context) { }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::vector<LostAttempt> attempts;
};

CrashDetector::CrashDetector(asio::io_context &context, std::function<void(const LostAttempt &)> onCrash)
    : m_context(context), m_onCrash(std::move(onCrash))
{ }

CrashDetector::~CrashDetector() = default;

void CrashDetector::attemptLost(const LostAttempt &attempt)
{
    auto &check = m_checks[attempt.backend];
    if (check) {
        check->attempts.push_back(attempt);
        return;
    }
    check = std::make_shared<Check>(m_context);
    check->attempts.push_back(attempt);
    const std::weak_ptr<Check> weak = check;
    check->timer.expires_after(connectTimeout);
    check->timer.async_wait([this, weak, backend = attempt.backend](const auto &error) {
        if (!error && !weak.expired()) {
            finish(backend, false);
        }
    });
    check->socket.async_connect(attempt.endpoint, [this, weak, backend = attempt.backend](const auto &error) {
        if (!weak.expired()) {
            finish(backend, error == asio::error::connection_refused);
        }
    });
}

void CrashDetector::finish(const std::string &backend, bool isRefused)
{
    const auto node = m_checks.extract(backend);
    if (node.empty() || !isRefused) {
        return;
    }
    for (const auto &attempt : node.mapped()->attempts) {
        m_onCrash(attempt);
    }
}

} // namespace lycheelanding::forwarding
