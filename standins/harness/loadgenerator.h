#pragma once

#include "harness/deployment.h"

#include <atomic>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lycheelanding::harness {

/// What came of the requests of a load.
struct LoadOutcome
{
    std::size_t sent = 0;
    /// Whole answers with the caller's own content.
    std::size_t complete = 0;
    /// Answers that were refused as not run.
    std::size_t refused = 0;
    /// Answers that broke off, or errors that leave open whether the request ran.
    std::size_t cutOff = 0;
    /// Whole answers with another caller's content.
    std::size_t mismatched = 0;
    /// One example of each kind of failure.
    std::map<std::string, std::string> examples;
};

/// Callers that send one streamed completion after the other through the entries that are ready, as the platform's
/// balancer would.
class LoadGenerator
{
public:
    LoadGenerator(Deployment &deployment, std::size_t callers, std::size_t tokens);
    ~LoadGenerator();

    /// Ends after the requests that are under way.
    LoadOutcome stop();

private:
    void pollReadiness();
    void sendRequests(std::size_t caller);
    std::optional<std::size_t> readyEntry(std::size_t preferred) const;
    void recordOutcome(const core::Result<http::HttpResponse> &result, const std::string &prompt);

    Deployment &m_deployment;
    const std::size_t m_tokens;
    std::atomic<bool> m_isStopping = false;
    mutable std::mutex m_mutex;
    std::vector<bool> m_isReady;
    LoadOutcome m_outcome;
    std::vector<std::thread> m_threads;
};

/// Whether `body` is the whole stream of an answer to `prompt`: every chunk belongs to it and the end is there.
bool isExpectedCompletion(const std::string &body, const std::string &prompt, std::size_t tokens);

} // namespace lycheelanding::harness
