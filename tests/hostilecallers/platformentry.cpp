#include "platformentry.h"

#include "lycheelanding/http/httpclient.h"
#include "platform/private/base64.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string_view>
#include <unistd.h>

namespace lycheelanding::tests {

namespace {

using Json = nlohmann::json;

constexpr std::size_t largeAnswerBytes = 16UL * 1024 * 1024;
constexpr int statusOk = 200;
constexpr std::string_view mediumPath = "/plain/medium";

http::HttpServerSettings largeBodySettings()
{
    http::HttpServerSettings settings;
    settings.maxBodyBytes = 8UL * 1024 * 1024;
    return settings;
}

std::uint16_t freePort()
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

Json routeTo(const std::string &prefix)
{
    return {{"Name", prefix},     {"Host", "callers.example"}, {"Prefix", prefix}, {"RouteType", "safe"},
            {"TimeoutMs", 60000}, {"Service", "drafts"},       {"Public", true},   {"MaxAttempts", 1}};
}

core::Result<http::HttpResponse> answerTo(const std::string &method, std::uint16_t port, const std::string &target,
                                          const std::string &body = {})
{
    static http::HttpClient client;
    http::HttpClientRequest request;
    request.method = method;
    request.url = "http://127.0.0.1:" + std::to_string(port) + target;
    request.headers.add("Host", "callers.example");
    request.sharesConnection = false;
    request.body = body;
    request.timeout = std::chrono::seconds(40);
    return client.fetchAndWait(request);
}

int statusOf(const std::string &method, std::uint16_t port, const std::string &target, const std::string &body = {})
{
    const auto answer = answerTo(method, port, target, body);
    return core::isOk(answer) ? core::valueOf(answer).status : 0;
}

std::string keyValue(const std::string &key, const Json &value)
{
    const Json item{{"Key", key}, {"Revision", 1}, {"Value", platform::base64Encoded(value.dump())}};
    return Json{{"At", 1}, {"HasMore", false}, {"Items", {item}}}.dump();
}

} // namespace

PlatformEntry::PlatformEntry()
    : m_work(m_context.get_executor()), m_store(m_context, {}, [this](const auto &each) { handleStore(each); }),
      m_backend(m_context, largeBodySettings(), [this](const auto &each) { handleBackend(each); }),
      m_frontPort(freePort()), m_readinessPort(freePort()), m_internalPort(freePort()),
      m_file(testing::TempDir() + "hostilecallers-" + std::to_string(::getpid()))
{
    if (!core::isOk(m_store.start()) || !core::isOk(m_backend.start())) {
        throw std::runtime_error("cannot start the stand-ins");
    }
    m_thread = std::thread([this] { m_context.run(); });
    writeSettings();
    ::setenv("LYCHEELANDING_CONFIG", (m_file + ".conf").c_str(), 1);
    m_process = std::make_unique<harness::ChildProcess>(
        "lycheelandingd", std::vector<std::string>{"entry", "--platform"}, m_file + ".log");
    for (int attempt = 0; !isReady(); ++attempt) {
        constexpr int maxAttempts = 600;
        if (attempt == maxAttempts) {
            throw std::runtime_error("the entry does not become ready");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
}

PlatformEntry::~PlatformEntry()
{
    m_process.reset();
    m_context.stop();
    m_thread.join();
    m_unanswered.clear();
    std::filesystem::remove(m_file + ".conf");
    std::filesystem::remove(m_file + ".log");
}

void PlatformEntry::writeSettings() const
{
    std::ofstream(m_file + ".conf") << "NodeName=front-a-1\nRole=entry\nIp=127.0.0.1\nZone=a\nListen.Front=127.0.0.1:"
                                    << m_frontPort << "\nListen.Readiness=127.0.0.1:" << m_readinessPort
                                    << "\nInternalPorts=" << m_internalPort << ',' << m_internalPort
                                    << "\nPlatform.Address=127.0.0.1:" << m_store.port()
                                    << "\nLimits.MemoryMb=" << memoryMb << "\nLimits.MaxFds=" << maxFds << '\n';
}

int PlatformEntry::readinessStatus() const
{
    return statusOf("GET", m_readinessPort, "/-/readiness");
}

bool PlatformEntry::isReady() const
{
    return readinessStatus() == statusOk && ordinaryRequest() == statusOk;
}

std::string PlatformEntry::listing(const std::string &prefix) const
{
    if (prefix == "servers/") {
        return keyValue("servers/drafts-1",
                        {{"Service", "drafts"},
                         {"Zone", "a"},
                         {"Version", "1"},
                         {"Address", "127.0.0.1:" + std::to_string(m_backend.port())},
                         {"State", "ready"},
                         {"Slots", 1000},
                         {"Sequence", 1},
                         {"ColdRemainingMs", 0}});
    }
    const Json service{{"Name", "drafts"}, {"MaxConnections", 1000}};
    return keyValue(prefix + "config",
                    {{"Version", 1},
                     {"Routes", {routeTo("/plain/"), routeTo("/large/"), routeTo("/held/")}},
                     {"Services", {service}}});
}

void PlatformEntry::handleStore(const http::HttpExchangePointer &exchange)
{
    if (exchange->request().path() == "/-/kv-range") {
        exchange->respond(
            http::jsonResponse(statusOk, listing(exchange->request().queryParameter("Prefix").value_or(""))));
        return;
    }
    m_unanswered.push_back(exchange);
}

void PlatformEntry::handleBackend(const http::HttpExchangePointer &exchange)
{
    const auto &request = exchange->request();
    if (request.path().starts_with("/held/")) {
        m_unanswered.push_back(exchange);
        return;
    }
    http::HttpResponse response;
    response.headers.add("Response-Seal", "valid");
    response.body = request.path().starts_with("/large/") ? std::string(largeAnswerBytes, 'a') : "answer";
    if (request.path() == mediumPath) {
        response.body.assign(mediumAnswerBytes, 'a');
    }
    exchange->respond(std::move(response));
}

bool PlatformEntry::isAlive() const
{
    return !m_process->waitForExit(std::chrono::milliseconds(0)) && ::kill(m_process->pid(), 0) == 0;
}

std::size_t PlatformEntry::peakMemoryKb() const
{
    std::ifstream status("/proc/" + std::to_string(m_process->pid()) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(line.find(':') + 1));
        }
    }
    throw std::runtime_error("the memory of the process cannot be read");
}

std::size_t PlatformEntry::openDescriptors() const
{
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(m_process->pid()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

std::size_t PlatformEntry::mediumAnswer() const
{
    const auto answer = answerTo("GET", m_frontPort, std::string(mediumPath));
    return core::isOk(answer) ? core::valueOf(answer).body.size() : 0;
}

int PlatformEntry::ordinaryRequest(std::size_t bodyBytes) const
{
    return statusOf("POST", m_frontPort, "/plain/ordinary", std::string(bodyBytes, 'x'));
}

} // namespace lycheelanding::tests
