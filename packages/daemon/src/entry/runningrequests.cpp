#include "entry/runningrequests.h"

namespace lycheelanding::daemon::entry {

void RunningRequests::add(const ForwardedRequestPointer &request)
{
    const std::scoped_lock lock(m_mutex);
    m_requests.emplace(request.get(), request);
}

void RunningRequests::remove(const ForwardedRequest *request)
{
    const std::scoped_lock lock(m_mutex);
    m_requests.erase(request);
}

std::vector<ForwardedRequestPointer> RunningRequests::all() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<ForwardedRequestPointer> requests;
    for (const auto &[key, weak] : m_requests) {
        if (auto request = weak.lock()) {
            requests.push_back(std::move(request));
        }
    }
    return requests;
}

} // namespace lycheelanding::daemon::entry
