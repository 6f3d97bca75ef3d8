#pragma once

#include "lycheelanding/core/clock.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

/// Threads, timers and signals of a process.
///
/// Lock order: every shared table of the daemon has one mutex of its own, and no code holds two of them at a time;
/// handlers are called without any lock.
namespace lycheelanding::daemon::runtime {

/// The threads that run all of a process's work.
class WorkerPool
{
public:
    explicit WorkerPool(std::size_t threads);

    /// Runs until stop(); the calling thread is one of the workers.
    void run();
    void stop();

    asio::io_context &context() { return m_context; }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::size_t m_threads;
};

/// Calls a handler at a fixed interval on the pool until it is destroyed.
class RepeatingTimer
{
public:
    RepeatingTimer(asio::io_context &context, std::chrono::milliseconds interval, std::function<void()> handler);
    ~RepeatingTimer();
    RepeatingTimer(const RepeatingTimer &) = delete;
    RepeatingTimer &operator=(const RepeatingTimer &) = delete;

    /// Holds from the next call of the handler on. May be called by the handler.
    void setInterval(std::chrono::milliseconds interval);

private:
    struct State;
    static void schedule(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
};

} // namespace lycheelanding::daemon::runtime
