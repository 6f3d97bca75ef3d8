#pragma once

#include "harness/childprocess.h"
#include "lycheelanding/http/httpserver.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lycheelanding::tests {

/// An entry process on the platform, with a stand-in of the store and one backend server in the test. The backend
/// server answers /plain/ at once and /large/ with a large body, and never answers /held/.
class PlatformEntry
{
public:
    /// The limits of the VM in the settings of the entry.
    static constexpr std::size_t memoryMb = 64;
    static constexpr std::size_t maxFds = 128;

    static constexpr std::size_t mediumAnswerBytes = 2UL * 1024 * 1024;

    /// Starts the process and waits until it is ready.
    PlatformEntry();
    ~PlatformEntry();
    PlatformEntry(const PlatformEntry &) = delete;
    PlatformEntry &operator=(const PlatformEntry &) = delete;

    std::uint16_t port() const { return m_frontPort; }
    std::uint16_t readinessPort() const { return m_readinessPort; }
    /// Status of the answer to a probe on a connection of its own, 0 without an answer.
    int readinessStatus() const;
    bool isAlive() const;
    /// The largest resident memory of the process so far.
    std::size_t peakMemoryKb() const;
    std::size_t openDescriptors() const;
    /// Sends an ordinary request on a connection of its own and returns the status of its answer, 0 without one.
    int ordinaryRequest(std::size_t bodyBytes = 10) const;
    /// Requests an answer of mediumAnswerBytes and returns the size of what arrives, 0 if it is incomplete.
    std::size_t mediumAnswer() const;

private:
    void handleStore(const http::HttpExchangePointer &exchange);
    void handleBackend(const http::HttpExchangePointer &exchange);
    std::string listing(const std::string &prefix) const;
    void writeSettings() const;
    bool isReady() const;

    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    /// Watches of the store and held requests, which get no answer.
    std::vector<http::HttpExchangePointer> m_unanswered;
    http::HttpServer m_store;
    http::HttpServer m_backend;
    std::thread m_thread;
    std::uint16_t m_frontPort = 0;
    std::uint16_t m_readinessPort = 0;
    std::uint16_t m_internalPort = 0;
    const std::string m_file;
    std::unique_ptr<harness::ChildProcess> m_process;
};

} // namespace lycheelanding::tests
