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

/// Counts of the requests of a LoadGenerator by outcome.
struct LoadOutcome
{
    std::size_t sent = 0;
    /// Answers whose body is the complete stream for the prompt.
    std::size_t complete = 0;
    /// Requests that were refused and have not run, including those that did not reach their entry.
    std::size_t refused = 0;
    /// Answers that were cut off, and errors after which it is unknown whether the request ran.
    std::size_t cutOff = 0;
    /// Answers that ended without an error, but whose body is incomplete or belongs to another prompt.
    std::size_t mismatched = 0;
    /// The latest example of each kind of failure.
    std::map<std::string, std::string> examples;
};

/// Simulates callers that send streamed completions one at a time. Like the platform's balancer, it chooses only
/// entries that report ready. Starts with its construction.
class LoadGenerator
{
public:
    LoadGenerator(Deployment &deployment, std::size_t callers, std::size_t tokens);
    ~LoadGenerator();

    /// Waits for the requests in flight and returns the outcome.
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

/// Whether `body` is the complete event stream that answers `prompt`: it has `tokens` content chunks, its text starts
/// with the first word of the prompt and it ends with [DONE].
bool isExpectedCompletion(const std::string &body, const std::string &prompt, std::size_t tokens);

} // namespace lycheelanding::harness
