#pragma once

#include "lycheelanding/decisions/admission/memoryaccount.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace lycheelanding::http {

using decisions::admission::MemoryHolder;

/// The memory account of a process, shared by its servers. Thread-safe; handlers are called without its lock held and
/// must only post work.
class CallerMemory
{
public:
    explicit CallerMemory(const decisions::admission::MemoryAccountSettings &settings);

    MemoryHolder add(std::function<void()> onClose);
    void remove(MemoryHolder holder);
    bool draw(MemoryHolder holder, std::size_t bytes);
    void drawExisting(MemoryHolder holder, std::size_t bytes);
    void release(MemoryHolder holder, std::size_t bytes);
    void progressed(MemoryHolder holder);
    void setClosable(MemoryHolder holder, bool isClosable);
    /// Calls `onDrawn` once the holder has drawn `bytes`, unless it is removed before. False if so many connections
    /// wait already that the kernel's buffers of another one are not in the account.
    bool waitForRoom(MemoryHolder holder, std::size_t bytes, std::function<void()> onDrawn);
    /// Closes holders without progress for the connections that wait; to be called while one waits.
    void reclaim();

    std::size_t heldBytes() const;
    std::size_t limitBytes() const { return m_limitBytes; }
    std::size_t waitingConnections() const;
    /// Connections that were closed to free memory.
    std::uint64_t closedConnections() const { return m_closedConnections; }
    /// Requests that were refused because no memory became free in time.
    std::uint64_t refusedRequests() const { return m_refusedRequests; }
    void requestRefused() { ++m_refusedRequests; }
    /// Connections without a request in progress that were closed so that others could be accepted.
    std::uint64_t replacedConnections() const { return m_replacedConnections; }
    void connectionReplaced() { ++m_replacedConnections; }

private:
    using Handlers = std::vector<std::function<void()>>;

    struct Waiting
    {
        MemoryHolder holder;
        std::size_t bytes;
        std::function<void()> onDrawn;
    };

    /// The queue in which the holder waits for `bytes`.
    std::deque<Waiting> &waitingWith(MemoryHolder holder, std::size_t bytes);
    // Called with the lock held; return the handlers that the caller runs afterwards.
    Handlers closeFor(MemoryHolder holder, std::size_t bytes);
    Handlers drawForWaiting();
    static void run(const Handlers &handlers);

    const std::size_t m_maxWaiting;
    const std::size_t m_limitBytes;
    mutable std::mutex m_mutex;
    decisions::admission::MemoryAccount m_account;
    std::map<MemoryHolder, std::function<void()>> m_onClose;
    /// In the order of arrival. Small ones have their own queue, as they need not wait for room for a large one. A
    /// holder is small by what it will hold: the steps of a large chunked body are small.
    std::deque<Waiting> m_smallWaiting;
    std::deque<Waiting> m_largeWaiting;
    std::atomic<std::uint64_t> m_closedConnections = 0;
    std::atomic<std::uint64_t> m_refusedRequests = 0;
    std::atomic<std::uint64_t> m_replacedConnections = 0;
};

using CallerMemoryPointer = std::shared_ptr<CallerMemory>;

/// What one request, or the answers on one connection, hold in an account. Without an account every draw succeeds.
class MemoryHold
{
public:
    MemoryHold() = default;
    MemoryHold(CallerMemoryPointer memory, std::function<void()> onClose);
    MemoryHold(MemoryHold &&other) noexcept;
    MemoryHold &operator=(MemoryHold &&other) noexcept;
    ~MemoryHold();

    bool draw(std::size_t bytes);
    void drawExisting(std::size_t bytes);
    void release(std::size_t bytes);
    /// The caller has sent or accepted bytes. Very few bytes count as no progress.
    void progressed(std::size_t bytes);
    /// Reports progress of any size, for example when an answer starts.
    void restartProgress();
    void setClosable(bool isClosable);
    bool waitForRoom(std::size_t bytes, std::function<void()> onDrawn);
    bool isSet() const { return m_memory != nullptr; }
    std::size_t drawnBytes() const { return m_drawnBytes; }

private:
    CallerMemoryPointer m_memory;
    MemoryHolder m_holder{};
    std::size_t m_drawnBytes = 0;
    std::size_t m_progressBytes = 0;
};

} // namespace lycheelanding::http
