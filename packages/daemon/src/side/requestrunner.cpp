#include "side/requestrunner.h"

#include "side/answersender.h"
#include "side/backendanswer.h"

#include "lycheelanding/services/modelengine.h"

#include <optional>

namespace lycheelanding::daemon::side {

namespace {

using decisions::idempotency::AdmissionVerdict;
using decisions::idempotency::AttemptNonce;
using decisions::idempotency::AttemptState;

/// Larger answers are not kept for repeated requests.
constexpr std::size_t maxKeptAnswerBytes = std::size_t{256} * 1024;

decisions::idempotency::AttemptClaim attemptClaimFrom(const wire::ClaimReference &claim)
{
    return {AttemptNonce(claim.nonce), claim.sideIncarnation,
            core::WallTime(std::chrono::milliseconds(claim.claimedAtMs))};
}

core::Error admissionError(AdmissionVerdict verdict)
{
    if (verdict == AdmissionVerdict::OutsideWindow) {
        return core::Error{core::ErrorKind::IdempotencyKeyExpired, "the claim is too old to be admitted"};
    }
    if (verdict == AdmissionVerdict::OtherIncarnation) {
        return core::Error{core::ErrorKind::NoBackendServer, "the side has been restarted since the claim"};
    }
    return core::Error{core::ErrorKind::Overloaded, "the table of admitted claims is full"};
}

} // namespace

/// One request at the backend server. Its handlers run on the HTTP client's thread, one at a time.
class RequestRunner::Run
{
public:
    Run(wire::PeerConnectionPointer link, const wire::RequestStart &request,
        const shared::ConfigurationTable &configuration)
        : key(request.key), entryLink(link), sender(std::move(link), request.key, configuration),
          isIdempotent(request.isIdempotent), claimNonce(request.claim ? request.claim->nonce : 0),
          rank(request.rank.value_or(0))
    { }

    bool isKeepingAnswer() const { return claimNonce.number() != 0 && answer.body.size() <= maxKeptAnswerBytes; }

    const wire::RequestKey key;
    const wire::PeerConnectionPointer entryLink;
    AnswerSender sender;
    const bool isIdempotent;
    const AttemptNonce claimNonce;
    const core::RankIndex rank;
    bool hasHead = false;
    BackendAnswer answer;
    /// Guarded by the runner's mutex.
    std::optional<http::HttpTransferId> transfer;
};

RequestRunner::RequestRunner(http::HttpClient &client, std::string backendUrl,
                             const shared::ConfigurationTable &configuration, core::Incarnation incarnation,
                             SideGate &gate)
    : m_client(client), m_backendUrl(std::move(backendUrl)), m_configuration(configuration), m_gate(gate),
      m_keptAnswers(decisions::idempotency::KeptAnswersSettings(), incarnation)
{ }

void RequestRunner::start(const wire::PeerConnectionPointer &link, const wire::RequestStart &request)
{
    const auto admitted = m_gate.admit();
    if (!core::isOk(admitted)) {
        AnswerSender(link, request.key, m_configuration).refuse(core::errorOf(admitted));
        return;
    }
    if (request.claim && !admitClaim(link, request)) {
        m_gate.requestFinished();
        return;
    }
    const auto run = std::make_shared<Run>(link, request, m_configuration);
    bool isNew = false;
    {
        const std::scoped_lock lock(m_mutex);
        isNew = m_runs.emplace(request.key, run).second;
    }
    if (!isNew) {
        m_gate.requestFinished(); // A duplicate of a request in flight.
        return;
    }
    startTransfer(run, request);
}

bool RequestRunner::admitClaim(const wire::PeerConnectionPointer &link, const wire::RequestStart &request)
{
    const auto attempt = attemptClaimFrom(*request.claim);
    AdmissionVerdict verdict{};
    std::optional<std::string> keptAnswer;
    {
        const std::scoped_lock lock(m_mutex);
        verdict = m_keptAnswers.admit(attempt, m_clock.wallNow());
        if (const auto *answer = m_keptAnswers.answerOf(attempt.nonce); answer != nullptr) {
            keptAnswer = *answer;
        }
    }
    if (verdict == AdmissionVerdict::Admitted) {
        return true;
    }
    AnswerSender sender(link, request.key, m_configuration);
    if (verdict != AdmissionVerdict::Repeated) {
        sender.refuse(admissionError(verdict));
    } else if (keptAnswer) {
        sendKeptAnswer(link, request.key, *keptAnswer);
    } else {
        sender.fail({core::ErrorKind::AlreadyClaimed, "this attempt was admitted before"});
    }
    return false;
}

void RequestRunner::startTransfer(const RunPointer &run, const wire::RequestStart &request)
{
    http::HttpClientRequest transfer;
    transfer.method = request.method;
    transfer.url = m_backendUrl + request.target;
    transfer.headers = request.headers;
    if (request.rank) {
        transfer.headers.add(std::string(services::rankHeader), std::to_string(*request.rank));
    }
    transfer.body = request.body;
    transfer.timeout = std::chrono::milliseconds(request.timeoutMs);
    transfer.maxBodyBytes = 0;
    // Answers of backend servers do not name their request.
    transfer.sharesConnection = false;

    http::HttpClientHandlers handlers;
    handlers.onHead = [run](int status, const http::HttpHeaders &headers) {
        run->hasHead = true;
        run->answer.status = static_cast<std::uint16_t>(status);
        run->answer.headers = headers;
        run->sender.sendHead(status, headers);
    };
    handlers.onChunk = [run](std::string_view bytes) {
        if (run->isKeepingAnswer()) {
            run->answer.body += bytes;
        }
        run->sender.sendChunk(bytes);
    };
    handlers.onDone = [this, run](const core::Status &status) { transferEnded(run, status); };

    // Started under the lock, so that transferEnded() cannot remove the run before its transfer ID is stored.
    const std::scoped_lock lock(m_mutex);
    run->transfer = m_client.start(std::move(transfer), std::move(handlers));
}

void RequestRunner::transferEnded(const RunPointer &run, const core::Status &status)
{
    const bool isComplete = core::isOk(status) && run->hasHead;
    const bool isUnconnected = !core::isOk(status) && core::errorOf(status).kind == core::ErrorKind::PeerUnreachable;
    {
        const std::scoped_lock lock(m_mutex);
        m_runs.erase(run->key);
        if (run->claimNonce.number() != 0) {
            if (isUnconnected) {
                m_keptAnswers.abandon(run->claimNonce);
            } else if (isComplete && run->isKeepingAnswer()) {
                m_keptAnswers.finish(run->claimNonce, encodeAnswer(run->answer));
            }
        }
    }
    if (isComplete) {
        run->sender.finish();
    } else if (isUnconnected) {
        run->sender.refuse({core::ErrorKind::NoBackendServer, "the backend server accepts no connection"});
    } else if (core::isOk(status)) {
        run->sender.fail({core::ErrorKind::BackendServerFailed, "the backend server sent no answer"});
    } else {
        run->sender.fail(core::errorOf(status));
    }
    m_gate.requestFinished();
}

void RequestRunner::cancel(const wire::RequestKey &key)
{
    std::optional<http::HttpTransferId> transfer;
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_runs.find(key);
        if (found == m_runs.end() || !found->second->isIdempotent) {
            return;
        }
        transfer = found->second->transfer;
    }
    if (transfer) {
        m_client.cancel(*transfer);
    }
}

