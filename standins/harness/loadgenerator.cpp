#include "harness/loadgenerator.h"

#include <optional>
#include <sstream>

namespace lycheelanding::harness {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds readinessInterval(50);
constexpr std::chrono::milliseconds noReadyEntryDelay(20);
constexpr int statusOk = 200;

std::string contentOf(const Json &chunk)
{
    const auto &choice = chunk.at("choices").at(0);
    return choice.contains("delta") ? choice["delta"].value("content", "") : std::string();
}

} // namespace

bool isExpectedCompletion(const std::string &body, const std::string &prompt, std::size_t tokens)
{
    const std::string prefix = "data: ";
    std::istringstream stream(body);
    std::string line;
    std::string text;
    std::size_t contentChunks = 0;
    bool hasEndMarker = false;
    while (std::getline(stream, line)) {
        if (line.rfind(prefix, 0) != 0) {
            continue;
        }
        const auto data = line.substr(prefix.size());
        if (data.rfind("[DONE]", 0) == 0) {
            hasEndMarker = true;
            continue;
        }
        const auto content = contentOf(Json::parse(data));
        contentChunks += content.empty() ? 0 : 1;
        text += content;
    }
    return hasEndMarker && contentChunks == tokens && text.rfind(prompt.substr(0, prompt.find(' ')), 0) == 0;
}

LoadGenerator::LoadGenerator(Deployment &deployment, std::size_t callers, std::size_t tokens)
    : m_deployment(deployment), m_tokens(tokens), m_isReady(deployment.entries().size(), true)
{
    m_threads.emplace_back([this] { pollReadiness(); });
    for (std::size_t caller = 0; caller < callers; ++caller) {
        m_threads.emplace_back([this, caller] { sendRequests(caller); });
    }
}

LoadGenerator::~LoadGenerator()
{
    stop();
}

LoadOutcome LoadGenerator::stop()
{
    m_isStopping = true;
    for (auto &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    return m_outcome;
}

void LoadGenerator::pollReadiness()
{
    while (!m_isStopping) {
        for (std::size_t entry = 0; entry < m_isReady.size(); ++entry) {
            const bool isReady
                = m_deployment.getJson(m_deployment.entries()[entry].http + "/ready").value("ready", false);
            const std::scoped_lock lock(m_mutex);
            m_isReady[entry] = isReady;
        }
        std::this_thread::sleep_for(readinessInterval);
    }
}

std::optional<std::size_t> LoadGenerator::readyEntry(std::size_t preferred) const
{
    const std::scoped_lock lock(m_mutex);
    for (std::size_t step = 0; step < m_isReady.size(); ++step) {
        const auto entry = (preferred + step) % m_isReady.size();
        if (m_isReady[entry]) {
            return entry;
        }
    }
    return std::nullopt;
}

void LoadGenerator::sendRequests(std::size_t caller)
{
    for (std::size_t number = 0; !m_isStopping; ++number) {
        const auto entry = readyEntry(caller + number);
        if (!entry) {
            std::this_thread::sleep_for(noReadyEntryDelay);
            continue;
        }
        const std::string prompt = "caller" + std::to_string(caller) + "n" + std::to_string(number) + " draft";
        const auto *organisation = caller % 2 == 0 ? "fabricators" : "restorers";
        recordOutcome(m_deployment.send(m_deployment.completionRequest(*entry, organisation, prompt, m_tokens)),
                      prompt);
    }
}

void LoadGenerator::recordOutcome(const core::Result<http::HttpResponse> &result, const std::string &prompt)
{
    const std::scoped_lock lock(m_mutex);
    ++m_outcome.sent;
    if (!core::isOk(result)) {
        // A refused connection means that the entry is down; the balancer would not have chosen it.
        if (core::errorOf(result).kind == core::ErrorKind::PeerUnreachable) {
            ++m_outcome.refused;
            return;
        }
        ++m_outcome.cutOff;
        m_outcome.examples["broken"] = core::errorOf(result).detail;
        return;
    }
    const auto &response = core::valueOf(result);
    if (response.status != statusOk) {
        const auto problem = Json::parse(response.body, nullptr, false);
        const bool hasNotRun = problem.is_object() && problem.value("ran", "") == "no";
        ++(hasNotRun ? m_outcome.refused : m_outcome.cutOff);
        m_outcome.examples[problem.is_object() ? problem.value("kind", "") : "status"] = response.body;
        return;
    }
    if (isExpectedCompletion(response.body, prompt, m_tokens)) {
        ++m_outcome.complete;
        return;
    }
    ++m_outcome.mismatched;
    m_outcome.examples["foreign"] = prompt + " -> " + response.body.substr(0, 400);
}

} // namespace lycheelanding::harness
