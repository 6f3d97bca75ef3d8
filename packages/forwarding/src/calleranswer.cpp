#include "lycheelanding/forwarding/calleranswer.h"

#include "lycheelanding/http/eventstreamscanner.h"

#include <cstddef>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

/// An answer up to this size is held back until it is complete.
constexpr std::size_t maxHeldBytes = 64UL * 1024;
/// Unsent bytes for a slow caller above which the answer is aborted.
constexpr std::size_t maxUnsentBytes = 256UL * 1024;
/// The same where an account bounds the memory. The kernel's buffers are small there: without, they take up to 4 MB of
/// an answer that arrives faster than its caller can read.
constexpr std::size_t maxAccountedUnsentBytes = 4UL * 1024 * 1024;
/// Bytes of a stream without a new event: another backend server may begin it anew.
constexpr std::size_t maxRepeatedBytes = 1024UL * 1024;
constexpr int firstRedirect = 300;

} // namespace

void CallerAnswer::setStream(bool isResumable)
{
    m_isStream = true;
    if (isResumable) {
        m_events.emplace();
    }
}

void CallerAnswer::restart()
{
    m_held.clear();
    if (m_events) {
        m_events->restart();
    }
}

bool CallerAnswer::isResumableStream(const http::AnswerHead &head) const
{
    return m_events && head.status < firstRedirect && !head.bodyBytes;
}

bool CallerAnswer::canContinueWith(const http::AnswerHead &head) const
{
    if (!m_hasBegun) {
        return true;
    }
    const bool isOtherContent = head.headers.find("Content-Type") && !http::isEventStream(head.headers);
    return isResumableStream(head) && head.status == m_status && !isOtherContent;
}

bool CallerAnswer::append(const http::AnswerHead &head, std::string_view bytes)
{
    if (isResumableStream(head)) {
        const auto eventsBefore = m_events->newEventCount();
        sendToCaller(head, m_events->parse(bytes));
        return m_events->newEventCount() != eventsBefore;
    }
    const bool isForwardedNow
        = m_hasBegun || (m_isStream && head.status < firstRedirect) || m_held.size() + bytes.size() > maxHeldBytes;
    if (isForwardedNow) {
        sendToCaller(head, bytes);
    } else {
        m_held.append(bytes);
    }
    return true;
}

bool CallerAnswer::isRepeatingItself() const
{
    return m_events && m_events->bytesSinceNewEvent() > maxRepeatedBytes;
}

bool CallerAnswer::hold(std::string_view bytes)
{
    if (m_held.size() + bytes.size() > maxHeldBytes) {
        return false;
    }
    m_held.append(bytes);
    return true;
}

void CallerAnswer::sendToCaller(const http::AnswerHead &head, std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    if (!std::exchange(m_hasBegun, true)) {
        m_status = head.status;
        if (head.bodyBytes) {
            m_exchange->startWithContentLength(head.status, head.headers, *head.bodyBytes);
        } else {
            m_exchange->startStream(head.status, head.headers);
        }
        if (!m_held.empty()) {
            m_exchange->sendChunk(std::exchange(m_held, {}));
        }
    }
    m_exchange->sendChunk(std::string(bytes));
}

void CallerAnswer::finish(const http::AnswerHead &head)
{
    if (isResumableStream(head)) {
        sendToCaller(head, m_events->flush());
    }
    if (m_hasBegun) {
        m_exchange->finish();
    } else {
        m_exchange->respond({head.status, head.headers, std::exchange(m_held, {})});
    }
}

bool CallerAnswer::isCallerTooSlow() const
{
    return m_exchange->unsentBytes() > (m_exchange->hasMemoryAccount() ? maxAccountedUnsentBytes : maxUnsentBytes);
}

} // namespace lycheelanding::forwarding
