#include "lycheelanding/http/callermemory.h"

#include "private/serversocketoptions.h"

#include <chrono>
#include <iterator>
#include <utility>

namespace lycheelanding::http {

namespace {

/// A caller that sends less than this within the account's time of inactivity makes no progress: single bytes would
/// keep a large body in memory for minutes.
constexpr std::size_t minProgressBytes = 16UL * 1024;

core::TimePoint now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

CallerMemory::CallerMemory(const decisions::admission::MemoryAccountSettings &settings)
    : m_maxWaiting(settings.shares.unreadBytes / kernelBufferBytes),
      m_limitBytes(settings.shares.smallBytes + settings.shares.largeBytes), m_account(settings)
{ }

MemoryHolder CallerMemory::add(std::function<void()> onClose)
{
    const std::lock_guard lock(m_mutex);
    const auto holder = m_account.add(now());
    m_onClose.emplace(holder, std::move(onClose));
    return holder;
}

void CallerMemory::remove(MemoryHolder holder)
{
    Handlers handlers;
    {
        const std::lock_guard lock(m_mutex);
        m_account.remove(holder);
        m_onClose.erase(holder);
        const auto isOfHolder = [holder](const Waiting &each) { return each.holder == holder; };
        std::erase_if(m_smallWaiting, isOfHolder);
        std::erase_if(m_largeWaiting, isOfHolder);
        handlers = drawForWaiting();
    }
    run(handlers);
}

bool CallerMemory::draw(MemoryHolder holder, std::size_t bytes)
{
    Handlers handlers;
    bool isDrawn = false;
    {
        const std::lock_guard lock(m_mutex);
        // Later requests do not overtake those that wait.
        isDrawn = waitingWith(holder, bytes).empty() && m_account.draw(holder, bytes);
        if (!isDrawn) {
            handlers = closeFor(holder, bytes);
        }
    }
    run(handlers);
    return isDrawn;
}

void CallerMemory::drawExisting(MemoryHolder holder, std::size_t bytes)
{
    Handlers handlers;
    {
        const std::lock_guard lock(m_mutex);
        m_account.drawExisting(holder, bytes);
        handlers = closeFor(holder, 0);
    }
    run(handlers);
}

void CallerMemory::release(MemoryHolder holder, std::size_t bytes)
{
    Handlers handlers;
    {
        const std::lock_guard lock(m_mutex);
        m_account.release(holder, bytes);
        handlers = drawForWaiting();
    }
    run(handlers);
}

void CallerMemory::progressed(MemoryHolder holder)
{
    const std::lock_guard lock(m_mutex);
    m_account.progressed(holder, now());
}

void CallerMemory::setClosable(MemoryHolder holder, bool isClosable)
{
    const std::lock_guard lock(m_mutex);
    m_account.setClosable(holder, isClosable);
}

bool CallerMemory::waitForRoom(MemoryHolder holder, std::size_t bytes, std::function<void()> onDrawn)
{
    const std::lock_guard lock(m_mutex);
    if (m_smallWaiting.size() + m_largeWaiting.size() >= m_maxWaiting) {
        return false;
    }
    waitingWith(holder, bytes).push_back({holder, bytes, std::move(onDrawn)});
    return true;
}

void CallerMemory::reclaim()
{
    Handlers handlers;
    {
        const std::lock_guard lock(m_mutex);
        handlers = drawForWaiting();
        for (const auto *waiting : {&m_smallWaiting, &m_largeWaiting}) {
            if (!waiting->empty()) {
                auto more = closeFor(waiting->front().holder, waiting->front().bytes);
                std::move(more.begin(), more.end(), std::back_inserter(handlers));
            }
        }
    }
    run(handlers);
}

std::deque<CallerMemory::Waiting> &CallerMemory::waitingWith(MemoryHolder holder, std::size_t bytes)
{
    return m_account.isSmall(m_account.heldBytes(holder) + bytes) ? m_smallWaiting : m_largeWaiting;
}

CallerMemory::Handlers CallerMemory::closeFor(MemoryHolder holder, std::size_t bytes)
{
    Handlers handlers;
    for (const auto each : m_account.holdersToClose(bytes, now(), m_account.heldBytes(holder))) {
        ++m_closedConnections;
        handlers.push_back(m_onClose.at(each));
    }
    return handlers;
}

CallerMemory::Handlers CallerMemory::drawForWaiting()
{
    Handlers handlers;
    for (auto *waiting : {&m_smallWaiting, &m_largeWaiting}) {
        while (!waiting->empty() && m_account.draw(waiting->front().holder, waiting->front().bytes)) {
            m_account.progressed(waiting->front().holder, now());
            handlers.push_back(std::move(waiting->front().onDrawn));
            waiting->pop_front();
        }
    }
    return handlers;
}

void CallerMemory::run(const Handlers &handlers)
{
    for (const auto &handler : handlers) {
        handler();
    }
}

std::size_t CallerMemory::heldBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_account.heldBytes();
}

std::size_t CallerMemory::waitingConnections() const
{
    const std::lock_guard lock(m_mutex);
    return m_smallWaiting.size() + m_largeWaiting.size();
}

MemoryHold::MemoryHold(CallerMemoryPointer memory, std::function<void()> onClose) : m_memory(std::move(memory))
{
    if (m_memory) {
        m_holder = m_memory->add(std::move(onClose));
    }
}

MemoryHold::MemoryHold(MemoryHold &&other) noexcept
{
    *this = std::move(other);
}

MemoryHold &MemoryHold::operator=(MemoryHold &&other) noexcept
{
    std::swap(m_memory, other.m_memory);
    std::swap(m_holder, other.m_holder);
    std::swap(m_drawnBytes, other.m_drawnBytes);
    std::swap(m_progressBytes, other.m_progressBytes);
    return *this;
}

MemoryHold::~MemoryHold()
{
    if (m_memory) {
        m_memory->remove(m_holder);
    }
}

bool MemoryHold::draw(std::size_t bytes)
{
    if (m_memory && !m_memory->draw(m_holder, bytes)) {
        return false;
    }
    m_drawnBytes += bytes;
    return true;
}

void MemoryHold::drawExisting(std::size_t bytes)
{
    if (m_memory) {
        m_memory->drawExisting(m_holder, bytes);
    }
    m_drawnBytes += bytes;
}

void MemoryHold::release(std::size_t bytes)
{
    if (m_memory) {
        m_memory->release(m_holder, bytes);
    }
    m_drawnBytes -= bytes;
}

void MemoryHold::progressed(std::size_t bytes)
{
    m_progressBytes += bytes;
    if (m_progressBytes >= minProgressBytes) {
        restartProgress();
    }
}

void MemoryHold::restartProgress()
{
    m_progressBytes = 0;
    if (m_memory) {
        m_memory->progressed(m_holder);
    }
}

void MemoryHold::setClosable(bool isClosable)
{
    if (m_memory) {
        m_memory->setClosable(m_holder, isClosable);
    }
}

bool MemoryHold::waitForRoom(std::size_t bytes, std::function<void()> onDrawn)
{
    if (!m_memory->waitForRoom(m_holder, bytes, std::move(onDrawn))) {
        return false;
    }
    m_drawnBytes += bytes;
    return true;
}

} // namespace lycheelanding::http
