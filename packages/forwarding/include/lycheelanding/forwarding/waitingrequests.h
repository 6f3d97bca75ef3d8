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

/// A request that can wait for a backend server with capacity.
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

/// Queues of requests for which no backend server has capacity, by service and priority. Within a queue, requests that
/// can still meet their target latency are sent first, in order of arrival, and then the late ones: further delay does
/// not make a late answer worse, but behind a backlog of late requests every new one would become late too. Used on one
/// thread.
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

    /// Services whose queues guarantee each priority a small part of the places.
    void setGuaranteedServices(std::set<core::ServiceId> services) { m_guaranteedServices = std::move(services); }

    /// Whether a request of the service is waiting that is not late and has this or a more urgent priority.
    bool hasWaiting(const core::ServiceId &service, std::uint32_t priority, core::TimePoint now) const
    {
        if (m_isAdvancing) {
            return false;
        }
        for (auto at = m_queues.lower_bound({service, 0});
             at != m_queues.end() && at->first.first == service && at->first.second <= priority; ++at) {
            // The last request of a queue arrived last, so it becomes late last.
            if (!at->second.empty() && !at->second.back()->isLate(now)) {
                return true;
            }
        }
        return false;
    }

    /// Gives up requests whose wait deadline has passed and sends those for which there is capacity now. A nested call,
    /// from a request that finishes meanwhile, has no effect.
    void advance(core::TimePoint now)
    {
        if (std::exchange(m_isAdvancing, true)) {
            return;
        }
        std::set<core::ServiceId> saturatedServices;
        sendGuaranteedShares(now);
        for (auto &[key, queue] : m_queues) {
            removeFinished(queue, now);
            if (!saturatedServices.contains(key.first) && !sendAll(key.first, queue, now)) {
                saturatedServices.insert(key.first);
            }
        }
        std::erase_if(m_queues, [](const auto &item) { return item.second.empty(); });
        m_isAdvancing = false;
        while (!m_added.empty()) {
            add(std::move(m_added.front()));
            m_added.pop_front();
        }
    }

    /// Requests of the service that wait.
    std::size_t count(const core::ServiceId &service) const
    {
        std::size_t count = 0;
        for (auto at = m_queues.lower_bound({service, 0}); at != m_queues.end() && at->first.first == service; ++at) {
            count += at->second.size();
        }
        return count;
    }

    /// Those that have this or a more urgent priority.
    std::size_t count(const core::ServiceId &service, std::uint32_t priority) const
    {
        std::size_t count = 0;
        for (auto at = m_queues.lower_bound({service, 0});
             at != m_queues.end() && at->first.first == service && at->first.second <= priority; ++at) {
            count += at->second.size();
        }
        return count;
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

    /// Of the places that a service gets while it has a queue, one in this many goes to a less urgent request than the
    /// order of priorities demands, so that no priority gets none.
    static constexpr std::size_t guaranteedShare = 8;

    /// Sends requests until there is no capacity; returns false if some remain in the queue.
    bool sendAll(const core::ServiceId &service, Queue &queue, core::TimePoint now)
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
        m_sentByService[service] += sent;
        // Removes the sent requests and restores the order of arrival.
        const auto inTimeLeft = static_cast<std::ptrdiff_t>(inTimeCount - std::min(inTimeCount, sent));
        queue.erase(queue.begin(), queue.begin() + static_cast<std::ptrdiff_t>(sent));
        std::rotate(queue.begin(), queue.begin() + inTimeLeft, queue.end());
        return hasCapacity;
    }

    /// Sends one request of a less urgent queue for each guaranteed service whose more urgent ones have had their
    /// places.
    void sendGuaranteedShares(core::TimePoint now)
    {
        std::erase_if(m_sentByService, [this](const auto &item) { return this->count(item.first) == 0; });
        for (auto &[service, sent] : m_sentByService) {
            if (sent < guaranteedShare || !m_guaranteedServices.contains(service)) {
                continue;
            }
            const auto isOfService
                = [this, &name = service](auto at) { return at != this->m_queues.end() && at->first.first == name; };
            auto &lastServed = m_lastGuaranteed[service];
            auto at = m_queues.upper_bound({service, lastServed});
            if (!isOfService(at)) {
                at = std::next(m_queues.lower_bound({service, 0}));
            }
            if (!isOfService(at)) {
                continue;
            }
            lastServed = at->first.second;
            auto &queue = at->second;
            const auto inTime = std::find_if(queue.begin(), queue.end(), [now](const auto &request) {
                return !request->isFinished() && !request->isLate(now);
            });
            if (inTime != queue.end() && (*inTime)->trySend()) {
                queue.erase(inTime);
                sent = 0;
            }
        }
    }

    static void removeFinished(Queue &queue, core::TimePoint now)
    {
        Queue remaining;
        for (auto &request : queue) {
            if (request->isFinished()) {
                continue;
            }
            if (now >= request->waitDeadline()) {
                request->onWaitTimeout();
            } else {
                remaining.push_back(std::move(request));
            }
        }
        queue = std::move(remaining);
    }

    std::map<std::pair<core::ServiceId, std::uint32_t>, Queue> m_queues;
    std::set<core::ServiceId> m_guaranteedServices;
    /// Requests sent from the queues of a service since a less urgent one was preferred.
    std::map<core::ServiceId, std::size_t> m_sentByService;
    /// Priority of the queue that was preferred last.
    std::map<core::ServiceId, std::uint32_t> m_lastGuaranteed;
    /// Requests added during advance().
    Queue m_added;
    bool m_isAdvancing = false;
};

} // namespace lycheelanding::forwarding
