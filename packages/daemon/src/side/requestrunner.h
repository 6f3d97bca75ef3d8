#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/idempotency/keptanswers.h"
#include "lycheelanding/http/httpclient.h"
#include "lycheelanding/wire/messages.h"
#include "lycheelanding/wire/peerconnection.h"
#include "shared/configurationtable.h"
#include "side/sidegate.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lycheelanding::daemon::side {

/// Forwards requests of the entries to the backend server on this VM and sends the answers back.
class RequestRunner
{
public:
    RequestRunner(http::HttpClient &client, std::string backendUrl, const shared::ConfigurationTable &configuration,
                  core::Incarnation incarnation, SideGate &gate);

    /// Forwards the request to the backend server, or refuses it without running it. A repeated attempt gets its kept
    /// answer if there is one.
    void start(const wire::PeerConnectionPointer &link, const wire::RequestStart &request);
    /// Cancels an idempotent request. A non-idempotent one runs to completion so that its answer can be kept.
    void cancel(const wire::RequestKey &key);
    /// Sends the kept answer of an earlier attempt. Without one, refuses the query and forbids the attempt if it has
    /// not been admitted.
    void handleKeptAnswerQuery(const wire::PeerConnectionPointer &link, const wire::KeptAnswerQuery &query);
    /// Cancels the idempotent requests of a lost connection.
    void linkLost(const wire::PeerConnectionPointer &link);
    /// Requests in flight by rank; those without a rank are counted for rank 0.
    std::map<core::RankIndex, std::uint32_t> inFlightByRank() const;
    std::size_t inFlight() const;

private:
    class Run;
    using RunPointer = std::shared_ptr<Run>;

    bool admitClaim(const wire::PeerConnectionPointer &link, const wire::RequestStart &request);
    void sendKeptAnswer(const wire::PeerConnectionPointer &link, const wire::RequestKey &key, const std::string &kept);
    void startTransfer(const RunPointer &run, const wire::RequestStart &request);
    void transferEnded(const RunPointer &run, const core::Status &status);

    http::HttpClient &m_client;
    std::string m_backendUrl;
    const shared::ConfigurationTable &m_configuration;
    SideGate &m_gate;
    core::SystemClock m_clock;
    mutable std::mutex m_mutex;
    std::map<wire::RequestKey, RunPointer> m_runs;
    decisions::idempotency::KeptAnswers m_keptAnswers;
};

} // namespace lycheelanding::daemon::side
