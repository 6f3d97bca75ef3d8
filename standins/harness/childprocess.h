#pragma once

#include <sys/types.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Starts the daemons and stand-ins as separate processes, for tests, measurements and the demo.
namespace lycheelanding::harness {

/// A child process. The destructor kills it if it still runs.
class ChildProcess
{
public:
    /// `program` is the name of a program of this build. Standard error is appended to `logFile`.
    /// Throws std::runtime_error when the program cannot be started.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Waits for the first line on standard output that begins with "listening " and returns the rest of that line.
    /// Throws std::runtime_error when there is none within 30 seconds.
    std::string waitUntilListening();
    /// Reads standard output until the process closes it.
    std::string readOutputToEnd();
    /// Sends SIGTERM.
    void terminate();
    /// Sends SIGKILL and waits for the end of the process.
    void kill();
    /// Sends SIGSTOP.
    void suspend();
    /// Sends SIGCONT.
    void resume();
    /// The exit code, or nullopt when the process has not ended after `timeout` or was ended by a signal.
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);

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
