#pragma once

#include "engine/chatrequest.h"
#include "engine/rankbatch.h"
#include "lycheelanding/http/httpserver.h"

#include <map>
#include <string>
#include <vector>

namespace lycheelanding::standins::engine {

/// Answers in progress, and a journal of all requests that the engine has accepted.
class ChatAnswers
{
public:
    void add(RequestId id, const http::HttpExchangePointer &exchange, const ChatRequest &request, Rank rank);
    /// Sends the tokens of one step to their callers; answers that are not streamed are sent with the last token.
    void write(const std::vector<EmittedToken> &tokens);
    void remove(RequestId id) { m_answers.erase(id); }

    Json journal() const;

private:
    struct Answer
    {
        http::HttpExchangePointer exchange;
        ChatRequest request;
        std::string text;
    };

    struct JournalEntry
    {
        std::string idempotencyKey;
        std::string body;
        Rank rank = 0;
    };

    static void writeToken(RequestId id, Answer &answer, const EmittedToken &token);

    std::map<RequestId, Answer> m_answers;
    std::vector<JournalEntry> m_journal;
};

} // namespace lycheelanding::standins::engine
