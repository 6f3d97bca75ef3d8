#include "rounds/versionmonitor.h"

namespace lycheelanding::rounds {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds pollInterval(20);

} // namespace

VersionMonitor::VersionMonitor(harness::Deployment &deployment)
    : m_deployment(deployment), m_thread([this] { pollVersions(); })
{ }

VersionMonitor::~VersionMonitor()
{
    stop();
}

std::vector<std::string> VersionMonitor::stop()
{
    m_isStopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    return m_violations;
}

void VersionMonitor::pollVersions()
{
    while (!m_isStopping) {
        readVersions();
        std::this_thread::sleep_for(pollInterval);
    }
}

std::map<std::string, std::uint64_t> VersionMonitor::readVersions()
{
    std::map<std::string, std::string> urls;
    for (const auto &entry : m_deployment.entries()) {
        urls[entry.vm] = entry.http;
    }
    for (const auto &side : m_deployment.sides()) {
        urls[side.vm] = side.http;
    }
    std::map<std::string, std::uint64_t> versions;
    for (const auto &[vm, url] : urls) {
        const auto status = m_deployment.getJson(url + "/status");
        const auto &process = status.contains("entry") ? status["entry"] : status;
        if (process.contains("configurationVersion")) {
            versions[vm] = process["configurationVersion"].get<std::uint64_t>();
            recordVersion(vm, url, versions[vm]);
        }
    }
    return versions;
}

void VersionMonitor::recordVersion(const std::string &vm, const std::string &url, std::uint64_t version)
{
    const std::scoped_lock lock(m_mutex);
    auto &last = m_lastObservations[vm];
    // A restarted process has another address and starts without a version.
    if (last.url == url && version < last.version) {
        m_violations.push_back(vm + " went back from configuration version " + std::to_string(last.version) + " to "
                               + std::to_string(version));
    }
    last = {url, std::max(version, last.url == url ? last.version : 0)};
}

} // namespace lycheelanding::rounds
