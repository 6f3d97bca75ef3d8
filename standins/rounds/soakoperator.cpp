#include "rounds/soakoperator.h"

#include <thread>

namespace lycheelanding::rounds {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr std::size_t maxAttempts = 50;
constexpr std::chrono::milliseconds retryDelay(200);
constexpr std::chrono::seconds patchTimeout(15);
/// All limits are longer than the requests of the soak last.
constexpr std::uint64_t minDrainLimitMs = 60'000;
constexpr std::uint64_t drainLimitRangeMs = 20'000;
constexpr std::uint64_t minRequestTimeoutMs = 120'000;
constexpr std::uint64_t requestTimeoutRangeMs = 400'000;
constexpr std::uint64_t minHeartbeatTimeoutMs = 1500;
constexpr std::uint64_t heartbeatTimeoutRangeMs = 1500;
constexpr std::size_t minServices = 50;
constexpr std::size_t servicesRange = 300;

} // namespace

void SoakOperator::setAddress(std::size_t entry, const std::string &address)
{
    const std::scoped_lock lock(m_mutex);
    m_addresses[entry] = address;
}

std::string SoakOperator::addressOf(std::size_t number) const
{
    const std::scoped_lock lock(m_mutex);
    return m_addresses[number % m_addresses.size()];
}

void SoakOperator::changeConfiguration(core::RandomSequence &random)
{
    const bool changesServices = random.nextBelow(2) == 0;
    const auto patch = changesServices ? servicesPatch(random) : limitsPatch(random);
    const auto firstEntry = random.nextBelow(m_addresses.size());
    const auto name = "patch of version " + std::to_string(m_version);
    m_log.record(name + " (" + std::to_string(patch.size()) + " operations)");
    for (std::size_t attempt = 0; attempt < maxAttempts; ++attempt) {
        const auto submission = submit(addressOf(firstEntry + attempt), patch);
        if (submission == Submission::Accepted) {
            ++m_version;
            if (changesServices) {
                m_addedServices = m_addedServices > 0 ? 0 : patch.size();
            }
            m_log.record(name + " accepted");
            return;
        }
        if (submission == Submission::Refused) {
            break;
        }
        std::this_thread::sleep_for(retryDelay);
    }
    m_log.recordViolation(name + " was not accepted");
}

Json SoakOperator::limitsPatch(core::RandomSequence &random) const
{
    const Json limits{{"drainLimitMs", minDrainLimitMs + random.nextBelow(drainLimitRangeMs)},
                      {"defaultRequestTimeoutMs", minDrainLimitMs + random.nextBelow(drainLimitRangeMs)},
                      {"maxRequestTimeoutMs", minRequestTimeoutMs + random.nextBelow(requestTimeoutRangeMs)}};
    const Json membership{{"heartbeatTimeoutMs", minHeartbeatTimeoutMs + random.nextBelow(heartbeatTimeoutRangeMs)}};
    return {{{"op", "add"}, {"path", "/limits"}, {"value", limits}},
            {{"op", "add"}, {"path", "/membership"}, {"value", membership}}};
}

Json SoakOperator::servicesPatch(core::RandomSequence &random) const
{
    Json patch = Json::array();
    for (std::size_t index = 0; index < m_addedServices; ++index) {
        patch.push_back({{"op", "remove"}, {"path", "/services/1"}});
    }
    const auto added = m_addedServices > 0 ? 0 : minServices + random.nextBelow(servicesRange);
    for (std::size_t index = 0; index < added; ++index) {
        const auto name = std::to_string(m_version) + "-" + std::to_string(index);
        const Json service{{"id", "added-" + name}, {"pathPrefix", "/added/" + name}, {"vms", Json::array()}};
        patch.push_back({{"op", "add"}, {"path", "/services/-"}, {"value", service}});
    }
    return patch;
}

SoakOperator::Submission SoakOperator::submit(const std::string &address, const Json &patch)
{
    http::HttpClientRequest request;
    request.method = "PATCH";
    request.url = "http://" + address + "/configuration";
    request.headers.add("Content-Type", "application/json-patch+json");
    request.headers.add("If-Match", "\"" + std::to_string(m_version) + "\"");
    request.headers.add("Patch-Id", "soak-" + std::to_string(m_version));
    request.body = patch.dump();
    request.timeout = patchTimeout;
    const auto answer = m_deployment.send(std::move(request));
    if (!core::isOk(answer)) {
        return Submission::Unanswered;
    }
    if (core::valueOf(answer).status == statusOk) {
        return Submission::Accepted;
    }
    const auto problem = Json::parse(core::valueOf(answer).body, nullptr, false);
    const auto kind = problem.is_object() ? problem.value("kind", "") : "";
    m_log.record("patch answered with " + kind + ", " + std::to_string(core::valueOf(answer).status));
    return kind == "versionConflict" || kind == "invalidPatch" ? Submission::Refused : Submission::Unanswered;
}

} // namespace lycheelanding::rounds
