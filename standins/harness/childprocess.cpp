#include "harness/childprocess.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <thread>

extern char **environ;

namespace lycheelanding::harness {

namespace {

constexpr std::chrono::seconds startTimeout(30);
constexpr std::chrono::milliseconds pollInterval(5);

std::vector<char *> argumentPointers(std::vector<std::string> &arguments)
{
    std::vector<char *> pointers;
    pointers.reserve(arguments.size() + 1);
    for (auto &argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           const std::string &logFile)
    : m_program(program), m_logFile(logFile)
{
    const std::string path = std::string(LYCHEELANDING_PROGRAMS) + "/" + program;
    std::vector<std::string> commandLine{path};
    commandLine.insert(commandLine.end(), arguments.begin(), arguments.end());
    auto pointers = argumentPointers(commandLine);

    int output[2]{};
    if (pipe2(output, O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create the output pipe of " + program);
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
    constexpr mode_t logMode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    // A child that inherits a socket keeps its connection open after this process closes it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int failure = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(output[1]);
    m_output = output[0];
    if (failure != 0) {
        close(m_output);
        throw std::runtime_error("cannot start " + path);
    }
}

ChildProcess::~ChildProcess()
{
    kill();
    close(m_output);
}

std::string ChildProcess::waitUntilListening()
{
    const std::string prefix = "listening ";
    const auto deadline = std::chrono::steady_clock::now() + startTimeout;
    std::string text;
    while (std::chrono::steady_clock::now() < deadline) {
        pollfd output{m_output, POLLIN, 0};
        if (poll(&output, 1, static_cast<int>(pollInterval.count())) <= 0) {
            continue;
        }
        char buffer[512];
        const auto count = read(m_output, buffer, sizeof buffer);
        if (count <= 0) {
            break;
        }
        text.append(buffer, static_cast<std::size_t>(count));
        const auto begin = text.find(prefix);
        const auto end = begin == std::string::npos ? begin : text.find('\n', begin);
        if (end != std::string::npos) {
            return text.substr(begin + prefix.size(), end - begin - prefix.size());
        }
    }
    throw std::runtime_error(m_program + " did not report a listening address; see " + m_logFile);
}

std::string ChildProcess::readOutputToEnd()
{
    std::string text;
    char buffer[4096];
    for (auto count = read(m_output, buffer, sizeof buffer); count > 0; count = read(m_output, buffer, sizeof buffer)) {
        text.append(buffer, static_cast<std::size_t>(count));
    }
    return text;
}

void ChildProcess::terminate()
{
    if (!m_hasEnded) {
        ::kill(m_pid, SIGTERM);
    }
}

void ChildProcess::kill()
{
    if (m_hasEnded) {
        return;
    }
    ::kill(m_pid, SIGKILL);
    ::kill(m_pid, SIGCONT);
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_hasEnded = true;
}

void ChildProcess::suspend()
{
    ::kill(m_pid, SIGSTOP);
}

void ChildProcess::resume()
{
    ::kill(m_pid, SIGCONT);
}

std::optional<int> ChildProcess::waitForExit(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!m_hasEnded && std::chrono::steady_clock::now() < deadline) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_hasEnded = true;
            if (WIFEXITED(status)) {
                m_exitCode = WEXITSTATUS(status);
            }
        } else {
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return m_exitCode;
}

} // namespace lycheelanding::harness
