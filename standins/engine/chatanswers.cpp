#include "engine/chatanswers.h"

#include "common/httphelpers.h"

namespace lycheelanding::standins::engine {

void ChatAnswers::add(RequestId id, const http::HttpExchangePointer &exchange, const ChatRequest &request, Rank rank)
{
    const auto idempotencyKey = exchange->request().headers.find("Idempotency-Key").value_or("");
    m_journal.push_back({idempotencyKey, exchange->request().body, rank});
    m_answers[id] = {exchange, request, ""};
}

void ChatAnswers::write(const std::vector<EmittedToken> &tokens)
{
    for (const auto &token : tokens) {
        const auto found = m_answers.find(token.request);
        if (found == m_answers.end()) {
            continue;
        }
        writeToken(token.request, found->second, token);
        if (token.isLast) {
            m_answers.erase(found);
        }
    }
}

void ChatAnswers::writeToken(RequestId id, Answer &answer, const EmittedToken &token)
{
    const std::string name = "chat-" + std::to_string(id);
    const std::string text = tokenText(answer.request, token.index);
    if (!answer.request.stream) {
        answer.text += text;
        if (token.isLast) {
            common::respondJson(answer.exchange, 200, completionBody(name, answer.request, answer.text));
        }
        return;
    }
    if (token.index == 0) {
        http::HttpHeaders headers;
        headers.add("Content-Type", "text/event-stream");
        answer.exchange->startStream(200, headers);
    }
    answer.exchange->sendChunk(chunkEvent(name, answer.request.model, text));
    if (token.isLast) {
        answer.exchange->sendChunk(endEvents(name, answer.request.model));
        answer.exchange->finish();
    }
}

Json ChatAnswers::journal() const
{
    Json requests = Json::array();
    for (const auto &entry : m_journal) {
        requests.push_back({{"key", entry.idempotencyKey}, {"body", entry.body}, {"rank", entry.rank}});
    }
    return {{"requests", requests}};
}

} // namespace lycheelanding::standins::engine
