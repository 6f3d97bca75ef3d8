// The limits on a caller's connection: the memory that it may draw and its timeouts.

#include "private/serverconnection.h"

#include <chrono>
#include <utility>

namespace lycheelanding::http {

namespace {

/// How long the server discards input after its last answer before it closes the connection. Closing a socket with
/// unread bytes resets the connection, and the caller could lose the refusal.
constexpr std::chrono::seconds lingeringCloseTimeout{1};

/// With an account, a body may arrive slowly for this long: longer than callers wait for an answer.
constexpr std::chrono::seconds maxBodyTime{30};

/// A connection is not closed for another one within this time of its last byte: a request that is being sent has gaps
/// of some round trips at most.
constexpr std::chrono::milliseconds minInactivity{200};
/// The same for an answer that the caller does not accept. A packet that is lost twice is retransmitted within it.
constexpr std::chrono::milliseconds minWriteInactivity{1000};

} // namespace

MemoryHold ServerConnection::newHold(void (ServerConnection::*onClose)())
{
    MemoryHold hold(m_connections->settings().memory, [weak = weak_from_this(), onClose] {
        if (const auto self = weak.lock()) {
            self->post([self, onClose] { (self.get()->*onClose)(); });
        }
    });
    hold.setClosable(true);
    return hold;
}

bool ServerConnection::reserveMemory()
{
    const bool isInMessage = m_parser.isInMessage();
    if (!m_connections->settings().memory || m_isClosing || (!isInMessage && m_pending.empty())) {
        return true;
    }
    if (!m_incoming.hasHold()) {
        m_incoming.setHold(newHold(&ServerConnection::closeIncomingForMemory));
    }
    const auto onDrawn = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->post([self] { self->onMemoryDrawn(); });
        }
    };
    const auto reservation = m_incoming.reserve(isInMessage ? m_parser.headBytes() : 0, m_pending.size(), onDrawn);
    if (reservation == IncomingRequest::Reservation::Waiting) {
        m_selfWhileWaiting = shared_from_this();
        m_waitStart = std::chrono::steady_clock::now();
    } else if (reservation == IncomingRequest::Reservation::Refused && !m_current) {
        refuseForMemory();
    }
    return reservation == IncomingRequest::Reservation::Granted;
}

void ServerConnection::onMemoryDrawn()
{
    if (std::exchange(m_selfWhileWaiting, nullptr)) {
        m_lastActivity = std::chrono::steady_clock::now();
        m_lastRead = m_lastActivity;
        read();
    }
}

void ServerConnection::refuseForMemory()
{
    m_connections->settings().memory->requestRefused();
    refuse(core::ErrorKind::Overloaded);
}

void ServerConnection::closeIncomingForMemory()
{
    // The request may have been completed meanwhile.
    if (!m_isClosed && !m_isClosing && m_incoming.hasHold()) {
        refuse(core::ErrorKind::Overloaded);
    }
}

void ServerConnection::recordActivity()
{
    const auto now = std::chrono::steady_clock::now();
    m_closableFrom = m_isWriting ? now + minWriteInactivity : (m_current ? TimePoint::max() : now + minInactivity);
}

std::optional<std::chrono::steady_clock::time_point> ServerConnection::inactiveSince() const
{
    const auto closableFrom = m_closableFrom.load();
    return closableFrom > std::chrono::steady_clock::now() ? std::nullopt : std::optional(closableFrom);
}

void ServerConnection::closeIfIdle()
{
    if (!m_current && m_requests.empty() && m_output.empty() && !m_parser.isInMessage() && m_pending.empty()) {
        close();
    }
}

void ServerConnection::closeIfInactive()
{
    if (inactiveSince()) {
        close();
    }
}

void ServerConnection::checkTimeouts()
{
    if (m_isClosed) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (m_isWriting) {
        if (now - m_writeStart > m_connections->settings().writeTimeout) {
            close();
        }
        return;
    }
    if (isWaitingForMemory()) {
        m_connections->settings().memory->reclaim();
        if (!m_current && isWaitingForMemory() && now - m_waitStart > m_connections->readTimeout()) {
            refuseForMemory();
        }
        return;
    }
    if (m_current) {
        return;
    }
    if (m_connections->settings().memory && m_parser.isInMessage() && !m_parser.isInHead()) {
        if (now - m_lastRead > m_connections->readTimeout() || now - m_lastActivity > maxBodyTime) {
            close();
        }
        return;
    }
    const bool isReadingRequest = m_parser.isInMessage();
    const auto timeout = m_isClosing ? std::chrono::milliseconds(lingeringCloseTimeout)
                                     : (isReadingRequest ? m_connections->readTimeout() : m_connections->idleTimeout());
    if (now - m_lastActivity > timeout) {
        close();
    }
}

} // namespace lycheelanding::http
