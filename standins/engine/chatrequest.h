#pragma once

#include "engine/enginesettings.h"
#include "lycheelanding/http/httpmessages.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheelanding::standins::engine {

/// Parameters of a chat completion request.
struct ChatRequest
{
    std::string model;
    std::vector<std::string> promptTokens;
    std::uint32_t maxTokens = 16;
    bool stream = false;
    std::optional<Rank> rank;
    /// Urgency of RFC 9218, from 0 (highest) to 7.
    std::uint32_t urgency = 3;
};

/// Throws std::exception for a malformed request.
ChatRequest chatRequestFrom(const http::HttpRequest &request);

/// The text of one answer token: "t0", " t1", and so on; the first starts with the first word of the prompt.
std::string tokenText(const ChatRequest &request, std::uint32_t index);

/// A server-sent event with one chunk of a streamed completion.
std::string chunkEvent(const std::string &id, const std::string &model, const std::string &text);
/// The last events of a streamed completion: the finish reason and [DONE].
std::string endEvents(const std::string &id, const std::string &model);
/// Body of a completion that is not streamed.
Json completionBody(const std::string &id, const ChatRequest &request, const std::string &text);

} // namespace lycheelanding::standins::engine
