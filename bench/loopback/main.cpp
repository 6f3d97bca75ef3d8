// Measures the daemons as processes on the loopback address: the latency that entry and side add to a call, and their
// processor time and memory.

#include "harness/deployment.h"

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <list>
#include <sstream>
#include <thread>
#include <vector>

namespace {

using namespace lycheelanding;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::size_t sequentialCalls = 2000;
constexpr std::size_t parallelCallers = 16;
constexpr std::chrono::seconds loadTime(5);
constexpr std::size_t idleConnections = 500;

http::HttpClientRequest callRequest(const std::string &baseUrl)
{
    http::HttpClientRequest request;
    request.method = "POST";
    request.url = baseUrl + "/run/call";
    request.headers.add("Organisation", "fabricators");
    request.body = "x";
    return request;
}

/// Durations of sequential calls in milliseconds, ascending.
std::vector<double> sequentialTimes(harness::Deployment &deployment, const std::string &baseUrl)
{
    std::vector<double> times;
    for (std::size_t call = 0; call < sequentialCalls; ++call) {
        const auto begin = Clock::now();
        const auto response = deployment.send(callRequest(baseUrl));
        if (!core::isOk(response) || core::valueOf(response).status != 200) {
            throw std::runtime_error("a sequential call failed");
        }
        times.push_back(Milliseconds(Clock::now() - begin).count());
    }
    std::sort(times.begin(), times.end());
    return times;
}

void printTimes(const std::string &what, const std::vector<double> &times)
{
    std::cout << what << ": p50 " << times[times.size() / 2] << " ms, p99 " << times[times.size() * 99 / 100]
              << " ms\n";
}

/// Processor time that a process has used, in milliseconds.
double processorMilliseconds(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    constexpr int userField = 12;
    constexpr int systemField = 13;
    double ticks = 0;
    for (int number = 1; fields >> field && number <= systemField; ++number) {
        ticks += number >= userField ? std::stod(field) : 0;
    }
    return ticks * 1000.0 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Resident memory of a process in kilobytes; 0 when it cannot be read.
double residentKilobytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::stod(line.substr(6));
        }
    }
    return 0;
}

void measureLoad(harness::Deployment &deployment)
{
    const auto entry = deployment.entries()[0].process->pid();
    const auto side = deployment.sides().back().process->pid();
    const auto entryBefore = processorMilliseconds(entry);
    const auto sideBefore = processorMilliseconds(side);
    std::atomic<std::size_t> answered = 0;
    std::atomic<std::size_t> refused = 0;
    const auto end = Clock::now() + loadTime;
    {
        std::vector<std::jthread> callers;
        for (std::size_t caller = 0; caller < parallelCallers; ++caller) {
            callers.emplace_back([&] {
                http::HttpClient client;
                while (Clock::now() < end) {
                    const auto response = client.fetchAndWait(callRequest(deployment.entries()[0].http));
                    const bool isAnswered = core::isOk(response) && core::valueOf(response).status == 200;
                    ++(isAnswered ? answered : refused);
                }
            });
        }
    }
    const auto calls = static_cast<double>(answered.load());
    std::cout << parallelCallers << " callers: " << calls / static_cast<double>(loadTime.count()) << " requests/s, "
              << refused << " refused; processor time per request: entry "
              << (processorMilliseconds(entry) - entryBefore) * 1000.0 / calls << " us, side "
              << (processorMilliseconds(side) - sideBefore) * 1000.0 / calls << " us\n";
}

void measureIdleConnections(harness::Deployment &deployment)
{
    const auto url = deployment.entries()[0].http;
    const auto port = static_cast<std::uint16_t>(std::stoul(url.substr(url.rfind(':') + 1)));
    const auto pid = deployment.entries()[0].process->pid();
    const auto before = residentKilobytes(pid);
    asio::io_context context;
    std::list<asio::ip::tcp::socket> sockets;
    for (std::size_t number = 0; number < idleConnections; ++number) {
        auto &socket = sockets.emplace_back(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
        asio::write(socket, asio::buffer(std::string("GET /health HTTP/1.1\r\nHost: x\r\n\r\n")));
        asio::streambuf answer;
        asio::read_until(socket, answer, "}");
    }
    const auto growth = residentKilobytes(pid) - before;
    std::cout << idleConnections << " idle caller connections: " << growth / static_cast<double>(idleConnections)
              << " kB each\n";
}

/// Measures processor time and memory of idle processes.
void measureIdle(harness::Deployment &deployment)
{
    constexpr std::chrono::seconds idleTime(5);
    const auto entry = deployment.entries()[0].process->pid();
    const auto side = deployment.sides().front().process->pid();
    const auto entryBefore = processorMilliseconds(entry);
    const auto sideBefore = processorMilliseconds(side);
    std::this_thread::sleep_for(idleTime);
    const auto percent = [&](double used) { return used / (10.0 * static_cast<double>(idleTime.count())); };
    std::cout << "without requests, " << deployment.sides().size() << " sides: entry "
              << percent(processorMilliseconds(entry) - entryBefore) << " % of a core and "
              << residentKilobytes(entry) / 1000.0 << " MB, side beside an engine "
              << percent(processorMilliseconds(side) - sideBefore) << " % and " << residentKilobytes(side) / 1000.0
              << " MB\n";
}

int run()
{
    harness::DeploymentPlan plan;
    plan.engines = 1;
    plan.plainServices = 1;
    harness::Deployment deployment(plan);
    deployment.start();
    measureIdle(deployment);
    printTimes("directly at the stand-in", sequentialTimes(deployment, deployment.sides().back().backend));
    printTimes("through entry and side", sequentialTimes(deployment, deployment.entries()[0].http));
    measureLoad(deployment);
    measureIdleConnections(deployment);
    return EXIT_SUCCESS;
}

} // namespace

int main()
{
    try {
        return run();
    } catch (const std::exception &exception) {
        std::cerr << "measure-loopback: " << exception.what() << std::endl;
        return EXIT_FAILURE;
    }
}
