#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace lycheelanding::forwarding {

/// A request that can wait for a backend server.
template <typename Type>
concept WaitingRequest = requires(Type &request, const Type &constant)
{
    {
        request.trySend()
        } -> std::same_as<bool>;
    request.onWaitTimeout();
    {
        constant.isFinished()
        } -> std::same_as<bool>;
    {
        constant.waitDeadline()
        } -> std::same_as<core::TimePoint>;
    {
        constant.service()
        } -> std::same_as<const core::ServiceId &>;
    {
        constant.priority()
        } -> std::same_as<std::uint32_t>;
    {
        constant.isLate(core::TimePoint())
        } -> std::same_as<bool>;
};

/// Requests for which no backend server has a place, by service and priority. Among equals, those that can still be
/// answered in time go first, in the order of their arrival, and then the late ones: a late answer loses nothing by
/// coming later, while behind a backlog every further one would be late as well. Used on one thread.
template <typename Request>
class WaitingRequests
{
public:
    void add(std::shared_ptr<Request> request)
    {
        static_assert(WaitingRequest<Request>);
        if (m_isAdvancing) {
            m_added.push_back(std::move(request));
            return;
        }
        m_queues[{request->service(), request->priority()}].push_back(std::move(request));
    }

    /// Whether a request of the service with this or a more urgent priority waits that is not late.
    bool hasWaiting(const core::ServiceId &service, std::uint32_t priority, core::TimePoint now) const
    {
        if (m_isAdvancing) {
            return false;
        }
        for (auto at = m_queues.lower_bound({service, 0});
             at != m_queues.end() && at->first.first == service && at->first.second <= priority; ++at) {
            // The last one has waited the shortest time.
            if (!at->second.empty() && !at->second.back()->isLate(now)) {
                return true;
            }
        }
        return false;
    }

    /// Gives up those that have waited for as long as they may, and sends those for which there is a place now. A
    /// request that ends meanwhile may call this again: that has no effect.
    void advance(core::TimePoint now)
    {
        if (std::exchange(m_isAdvancing, true)) {
            return;
        }
        std::set<core::ServiceId> saturatedServices;
        for (auto &[key, queue] : m_queues) {
            removeFinished(queue, now);
            if (!saturatedServices.contains(key.first) && !sendAll(queue, now)) {
                saturatedServices.insert(key.first);
            }
        }
        std::erase_if(m_queues, [](const auto &entry) { return entry.second.empty(); });
        m_isAdvancing = false;
        while (!m_added.empty()) {
            add(std::move(m_added.front()));
            m_added.pop_front();
        }
    }

    std::size_t size() const
    {
        std::size_t count = 0;
        for (const auto &[key, queue] : m_queues) {
            count += queue.size();
        }
        return count;
    }

private:
    using Queue = std::deque<std::shared_ptr<Request>>;

    /// False once there is no place; what is left waits on.
    static bool sendAll(Queue &queue, core::TimePoint now)
    {
        const auto firstInTime
            = std::find_if(queue.begin(), queue.end(), [now](const auto &request) { return !request->isLate(now); });
        std::rotate(queue.begin(), firstInTime, queue.end());
        const auto inTimeCount = static_cast<std::size_t>(std::distance(firstInTime, queue.end()));
        std::size_t sent = 0;
        while (sent < queue.size() && queue[sent]->trySend()) {
            ++sent;
        }
        const bool hasCapacity = sent == queue.size();
        // Back into the order of arrival, without those that were sent.
        const auto inTimeLeft = static_cast<std::ptrdiff_t>(inTimeCount - std::min(inTimeCount, sent));
        queue.erase(queue.begin(), queue.begin() + static_cast<std::ptrdiff_t>(sent));
        std::rotate(queue.begin(), queue.begin() + inTimeLeft, queue.end());
        return hasCapacity;
    }

    static void removeFinished(Queue &queue, core::TimePoint now)
    {
        Queue kept;
        for (auto &request : queue) {
            if (request->isFinished()) {
                continue;
            }
            if (now >= request->waitDeadline()) {
                request->onWaitTimeout();
            } else {
                kept.push_back(std::move(request));
            }
        }
        queue = std::move(kept);
    }

    std::map<std::pair<core::ServiceId, std::uint32_t>, Queue> m_queues;
    /// Added while the queues were being advanced.
    Queue m_added;
    bool m_isAdvancing = false;
};

} // namespace lycheelanding::forwarding
