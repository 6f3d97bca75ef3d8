#pragma once

#include "entry/answerwriter.h"
#include "entry/classifiedrequest.h"
#include "entry/entryservices.h"
#include "entry/requestclaim.h"
#include "entry/tokentimes.h"

#include "lycheelanding/decisions/attempts/requestattempts.h"
#include "lycheelanding/http/httpserver.h"
#include "lycheelanding/wire/messages.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace lycheelanding::daemon::entry {

/// One caller's request from admission to the end of its answer, over all its attempts. RequestAttempts decides what
/// may be resent and what the caller may be answered; this class executes its actions over the links to the sides.
///
/// Public members may be called from any thread; the work is done on the strand of the request.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    ForwardedRequest(EntryServices &services, http::HttpExchangePointer exchange, ClassifiedRequest request);

    void start();
    /// Gives up the request if it is not at a backend server.
    void stopSending();
    /// The process ends: answers the caller now.
    void abandon();
    void receive(const wire::RequestRefused &refused);
    void receive(const wire::AnswerHead &head);
    void receive(const wire::AnswerChunk &chunk);
    void receive(const wire::AnswerEnd &end);
    void receiveLinkLost(const wire::RequestKey &key, const core::Error &error);

private:
    using AttemptNumber = decisions::attempts::AttemptNumber;

    /// One message sent to a side that awaits an answer.
    struct Attempt
    {
        AttemptNumber number;
        wire::RequestKey key;
        wire::PeerConnectionPointer link;
        core::TimePoint sentAt;
        bool hasFirstToken = false;
        /// True when the message queries the kept answer of another attempt.
        bool isHolderQuery = false;
    };

    template <typename Handler>
    void post(Handler handler);
    bool isCurrent(const wire::RequestKey &key) const { return m_attempt && m_attempt->key == key; }

    void onAdmissionDecision(const core::Result<decisions::admission::Admitted> &result);
    void chooseBackend();
    void claimThenSend();
    void onClaimDecision(const ClaimDecision &decision);
    void send();
    /// Ends the attempt because there is no connection to the chosen side; nothing was sent.
    void endWithoutLink(AttemptNumber attempt);
    void queryHolder(const decisions::idempotency::Holder &holder);
    void holderRefused(const wire::RequestRefused &refused);
    /// Registers an attempt over the link to the VM. Returns false when there is no link.
    bool openAttempt(const core::VmId &vm, AttemptNumber number, bool isHolderQuery);
    wire::RequestStart startMessage() const;

    void onHead(const wire::AnswerHead &head);
    void onChunk(const wire::AnswerChunk &chunk);
    void onEnd(const wire::AnswerEnd &end);
    void recordAnswerStart();
    void attemptLost(const core::Error &error, decisions::routing::Outcome outcome);
    void execute(const decisions::attempts::AttemptActions &actions);
    void execute(const decisions::attempts::RetryPossible &action);
    void execute(const decisions::attempts::SendRequest &action);
    void execute(const decisions::attempts::CancelAttempt &action);
    void execute(const decisions::attempts::AnswerError &action);
    void execute(const decisions::attempts::BreakAnswer &action);
    void execute(const decisions::attempts::RequestDone &action);
    void chooseBackendAfter(core::Duration delay);
    /// Chooses again after a short interval while the backend servers are saturated; gives up after maxCapacityWait or
    /// on any other error.
    void waitForCapacity(const core::Error &error);
    void giveUpStopping();
    void onDeadline();
    void onCallerGone();

    void endAttempt(decisions::routing::Outcome outcome);
    void endWithError(RequestEndKind kind, core::ErrorKind error);
    void end(RequestEnd end);

    EntryServices &m_services;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::steady_timer m_deadlineTimer;
    asio::steady_timer m_retryTimer;
    core::SystemClock m_clock;
    const http::HttpExchangePointer m_exchange;
    const ClassifiedRequest m_request;
    const decisions::admission::TicketId m_ticketId;
    const core::TimePoint m_startedAt;
    const core::TimePoint m_deadline;
    // The members below are accessed only on the strand.
    TokenTimes m_tokenTimes;
    AnswerWriter m_writer;
    decisions::attempts::RequestAttempts m_requestAttempts;
    bool m_isAdmitted = false;
    bool m_isBeyondShare = false;
    bool m_isEnded = false;
    std::vector<core::VmId> m_triedVms;
    std::optional<decisions::routing::Choice> m_choice;
    /// The attempt that BackendTable counts as in flight.
    std::optional<decisions::routing::AttemptId> m_routingAttemptId;
    std::optional<Attempt> m_attempt;
    /// When to give up waiting for capacity; set when the first choice of a backend server has failed.
    std::optional<core::TimePoint> m_capacityDeadline;
    /// Set for a request with an idempotency key.
    std::optional<RequestClaim> m_claim;
};

template <typename Handler>
void ForwardedRequest::post(Handler handler)
{
    asio::post(m_strand, [self = shared_from_this(), handler = std::move(handler)] {
        if (!self->m_isEnded) {
            handler(*self);
        }
    });
}

} // namespace lycheelanding::daemon::entry