void RequestRunner::handleKeptAnswerQuery(const wire::PeerConnectionPointer &link, const wire::KeptAnswerQuery &query)
{
    const auto attempt = attemptClaimFrom(query.claim);
    std::optional<std::string> keptAnswer;
    AttemptState state = AttemptState::Unknown;
    {
        const std::scoped_lock lock(m_mutex);
        if (const auto *answer = m_keptAnswers.answerOf(attempt.nonce); answer != nullptr) {
            keptAnswer = *answer;
        } else {
            state = m_keptAnswers.forbid(attempt, m_clock.wallNow());
        }
    }
    if (keptAnswer) {
        sendKeptAnswer(link, query.key, *keptAnswer);
        return;
    }
    AnswerSender sender(link, query.key, m_configuration);
    if (state == AttemptState::Forbidden) {
        sender.refuse({core::ErrorKind::NoBackendServer, "the earlier attempt has not run and will not"});
    } else {
        sender.refuse({core::ErrorKind::AlreadyClaimed, "the earlier attempt runs or has run; its answer is not kept"});
    }
}

void RequestRunner::sendKeptAnswer(const wire::PeerConnectionPointer &link, const wire::RequestKey &key,
                                   const std::string &keptAnswer)
{
    AnswerSender sender(link, key, m_configuration);
    const auto answer = decodeAnswer(keptAnswer);
    if (!core::isOk(answer)) {
        sender.fail(core::errorOf(answer));
        return;
    }
    const auto &whole = core::valueOf(answer);
    sender.sendHead(whole.status, whole.headers);
    sender.sendChunk(whole.body);
    sender.finish();
}

void RequestRunner::linkLost(const wire::PeerConnectionPointer &link)
{
    std::vector<wire::RequestKey> cancelled;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[key, run] : m_runs) {
            if (run->entryLink == link) {
                cancelled.push_back(key);
            }
        }
    }
    for (const auto &key : cancelled) {
        cancel(key);
    }
}

std::map<core::RankIndex, std::uint32_t> RequestRunner::inFlightByRank() const
{
    const std::scoped_lock lock(m_mutex);
    std::map<core::RankIndex, std::uint32_t> counts;
    for (const auto &[key, run] : m_runs) {
        ++counts[run->rank];
    }
    return counts;
}

std::size_t RequestRunner::inFlight() const
{
    const std::scoped_lock lock(m_mutex);
    return m_runs.size();
}

} // namespace lycheelanding::daemon::side
