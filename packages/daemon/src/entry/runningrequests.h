#pragma once

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace lycheelanding::daemon::entry {

class ForwardedRequest;
using ForwardedRequestPointer = std::shared_ptr<ForwardedRequest>;

/// The requests of this entry that have not ended. Thread-safe.
class RunningRequests
{
public:
    void add(const ForwardedRequestPointer &request);
    void remove(const ForwardedRequest *request);
    std::vector<ForwardedRequestPointer> all() const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<const ForwardedRequest *, std::weak_ptr<ForwardedRequest>> m_requests;
};

} // namespace lycheelanding::daemon::entry
