#include "support/standinprocess.h"

#include <atomic>
#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace lycheelanding::tests::support {

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(5);
constexpr auto maxWait = std::chrono::minutes(1);

/// A file name without suffix that no other process under test has.
std::string uniqueFileName()
{
    static std::atomic<int> number = 0;
    const std::string name = "lycheelanding-standin-" + std::to_string(::getpid()) + "-" + std::to_string(++number);
    return (std::filesystem::temp_directory_path() / name).string();
}

std::string writeSettings(const std::string &fileName, const Json &settings)
{
    std::ofstream(fileName) << settings.dump();
    return fileName;
}

http::HttpClient &client()
{
    static http::HttpClient shared;
    return shared;
}

} // namespace

JsonAnswer callJson(const std::string &method, const std::string &url, const Json &body)
{
    http::HttpClientRequest request;
    request.method = method;
    request.url = url;
    request.body = body.is_null() ? "" : body.dump();
    const auto result = client().fetchAndWait(request);
    if (!core::isOk(result)) {
        return {};
    }
    const auto &response = core::valueOf(result);
    return {response.status, Json::parse(response.body, nullptr, false)};
}

StandInProcess::StandInProcess(const std::string &program, const Json &settings)
    : m_fileName(uniqueFileName()),
      m_process(program, {"--settings", writeSettings(m_fileName + ".json", settings)}, m_fileName + ".log"),
      m_address(m_process.waitUntilListening())
{ }

StandInProcess::~StandInProcess()
{
    std::filesystem::remove(m_fileName + ".json");
    std::filesystem::remove(m_fileName + ".log");
}

bool waitUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + maxWait;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace lycheelanding::tests::support
