#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <deque>
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
        request.tryAgain()
        } -> std::same_as<bool>;
    request.stopWaiting();
    {
        constant.isOver()
        } -> std::same_as<bool>;
    {
        constant.waitsUntil()
        } -> std::same_as<core::TimePoint>;
    {
        constant.service()
        } -> std::same_as<const core::ServiceId &>;
    {
        constant.priority()
        } -> std::same_as<std::uint32_t>;
};

/// Requests for which no backend server has a place, by service and priority, in the order of their arrival. Used on
/// one thread.
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

    /// Whether a request of the service with this or a more urgent priority waits.
    bool hasWaiting(const core::ServiceId &service, std::uint32_t priority) const
    {
        const auto first = m_queues.lower_bound({service, 0});
        return !m_isAdvancing && first != m_queues.end() && first->first.first == service
            && first->first.second <= priority;
    }

    /// Gives up those that have waited for as long as they may, and sends those for which there is a place now. A
    /// request that ends meanwhile may call this again: that has no effect.
    void advance(core::TimePoint now)
    {
        if (std::exchange(m_isAdvancing, true)) {
            return;
        }
        std::set<core::ServiceId> fullServices;
        for (auto &[key, queue] : m_queues) {
            dropOver(queue, now);
            while (!queue.empty() && !fullServices.contains(key.first)) {
                if (!queue.front()->tryAgain()) {
                    fullServices.insert(key.first);
                    break;
                }
                queue.pop_front();
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

    static void dropOver(Queue &queue, core::TimePoint now)
    {
        Queue kept;
        for (auto &request : queue) {
            if (request->isOver()) {
                continue;
            }
            if (now >= request->waitsUntil()) {
                request->stopWaiting();
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
