#include "lycheelanding/forwarding/forwardedfields.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace lycheelanding::forwarding {

namespace {

/// Fields that concern one connection (RFC 9110, section 7.6.1) or ask it for something that an entry answers itself.
constexpr std::array<std::string_view, 6> connectionFields{"Proxy-Connection", "Proxy-Authorization", "TE", "Upgrade",
                                                           "Expect",           "Accept-Encoding"};

/// Where an event stream is to be gone on with (WHATWG HTML, server-sent events).
constexpr std::string_view lastEventField = "Last-Event-ID";

std::optional<std::uint64_t> numberIn(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

bool isDropped(std::string_view name, const FieldNames &names)
{
    const auto isName = [name](std::string_view other) { return http::isSameHeaderName(name, other); };
    return isName(names.key) || isName(names.organisation) || isName(names.timeLeft) || isName(names.expectedBackend)
        || std::any_of(connectionFields.begin(), connectionFields.end(), isName);
}

} // namespace

std::string forwardedRequest(const http::HttpRequest &request, const ForwardedFields &forwardedFields,
                             const FieldNames &names)
{
    http::HttpRequest result{request.method, request.target, {}, request.body};
    for (const auto &field : request.headers.fields()) {
        const bool isReplaced = forwardedFields.lastEvent && http::isSameHeaderName(field.name, lastEventField);
        if (!isDropped(field.name, names) && !isReplaced) {
            result.headers.add(field.name, field.value);
        }
    }
    result.headers.add(names.timeLeft, std::to_string(std::max<std::int64_t>(forwardedFields.timeLeft.count(), 1)));
    result.headers.add(names.expectedBackend, forwardedFields.expectedBackend);
    if (forwardedFields.lastEvent) {
        result.headers.add(std::string(lastEventField), std::to_string(*forwardedFields.lastEvent));
    }
    if (!forwardedFields.organisation.isEmpty()) {
        result.headers.add(names.organisation, forwardedFields.organisation.text());
    }
    return http::serializedRequest(result, "backend");
}

std::optional<std::chrono::milliseconds> millisecondsIn(const http::HttpHeaders &headers, const std::string &name)
{
    constexpr std::uint64_t longest = 24ULL * 60 * 60 * 1000;
    const auto text = headers.find(name);
    const auto number = text ? numberIn(*text) : std::nullopt;
    return number ? std::optional(std::chrono::milliseconds(std::min(*number, longest))) : std::nullopt;
}

TokenCounts tokenCountsOf(const http::HttpHeaders &headers, const FieldNames &names)
{
    TokenCounts figures;
    if (const auto text = headers.find(names.tokens)) {
        const auto comma = std::min(text->find(','), text->size());
        figures.prompt = numberIn(std::string_view(*text).substr(0, comma)).value_or(0);
        figures.maxAnswer = comma < text->size() ? numberIn(std::string_view(*text).substr(comma + 1)).value_or(0) : 0;
    }
    const auto hint = headers.find(names.lengthHint);
    figures.expectedAnswer = hint ? numberIn(*hint).value_or(figures.maxAnswer) : figures.maxAnswer;
    if (figures.maxAnswer > 0) {
        figures.expectedAnswer = std::min(figures.expectedAnswer, figures.maxAnswer);
    }
    return figures;
}

} // namespace lycheelanding::forwarding
