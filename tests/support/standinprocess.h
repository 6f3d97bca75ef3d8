#pragma once

#include "harness/childprocess.h"
#include "lycheelanding/http/httpclient.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <string>

/// Helpers for integration tests.
namespace lycheelanding::tests::support {

using Json = nlohmann::json;

/// The answer to one call; status 0 when the call failed.
struct JsonAnswer
{
    int status = 0;
    Json body;
};

/// Calls `url` and waits for the answer. A null body is not sent.
JsonAnswer callJson(const std::string &method, const std::string &url, const Json &body = nullptr);

/// A running stand-in process that listens on an ephemeral port.
class StandInProcess
{
public:
    explicit StandInProcess(const std::string &program, const Json &settings = Json::object());
    ~StandInProcess();
    StandInProcess(const StandInProcess &) = delete;
    StandInProcess &operator=(const StandInProcess &) = delete;

    /// "127.0.0.1:PORT".
    const std::string &address() const { return m_address; }
    std::string url(const std::string &target) const { return "http://" + m_address + target; }
    harness::ChildProcess &process() { return m_process; }

    JsonAnswer get(const std::string &target) const { return callJson("GET", url(target)); }
    JsonAnswer post(const std::string &target, const Json &body) const { return callJson("POST", url(target), body); }
    JsonAnswer put(const std::string &target, const Json &body) const { return callJson("PUT", url(target), body); }

private:
    const std::string m_fileName;
    harness::ChildProcess m_process;
    std::string m_address;
};

/// Polls `condition` every 5 ms until it holds; false after a minute.
bool waitUntil(const std::function<bool()> &condition);

} // namespace lycheelanding::tests::support
