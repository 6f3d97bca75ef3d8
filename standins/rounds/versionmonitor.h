#pragma once

#include "harness/deployment.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lycheelanding::rounds {

/// Polls the configuration version of every process and records each decrease.
class VersionMonitor
{
public:
    explicit VersionMonitor(harness::Deployment &deployment);
    ~VersionMonitor();

    /// Stops polling and returns one sentence for each decrease.
    std::vector<std::string> stop();

    /// The configuration version of each process that answers, by VM.
    std::map<std::string, std::uint64_t> readVersions();

private:
    struct LastObservation
    {
        std::string url;
        std::uint64_t version = 0;
    };

    void pollVersions();
    void recordVersion(const std::string &vm, const std::string &url, std::uint64_t version);

    harness::Deployment &m_deployment;
    std::atomic<bool> m_isStopping = false;
    std::mutex m_mutex;
    std::map<std::string, LastObservation> m_lastObservations;
    std::vector<std::string> m_violations;
    std::thread m_thread;
};

} // namespace lycheelanding::rounds
