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
/// Locking: each shared object of the daemon has its own mutex. Code that holds one of these mutexes locks no other one
/// and calls no handler, with two exceptions: shared::ConfigurationTable calls its observers under a mutex, see its
/// lock order, and side::group::GroupParticipation starts, updates and stops its GroupMember and GroupCoordinator,
/// which have locks of their own, under its mutex.
namespace lycheelanding::daemon::runtime {

/// The threads that run all handlers of a process.
class WorkerPool
{
public:
    explicit WorkerPool(std::size_t threads);

    /// Runs handlers until stop(). The calling thread is one of the workers.
    void run();
    void stop();

    asio::io_context &context() { return m_context; }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::size_t m_threads;
};

/// Calls a handler on a worker thread, each time an interval after the previous call has returned, until the timer is
/// destroyed.
class RepeatingTimer
{
public:
    RepeatingTimer(asio::io_context &context, std::chrono::milliseconds interval, std::function<void()> handler);
    ~RepeatingTimer();
    RepeatingTimer(const RepeatingTimer &) = delete;
    RepeatingTimer &operator=(const RepeatingTimer &) = delete;

    /// Takes effect after the next call of the handler, or after the current one if the handler calls this.
    void setInterval(std::chrono::milliseconds interval);

private:
    struct State;
    static void schedule(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
};

} // namespace lycheelanding::daemon::runtime
