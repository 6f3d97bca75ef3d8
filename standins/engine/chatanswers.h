#pragma once

#include "engine/chatrequest.h"
#include "engine/rankbatch.h"
#include "lycheelanding/http/httpserver.h"

#include <map>
#include <string>
#include <vector>

namespace lycheelanding::standins::engine {

/// The answers in progress, and the journal of all requests that came.
class ChatAnswers
{
public:
    void add(RequestId id, const http::HttpExchangePointer &exchange, const ChatRequest &request, Rank rank);
    /// Writes the tokens of one step to their callers.
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
