#include "shared/forwardedheaders.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>
#include <string>
#include <string_view>

namespace lycheelanding::daemon::shared {

namespace {

constexpr std::array<std::string_view, 11> connectionFields{"connection",
                                                            "content-length",
                                                            "expect",
                                                            "host",
                                                            "keep-alive",
                                                            "proxy-authenticate",
                                                            "proxy-authorization",
                                                            "te",
                                                            "trailer",
                                                            "transfer-encoding",
                                                            "upgrade"};

constexpr std::string_view priorityField = "priority";

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

/// The parameters of a Priority field without `u`, each preceded by a comma.
std::string otherParameters(const std::string &priority)
{
    std::string others;
    std::istringstream parameters(priority);
    for (std::string parameter; std::getline(parameters, parameter, ',');) {
        const auto first = parameter.find_first_not_of(" \t");
        const bool isUrgency = first == std::string::npos || parameter.compare(first, 2, "u=") == 0;
        if (!isUrgency) {
            others += ", " + parameter.substr(first);
        }
    }
    return others;
}

} // namespace

http::HttpHeaders forwardedHeaders(const http::HttpHeaders &headers)
{
    http::HttpHeaders forwarded;
    for (const auto &field : headers.fields()) {
        const auto name = lowerCase(field.name);
        if (std::find(connectionFields.begin(), connectionFields.end(), name) == connectionFields.end()) {
            forwarded.add(field.name, field.value);
        }
    }
    return forwarded;
}

http::HttpHeaders withUrgency(const http::HttpHeaders &headers, std::uint8_t urgency)
{
    http::HttpHeaders changed;
    std::string others;
    for (const auto &field : headers.fields()) {
        if (lowerCase(field.name) == priorityField) {
            others += otherParameters(field.value);
        } else {
            changed.add(field.name, field.value);
        }
    }
    changed.add("Priority", "u=" + std::to_string(urgency) + others);
    return changed;
}

} // namespace lycheelanding::daemon::shared
