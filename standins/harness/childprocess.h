#pragma once

#include <sys/types.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Starts the daemons and stand-ins as separate processes, for tests, measurements and the demo.
namespace lycheelanding::harness {

/// A process that this one has started; killed at the latest with this object.
class ChildProcess
{
public:
    /// `program` is the name of one of the workspace's programs; its standard error goes to `logFile`.
    /// Throws std::runtime_error when it cannot be started.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// The rest of the first line on standard output that begins with "listening ".
    /// Throws std::runtime_error when none comes.
    std::string waitUntilListening();
    /// All that the process prints on standard output until it ends it.
    std::string readOutputToEnd();
    void terminate();
    void kill();
    void suspend();
    void resume();
    /// The exit code, or nothing when the process has not ended after `limit` or was ended by a signal.
    std::optional<int> waitForExit(std::chrono::milliseconds limit);

    pid_t pid() const { return m_pid; }
    const std::string &logFile() const { return m_logFile; }

private:
    pid_t m_pid = -1;
    int m_output = -1;
    bool m_hasEnded = false;
    std::optional<int> m_exitCode;
    std::string m_program;
    std::string m_logFile;
};

} // namespace lycheelanding::harness
