#pragma once

#include "harness/deployment.h"
#include "rounds/eventlog.h"

#include "lycheelanding/core/random.h"

#include <mutex>
#include <string>
#include <vector>

namespace lycheelanding::rounds {

/// The only operator of a soak: submits patches of time limits and of plain services that nobody calls.
class SoakOperator
{
public:
    /// `addresses` are the IP:PORT of the entries.
    SoakOperator(harness::Deployment &deployment, std::vector<std::string> addresses, EventLog &log)
        : m_deployment(deployment), m_log(log), m_addresses(std::move(addresses))
    { }

    /// Sets the address of an entry that has been restarted; may be called by any thread.
    void setAddress(std::size_t entry, const std::string &address);
    /// Submits one patch, again through the next entry while there is no answer.
    void changeConfiguration(core::RandomSequence &random);

private:
    /// The result of one submission.
    enum class Submission : std::uint8_t {
        Accepted,
        Unanswered,
        Refused,
    };

    nlohmann::json limitsPatch(core::RandomSequence &random) const;
    /// Adds many services, or removes those of an earlier patch.
    nlohmann::json servicesPatch(core::RandomSequence &random) const;
    Submission submit(const std::string &address, const nlohmann::json &patch);
    std::string addressOf(std::size_t number) const;

    harness::Deployment &m_deployment;
    EventLog &m_log;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_addresses;
    std::uint64_t m_version = 1;
    std::size_t m_addedServices = 0;
};

} // namespace lycheelanding::rounds
