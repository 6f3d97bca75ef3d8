#include "common/faultinjector.h"

#include "lycheelanding/core/nametable.h"

#include <array>
#include <stdexcept>
#include <string>
#include <utility>

namespace lycheelanding::standins::common {

namespace {

constexpr std::array<core::NameEntry<FaultMode>, 6> modeNames{{
    {FaultMode::Up, "up"},
    {FaultMode::Down, "down"},
    {FaultMode::Slow, "slow"},
    {FaultMode::Stall, "stall"},
    {FaultMode::FailFast, "failFast"},
    {FaultMode::LoseAnswers, "loseAnswers"},
}};

} // namespace

void FaultInjector::configure(const Json &control)
{
    const auto name = control.value("mode", std::string("up"));
    const auto mode = core::valueIn(modeNames, name);
    if (!mode) {
        throw std::invalid_argument("unknown fault mode " + name);
    }
    std::vector<std::function<void()>> stalledCalls;
    {
        const std::lock_guard lock(m_mutex);
        m_mode = *mode;
        m_delay = std::chrono::milliseconds(control.value("delayMs", 0));
        m_answersToLose = control.value("count", std::numeric_limits<std::uint64_t>::max());
        stalledCalls.swap(m_stalledCalls);
    }
    for (const auto &retry : stalledCalls) {
        retry();
    }
}

FaultMode FaultInjector::mode() const
{
    const std::lock_guard lock(m_mutex);
    return m_mode;
}

FaultInjector::Fault FaultInjector::nextFault(CallKind kind)
{
    const std::lock_guard lock(m_mutex);
    if (m_mode != FaultMode::LoseAnswers) {
        return {m_mode, m_mode == FaultMode::Slow ? m_delay : std::chrono::milliseconds(0)};
    }
    if (kind != CallKind::Write || m_answersToLose == 0) {
        return {};
    }
    --m_answersToLose;
    return {FaultMode::LoseAnswers};
}

void FaultInjector::answer(const http::HttpExchangePointer &exchange, CallKind kind, Handler handler,
                           std::chrono::milliseconds delay)
{
    const Fault fault = nextFault(kind);
    switch (fault.mode) {
    case FaultMode::Up:
    case FaultMode::Slow:
        respondLater(exchange, handler(), delay + fault.delay);
        return;
    case FaultMode::Down:
        exchange->abort();
        return;
    case FaultMode::Stall:
        enqueueStalled(
            [this, exchange, kind, handler = std::move(handler), delay] { answer(exchange, kind, handler, delay); });
        return;
    case FaultMode::FailFast:
        respondJson(exchange, 500, {{"error", "injected failure"}});
        return;
    case FaultMode::LoseAnswers:
        handler();
        exchange->abort();
        return;
    }
}

void FaultInjector::admit(const http::HttpExchangePointer &exchange, std::function<void()> start)
{
    switch (nextFault(CallKind::Read).mode) {
    case FaultMode::Up:
    case FaultMode::Slow:
    case FaultMode::LoseAnswers:
        start();
        return;
    case FaultMode::Down:
        exchange->abort();
        return;
    case FaultMode::Stall:
        enqueueStalled([this, exchange, start = std::move(start)] { admit(exchange, start); });
        return;
    case FaultMode::FailFast:
        respondJson(exchange, 500, {{"error", "injected failure"}});
        return;
    }
}

void FaultInjector::enqueueStalled(std::function<void()> retry)
{
    const std::lock_guard lock(m_mutex);
    m_stalledCalls.push_back(std::move(retry));
}

void FaultInjector::respondLater(const http::HttpExchangePointer &exchange, http::HttpResponse response,
                                 std::chrono::milliseconds delay)
{
    if (delay.count() == 0) {
        exchange->respond(std::move(response));
        return;
    }
    callAfter(m_context, delay, [exchange, response = std::move(response)] { exchange->respond(response); });
}

} // namespace lycheelanding::standins::common
