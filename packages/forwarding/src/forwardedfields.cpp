#include "lycheelanding/forwarding/forwardedfields.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace lycheelanding::forwarding {

namespace {

/// Hop-by-hop fields (RFC 9110, section 7.6.1) and fields that the entry itself handles.
constexpr std::array<std::string_view, 6> connectionFields{"Proxy-Connection", "Proxy-Authorization", "TE", "Upgrade",
                                                           "Expect",           "Accept-Encoding"};

/// Names the event after which an event stream is resumed (WHATWG HTML, server-sent events).
constexpr std::string_view lastEventField = "Last-Event-ID";

constexpr std::size_t maxPromptParts = 16;
constexpr std::size_t maxPromptPartBytes = 64;

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

bool isRemoved(std::string_view name, const FieldNames &names)
{
    const auto isName = [name](std::string_view other) { return http::isSameHeaderName(name, other); };
    return isName(names.key) || isName(names.organisation) || isName(names.timeLeft) || isName(names.expectedBackend)
        || std::any_of(connectionFields.begin(), connectionFields.end(), isName);
}

} // namespace

http::OutgoingRequest forwardedRequest(const http::HttpExchangePointer &exchange,
                                       const ForwardedFields &forwardedFields, const FieldNames &names)
{
    const auto &request = exchange->request();
    http::HttpHeaders headers;
    for (const auto &field : request.headers.fields()) {
        const bool isReplaced = forwardedFields.lastEvent && http::isSameHeaderName(field.name, lastEventField);
        if (!isRemoved(field.name, names) && !isReplaced) {
            headers.add(field.name, field.value);
        }
    }
    headers.add(names.timeLeft, std::to_string(std::max<std::int64_t>(forwardedFields.timeLeft.count(), 1)));
    headers.add(names.expectedBackend, forwardedFields.expectedBackend);
    if (forwardedFields.lastEvent) {
        headers.add(std::string(lastEventField), std::to_string(*forwardedFields.lastEvent));
    }
    if (!forwardedFields.organisation.isEmpty()) {
        headers.add(names.organisation, forwardedFields.organisation.text());
    }
    return {http::serializedHead(request, headers, "backend"), request.body, exchange};
}

std::optional<std::chrono::milliseconds> millisecondsIn(const http::HttpHeaders &headers, const std::string &name)
{
    constexpr std::uint64_t maxMilliseconds = 24ULL * 60 * 60 * 1000;
    const auto text = headers.find(name);
    const auto number = text ? parseNumber(*text) : std::nullopt;
    return number ? std::optional(std::chrono::milliseconds(std::min(*number, maxMilliseconds))) : std::nullopt;
}

TokenCounts tokenCountsOf(const http::HttpHeaders &headers, const FieldNames &names)
{
    TokenCounts counts;
    if (const auto text = headers.find(names.tokens)) {
        const auto comma = std::min(text->find(','), text->size());
        counts.prompt = parseNumber(std::string_view(*text).substr(0, comma)).value_or(0);
        counts.maxAnswer
            = comma < text->size() ? parseNumber(std::string_view(*text).substr(comma + 1)).value_or(0) : 0;
    }
    const auto hint = headers.find(names.lengthHint);
    counts.expectedAnswer = hint ? parseNumber(*hint).value_or(counts.maxAnswer) : counts.maxAnswer;
    if (counts.maxAnswer > 0) {
        counts.expectedAnswer = std::min(counts.expectedAnswer, counts.maxAnswer);
    }
    return counts;
}

std::string joinedText(const decisions::quarantine::RequestFeatures &parts)
{
    std::string text;
    for (const auto &part : parts) {
        text.append(text.empty() ? "" : " ").append(part.text());
    }
    return text;
}

decisions::quarantine::RequestFeatures sharedPromptPartsOf(const http::HttpHeaders &headers, const FieldNames &names)
{
    decisions::quarantine::RequestFeatures parts;
    const auto text = headers.find(names.promptParts);
    std::string_view rest = text ? std::string_view(*text) : std::string_view();
    for (auto comma = rest.find(','); comma != std::string_view::npos && parts.size() < maxPromptParts;
         comma = rest.find(',')) {
        auto id = rest.substr(0, std::min(rest.find(':'), comma));
        id.remove_prefix(std::min(id.find_first_not_of(' '), id.size()));
        if (!id.empty() && id.size() <= maxPromptPartBytes) {
            parts.emplace_back(std::string(id));
        }
        rest.remove_prefix(comma + 1);
    }
    return parts;
}

} // namespace lycheelanding::forwarding
