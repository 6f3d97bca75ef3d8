#include "engine/chatrequest.h"

#include <algorithm>
#include <sstream>
#include <string_view>

namespace lycheelanding::standins::engine {

namespace {

constexpr std::uint32_t lowestUrgency = 7;

std::vector<std::string> tokenizeMessages(const Json &messages)
{
    std::vector<std::string> words;
    for (const auto &message : messages) {
        std::istringstream content(message.value("content", std::string()));
        std::string word;
        while (content >> word) {
            words.push_back(word);
        }
    }
    return words;
}

/// Accepts "5" as well as the structured field "u=5, i".
std::uint32_t urgencyFrom(std::string_view header)
{
    const auto digit = header.find_first_of("01234567");
    return digit == std::string_view::npos ? lowestUrgency : static_cast<std::uint32_t>(header[digit] - '0');
}

std::string completionChunkEvent(const std::string &id, const std::string &model, const Json &delta,
                                 const Json &finishReason)
{
    const Json body{{"id", id},
                    {"object", "chat.completion.chunk"},
                    {"model", model},
                    {"choices", Json::array({{{"index", 0}, {"delta", delta}, {"finish_reason", finishReason}}})}};
    return "data: " + body.dump() + "\n\n";
}

} // namespace

ChatRequest chatRequestFrom(const http::HttpRequest &request)
{
    const Json body = Json::parse(request.body);
    ChatRequest chat;
    chat.model = body.value("model", std::string());
    chat.promptTokens = tokenizeMessages(body.at("messages"));
    chat.maxTokens = std::max(1U, body.value("max_tokens", chat.maxTokens));
    chat.stream = body.value("stream", false);
    if (const auto rank = request.headers.find("X-Rank")) {
        chat.rank = static_cast<Rank>(std::stoul(*rank));
    } else if (body.contains("rank")) {
        chat.rank = body["rank"].get<Rank>();
    }
    if (const auto priority = request.headers.find("Priority")) {
        chat.urgency = urgencyFrom(*priority);
    }
    return chat;
}

std::string tokenText(const ChatRequest &request, std::uint32_t index)
{
    const std::string token = "t" + std::to_string(index);
    if (index > 0) {
        return " " + token;
    }
    return request.promptTokens.empty() ? token : request.promptTokens.front() + " " + token;
}

std::string chunkEvent(const std::string &id, const std::string &model, const std::string &text)
{
    return completionChunkEvent(id, model, {{"content", text}}, nullptr);
}

std::string endEvents(const std::string &id, const std::string &model)
{
    return completionChunkEvent(id, model, Json::object(), "length") + "data: [DONE]\n\n";
}

Json completionBody(const std::string &id, const ChatRequest &request, const std::string &text)
{
    return {
        {"id", id},
        {"object", "chat.completion"},
        {"model", request.model},
        {"choices",
         Json::array(
             {{{"index", 0}, {"message", {{"role", "assistant"}, {"content", text}}}, {"finish_reason", "length"}}})},
        {"usage", {{"prompt_tokens", request.promptTokens.size()}, {"completion_tokens", request.maxTokens}}}};
}

} // namespace lycheelanding::standins::engine
