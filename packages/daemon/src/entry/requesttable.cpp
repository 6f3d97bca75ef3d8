#include "entry/requesttable.h"

#include "entry/forwardedrequest.h"

#include <algorithm>
#include <vector>

namespace lycheelanding::daemon::entry {

RequestTable::RequestTable(core::Incarnation incarnation) : m_incarnation(incarnation) { }

wire::RequestKey RequestTable::add(const std::shared_ptr<ForwardedRequest> &request,
                                   const wire::PeerConnectionPointer &link)
{
    const std::scoped_lock lock(m_mutex);
    m_lastNumber = m_lastNumber.next();
    m_attempts.emplace(m_lastNumber, Attempt{request, link});
    return {m_incarnation, m_lastNumber};
}

void RequestTable::remove(const wire::RequestKey &key)
{
    const std::scoped_lock lock(m_mutex);
    m_attempts.erase(key.number);
}

std::shared_ptr<ForwardedRequest> RequestTable::find(const wire::PeerConnectionPointer &link,
                                                     const wire::RequestKey &key) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_attempts.find(key.number);
    if (key.entryIncarnation != m_incarnation || found == m_attempts.end() || found->second.link != link) {
        return nullptr;
    }
    return found->second.request;
}

template <typename Message>
void RequestTable::dispatchAs(const wire::PeerConnectionPointer &link, const wire::Frame &frame)
{
    const auto message = wire::messageOf<Message>(frame);
    if (!core::isOk(message)) {
        link->closeWith(core::errorOf(message));
        return;
    }
    if (const auto request = find(link, core::valueOf(message).key)) {
        request->receive(core::valueOf(message));
    }
}

void RequestTable::dispatch(const wire::PeerConnectionPointer &link, const wire::Frame &frame)
{
    switch (frame.type) {
    case wire::MessageType::RequestRefused:
        dispatchAs<wire::RequestRefused>(link, frame);
        break;
    case wire::MessageType::AnswerHead:
        dispatchAs<wire::AnswerHead>(link, frame);
        break;
    case wire::MessageType::AnswerChunk:
        dispatchAs<wire::AnswerChunk>(link, frame);
        break;
    case wire::MessageType::AnswerEnd:
        dispatchAs<wire::AnswerEnd>(link, frame);
        break;
    default:
        break;
    }
}

void RequestTable::linkLost(const wire::PeerConnectionPointer &link, const core::Error &error)
{
    std::map<core::RequestNumber, Attempt> lost;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[number, attempt] : m_attempts) {
            if (attempt.link == link) {
                lost.emplace(number, attempt);
            }
        }
    }
    for (const auto &[number, attempt] : lost) {
        attempt.request->receiveLinkLost({m_incarnation, number}, error);
    }
}

bool RequestTable::isInUse(const wire::PeerConnectionPointer &link) const
{
    const std::scoped_lock lock(m_mutex);
    return std::any_of(m_attempts.begin(), m_attempts.end(),
                       [&link](const auto &item) { return item.second.link == link; });
}

std::size_t RequestTable::size() const
{
    const std::scoped_lock lock(m_mutex);
    return m_attempts.size();
}

} // namespace lycheelanding::daemon::entry
