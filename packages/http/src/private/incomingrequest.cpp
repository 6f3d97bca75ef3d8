#include "private/incomingrequest.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::http {

namespace {

/// Memory is drawn in these steps, so that the account is not asked for each read: the first for fields and small
/// bodies, the second for chunked bodies above it.
constexpr std::size_t smallStepBytes = 4UL * 1024;
constexpr std::size_t largeStepBytes = 64UL * 1024;
/// Names and values of the fields are strings of their own, which take about as much again.
constexpr std::size_t headFactor = 2;

} // namespace

std::size_t IncomingRequest::neededBytes(std::size_t headBytes, std::size_t pendingBytes) const
{
    const std::size_t bodyBytes = m_announcedBytes ? *m_announcedBytes : m_request.body.size();
    const std::size_t step = m_announcedBytes || bodyBytes < largeStepBytes ? smallStepBytes : largeStepBytes;
    const std::size_t bytes = headFactor * headBytes + pendingBytes + bodyBytes + step;
    return (bytes + step - 1) / step * step;
}

IncomingRequest::Reservation IncomingRequest::reserve(std::size_t headBytes, std::size_t pendingBytes,
                                                      std::function<void()> onDrawn)
{
    const std::size_t needed = neededBytes(headBytes, pendingBytes);
    if (needed <= m_memory.drawnBytes() || m_memory.draw(needed - m_memory.drawnBytes())) {
        return Reservation::Granted;
    }
    return m_memory.waitForRoom(needed - m_memory.drawnBytes(), std::move(onDrawn)) ? Reservation::Waiting
                                                                                    : Reservation::Refused;
}

void IncomingRequest::setHead(std::string method, std::string target, HttpHeaders headers,
                              std::optional<std::uint64_t> announcedBytes)
{
    m_request = {std::move(method), std::move(target), std::move(headers), {}};
    m_announcedBytes = announcedBytes;
}

void IncomingRequest::append(std::string_view bytes, std::size_t maxBodyBytes)
{
    auto &body = m_request.body;
    const std::size_t size = body.size() + bytes.size();
    if (size > body.capacity()) {
        // A string that grows is copied and occupies up to three times its size meanwhile. Reserved pages that are not
        // written to occupy nothing.
        body.reserve(m_announcedBytes ? *m_announcedBytes : (size > largeStepBytes ? maxBodyBytes : 0));
    }
    body.append(bytes);
}

HttpRequest IncomingRequest::takeRequest()
{
    m_announcedBytes.reset();
    return std::exchange(m_request, {});
}

MemoryHold IncomingRequest::takeHold()
{
    m_memory.setClosable(false);
    return std::exchange(m_memory, {});
}

void IncomingRequest::clear()
{
    takeRequest();
    m_memory = MemoryHold();
}

} // namespace lycheelanding::http
