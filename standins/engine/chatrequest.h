#pragma once

#include "engine/enginesettings.h"
#include "lycheelanding/http/httpmessages.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheelanding::standins::engine {

/// A chat completion as a caller asks for it.
struct ChatRequest
{
    std::string model;
    std::vector<std::string> promptTokens;
    std::uint32_t maxTokens = 16;
    bool stream = false;
    std::optional<Rank> rank;
    /// Urgency of RFC 9218: 0 is the most urgent.
    std::uint32_t urgency = 3;
};

/// Throws std::exception when the request cannot be read.
ChatRequest chatRequestFrom(const http::HttpRequest &request);

/// The text of one answer token; the first begins with the prompt's first word.
std::string tokenText(const ChatRequest &request, std::uint32_t index);

/// One server-sent event that carries `text`.
std::string chunkEvent(const std::string &id, const std::string &model, const std::string &text);
/// The last events of a stream.
std::string endEvents(const std::string &id, const std::string &model);
Json completionBody(const std::string &id, const ChatRequest &request, const std::string &text);

} // namespace lycheelanding::standins::engine
