#pragma once

#include "harness/callerconnection.h"
#include "rounds/eventlog.h"

#include "lycheelanding/core/random.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lycheelanding::rounds {

enum class SoakRequestKind : std::uint8_t {
    /// A streamed completion without an idempotency key.
    Stream,
    /// A streamed completion with an idempotency key, which runs at most once.
    KeyedStream,
    /// A call of the plain service, which runs at most once.
    Call,
};

enum class SoakOutcome : std::uint8_t {
    /// The caller has the whole of its own answer.
    Answered,
    /// Refused with an answer that says that the request has not run and when to try again.
    Refused,
    /// The connection was closed before the request was read.
    Unread,
    /// Anything else, which is a violation.
    Failed,
};

struct SoakRequest
{
    /// Unique in the round; the prompt's first word or the operation's name.
    std::string id;
    SoakRequestKind kind = SoakRequestKind::Call;
    std::uint64_t tokens = 0;
};

/// Callers that hold one connection each and use it, whether or not its entry is ready, until the entry closes it. They
/// start with the construction and record each answer that breaks the guarantee as a violation.
class SoakCallers
{
public:
    /// `addresses` are the IP:PORT of the entries.
    SoakCallers(std::vector<std::string> addresses, std::size_t callers, std::uint64_t seed, EventLog &log);
    ~SoakCallers();
    SoakCallers(const SoakCallers &) = delete;
    SoakCallers &operator=(const SoakCallers &) = delete;

    /// Sets the address of an entry that has been restarted.
    void setAddress(std::size_t entry, const std::string &address);
    /// Waits for the requests in flight.
    void stop();
    /// Records violations by requests that ran although they were refused, or more often than they may. `runs` is the
    /// number of runs by the id of the request. Call it after stop().
    void checkRuns(const std::map<std::string, std::size_t> &runs);

    std::size_t sent() const { return m_outcomes.size(); }
    std::size_t count(SoakOutcome outcome) const;

private:
    struct Finished
    {
        SoakRequest request;
        SoakOutcome outcome = SoakOutcome::Failed;
    };

    void sendRequests(std::size_t caller, std::uint64_t seed);
    /// Connects to an entry that listens, the preferred one first; null when there is none.
    std::unique_ptr<harness::CallerConnection> connect(std::size_t preferred, std::size_t &entry);
    SoakOutcome judge(const SoakRequest &request, const harness::CallerAnswer &answer, std::size_t entry);

    EventLog &m_log;
    std::atomic<bool> m_isStopping = false;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_addresses;
    std::vector<Finished> m_outcomes;
    std::vector<std::thread> m_threads;
};

} // namespace lycheelanding::rounds
