#include "rounds/soakcallers.h"

#include "harness/loadgenerator.h"

#include <asio/system_error.hpp>

#include <algorithm>

namespace lycheelanding::rounds {

namespace {

using harness::CallerAnswer;
using harness::CallerConnection;
using harness::ExchangeEnd;
using Json = nlohmann::json;

constexpr std::chrono::seconds requestTimeout(60);
/// The entry answers at the request's timeout, so the answer is overdue after this.
constexpr std::chrono::seconds answerTimeout(90);
constexpr std::chrono::milliseconds maxPause(40);
constexpr std::chrono::milliseconds noEntryDelay(20);
constexpr std::uint64_t minTokens = 5;
constexpr std::uint64_t maxTokens = 120;
constexpr std::uint64_t maxCallMs = 150;
constexpr std::size_t quotedBytes = 400;
constexpr int statusOk = 200;

SoakRequest nextRequest(std::size_t caller, std::size_t number, core::RandomSequence &random)
{
    // Half of the requests are streams.
    constexpr std::uint64_t shares = 4;
    const auto share = random.nextBelow(shares);
    const auto kind
        = share < 2 ? SoakRequestKind::Call : (share == 2 ? SoakRequestKind::Stream : SoakRequestKind::KeyedStream);
    const auto tokens = minTokens + random.nextBelow(maxTokens - minTokens);
    return {"c" + std::to_string(caller) + "n" + std::to_string(number), kind, tokens};
}

std::string promptOf(const SoakRequest &request)
{
    return request.id + " draft";
}

std::string textOf(const SoakRequest &request, const std::string &organisation, core::RandomSequence &random)
{
    const bool isCall = request.kind == SoakRequestKind::Call;
    const auto path = isCall ? "/run/" + request.id + "?delayMs=" + std::to_string(random.nextBelow(maxCallMs))
                             : std::string("/v1/chat/completions");
    const Json completion{{"model", "drafting"},
                          {"messages", {{{"role", "user"}, {"content", promptOf(request)}}}},
                          {"max_tokens", request.tokens},
                          {"stream", true}};
    const auto body = isCall ? request.id : completion.dump();
    auto text = "POST " + path + " HTTP/1.1\r\nHost: soak\r\nOrganisation: " + organisation
        + "\r\nContent-Type: application/json\r\nRequest-Timeout: " + std::to_string(requestTimeout.count())
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (request.kind != SoakRequestKind::Stream) {
        text += "Idempotency-Key: " + request.id + "\r\n";
    }
    return text + "\r\n" + body;
}

bool isOwnAnswer(const SoakRequest &request, const std::string &body)
{
    try {
        if (request.kind != SoakRequestKind::Call) {
            return harness::isExpectedCompletion(body, promptOf(request), request.tokens);
        }
        const auto answer = Json::parse(body);
        return answer.at("operation") == request.id && answer.at("count") == 1;
    } catch (const Json::exception &) {
        return false;
    }
}

/// All requests of the soak are valid, so a refusal must let the caller try again.
bool isRetryableRefusal(const std::string &body)
{
    const auto problem = Json::parse(body, nullptr, false);
    return problem.is_object() && problem.value("ran", "") == "no" && problem.contains("retryAfterMs");
}

} // namespace

SoakCallers::SoakCallers(std::vector<std::string> addresses, std::size_t callers, std::uint64_t seed, EventLog &log)
    : m_log(log), m_addresses(std::move(addresses))
{
    core::RandomSequence random(seed);
    for (std::size_t caller = 0; caller < callers; ++caller) {
        m_threads.emplace_back([this, caller, callerSeed = random.next()] { sendRequests(caller, callerSeed); });
    }
}

SoakCallers::~SoakCallers()
{
    stop();
}

void SoakCallers::setAddress(std::size_t entry, const std::string &address)
{
    const std::scoped_lock lock(m_mutex);
    m_addresses[entry] = address;
}

void SoakCallers::stop()
{
    m_isStopping = true;
    for (auto &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

void SoakCallers::sendRequests(std::size_t caller, std::uint64_t seed)
{
    core::RandomSequence random(seed);
    const std::string organisation = caller % 2 == 0 ? "fabricators" : "restorers";
    std::unique_ptr<CallerConnection> connection;
    std::size_t entry = 0;
    std::size_t number = 0;
    while (!m_isStopping) {
        if (!connection || !connection->isOpen()) {
            connection = connect(random.next(), entry);
            if (!connection) {
                std::this_thread::sleep_for(noEntryDelay);
                continue;
            }
        }
        const auto request = nextRequest(caller, number++, random);
        const auto answer = connection->exchange(textOf(request, organisation, random), answerTimeout);
        const auto outcome = judge(request, answer, entry);
        {
            const std::scoped_lock lock(m_mutex);
            m_outcomes.push_back({request, outcome});
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(random.nextBelow(maxPause.count())));
    }
}

std::unique_ptr<CallerConnection> SoakCallers::connect(std::size_t preferred, std::size_t &entry)
{
    std::vector<std::string> addresses;
    {
        const std::scoped_lock lock(m_mutex);
        addresses = m_addresses;
    }
    for (std::size_t step = 0; step < addresses.size(); ++step) {
        entry = (preferred + step) % addresses.size();
        try {
            return std::make_unique<CallerConnection>(addresses[entry]);
        } catch (const asio::system_error &) {
            continue; // The entry is down.
        }
    }
    return nullptr;
}

SoakOutcome SoakCallers::judge(const SoakRequest &request, const CallerAnswer &answer, std::size_t entry)
{
    if (answer.end == ExchangeEnd::Unread) {
        return SoakOutcome::Unread;
    }
    if (answer.end == ExchangeEnd::Answered && answer.status == statusOk && isOwnAnswer(request, answer.body)) {
        return SoakOutcome::Answered;
    }
    if (answer.end == ExchangeEnd::Answered && answer.status != statusOk && isRetryableRefusal(answer.body)) {
        return SoakOutcome::Refused;
    }
    const auto quotedFrom = answer.body.size() > quotedBytes ? answer.body.size() - quotedBytes : 0;
    m_log.recordViolation(request.id + " through entry-" + std::to_string(entry + 1) + ": "
                          + std::string(harness::nameOf(answer.end)) + ", status " + std::to_string(answer.status)
                          + ", body ends: " + answer.body.substr(quotedFrom));
    return SoakOutcome::Failed;
}

std::size_t SoakCallers::count(SoakOutcome outcome) const
{
    const std::scoped_lock lock(m_mutex);
    const auto count = std::count_if(m_outcomes.begin(), m_outcomes.end(),
                                     [outcome](const auto &finished) { return finished.outcome == outcome; });
    return static_cast<std::size_t>(count);
}

void SoakCallers::checkRuns(const std::map<std::string, std::size_t> &runs)
{
    for (const auto &[request, outcome] : m_outcomes) {
        const auto found = runs.find(request.id);
        const auto count = found == runs.end() ? 0 : found->second;
        if (request.kind != SoakRequestKind::Stream && count > 1) {
            m_log.recordViolation(request.id + " ran " + std::to_string(count) + " times");
        }
        if (outcome == SoakOutcome::Answered && count == 0) {
            m_log.recordViolation(request.id + " was answered but did not run");
        }
        if (outcome == SoakOutcome::Refused && count > 0) {
            m_log.recordViolation(request.id + " was refused as not run, but it ran");
        }
        if (outcome == SoakOutcome::Unread && count > 0) {
            m_log.recordViolation(request.id + " ran, but its connection was closed without an answer");
        }
    }
}

} // namespace lycheelanding::rounds
