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

/// Reads the version of every process over and over and notes each that goes back.
class VersionMonitor
{
public:
    explicit VersionMonitor(harness::Deployment &deployment);
    ~VersionMonitor();

    /// Ends the watch and returns what went back, one sentence each.
    std::vector<std::string> stop();

    /// The version of each process that answers, by VM.
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
