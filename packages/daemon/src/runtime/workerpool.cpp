#include "runtime/workerpool.h"

#include <atomic>

namespace lycheelanding::daemon::runtime {

WorkerPool::WorkerPool(std::size_t threads)
    : m_context(static_cast<int>(threads)), m_work(asio::make_work_guard(m_context)), m_threads(threads)
{ }

void WorkerPool::run()
{
    std::vector<std::thread> otherThreads;
    for (std::size_t index = 1; index < m_threads; ++index) {
        otherThreads.emplace_back([this] { m_context.run(); });
    }
    m_context.run();
    for (auto &thread : otherThreads) {
        thread.join();
    }
}

void WorkerPool::stop()
{
    m_context.stop();
}

struct RepeatingTimer::State
{
    State(asio::io_context &context, std::chrono::milliseconds firstInterval, std::function<void()> onTimer)
        : timer(context), interval(firstInterval), handler(std::move(onTimer))
    { }

    asio::steady_timer timer;
    std::atomic<std::chrono::milliseconds> interval;
    std::function<void()> handler;
    std::atomic<bool> isStopped = false;
};

RepeatingTimer::RepeatingTimer(asio::io_context &context, std::chrono::milliseconds interval,
                               std::function<void()> handler)
    : m_state(std::make_shared<State>(context, interval, std::move(handler)))
{
    schedule(m_state);
}

RepeatingTimer::~RepeatingTimer()
{
    m_state->isStopped = true;
}

void RepeatingTimer::setInterval(std::chrono::milliseconds interval)
{
    m_state->interval = interval;
}

void RepeatingTimer::schedule(const std::shared_ptr<State> &state)
{
    state->timer.expires_after(state->interval.load());
    state->timer.async_wait([state](const auto &error) {
        if (error || state->isStopped) {
            return;
        }
        state->handler();
        if (!state->isStopped) {
            schedule(state);
        }
    });
}

} // namespace lycheelanding::daemon::runtime
