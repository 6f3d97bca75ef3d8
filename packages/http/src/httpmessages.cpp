#include "lycheelanding/http/httpmessages.h"

#include "lycheelanding/http/outgoingrequest.h"

#include "lycheelanding/core/nametable.h"

#include "private/headertext.h"
#include "private/reasonphrases.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace lycheelanding::http {

namespace {

char toAsciiLower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

constexpr int firstFinalStatus = 200;
constexpr int noContent = 204;
constexpr int notModified = 304;

constexpr std::array<core::NameEntry<BodyFraming>, 4> bodyFramingNames{{
    {BodyFraming::NoBody, "none"},
    {BodyFraming::ContentLength, "contentLength"},
    {BodyFraming::Chunked, "chunked"},
    {BodyFraming::ConnectionEnd, "connectionEnd"},
}};

/// A percent sign that is not followed by two hexadecimal digits is kept.
std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned byte = 0;
        if (text[index] == '%' && index + 2 < text.size()) {
            const char *const first = text.data() + index + 1;
            const auto [end, error] = std::from_chars(first, first + 2, byte, 16);
            if (error == std::errc() && end == first + 2) {
                decoded += static_cast<char>(byte);
                index += 2;
                continue;
            }
        }
        decoded += text[index];
    }
    return decoded;
}

} // namespace

bool isSameHeaderName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char one, char other) { return toAsciiLower(one) == toAsciiLower(other); });
}

std::string_view nameOf(BodyFraming framing)
{
    return core::nameIn(bodyFramingNames, framing);
}

bool hasNoBody(int status)
{
    return status < firstFinalStatus || status == noContent || status == notModified;
}

BodyFraming bodyFramingOf(int status, const HttpHeaders &headers)
{
    if (hasNoBody(status)) {
        return BodyFraming::NoBody;
    }
    if (const auto encoding = headers.find("Transfer-Encoding")) {
        constexpr std::string_view chunked = "chunked";
        const bool isChunked = encoding->size() >= chunked.size()
            && isSameHeaderName(std::string_view(*encoding).substr(encoding->size() - chunked.size()), chunked);
        return isChunked ? BodyFraming::Chunked : BodyFraming::ConnectionEnd;
    }
    return headers.find("Content-Length") ? BodyFraming::ContentLength : BodyFraming::ConnectionEnd;
}

bool isFramingHeader(std::string_view name)
{
    constexpr std::array<std::string_view, 5> names{"content-length", "transfer-encoding", "connection", "keep-alive",
                                                    "trailer"};
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view framing) { return isSameHeaderName(framing, name); });
}

void appendHeaderLine(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

void appendHeaderLines(std::string &text, const HttpHeaders &headers)
{
    for (const auto &field : headers.fields()) {
        if (!isFramingHeader(field.name)) {
            appendHeaderLine(text, field.name, field.value);
        }
    }
}

std::string statusLine(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonPhrase(status)) + "\r\n";
}

std::string serializedHead(const HttpRequest &request, const HttpHeaders &headers, std::string_view host)
{
    std::string text;
    constexpr std::size_t typicalHeadBytes = 512;
    text.reserve(typicalHeadBytes);
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    if (!headers.find("Host")) {
        appendHeaderLine(text, "Host", host);
    }
    appendHeaderLines(text, headers);
    const bool isBodyExpected = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (isBodyExpected || !request.body.empty()) {
        appendHeaderLine(text, "Content-Length", std::to_string(request.body.size()));
    }
    return text.append("\r\n");
}

std::string serializedRequest(const HttpRequest &request, std::string_view host)
{
    return serializedHead(request, request.headers, host).append(request.body);
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(m_fields, [name](const HttpHeader &field) { return isSameHeaderName(field.name, name); });
}

void HttpHeaders::add(std::string name, std::string value)
{
    m_fields.push_back({std::move(name), std::move(value)});
}

std::optional<std::string> HttpHeaders::find(std::string_view name) const
{
    for (const auto &field : m_fields) {
        if (isSameHeaderName(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> HttpRequest::queryParameter(std::string_view name) const
{
    const auto start = target.find('?');
    if (start == std::string::npos) {
        return std::nullopt;
    }
    std::string_view rest = std::string_view(target).substr(start + 1);
    while (!rest.empty()) {
        const std::string_view parameter = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), parameter.size() + 1));
        const auto equals = parameter.find('=');
        if (percentDecoded(parameter.substr(0, equals)) != name) {
            continue;
        }
        return equals == std::string_view::npos ? std::string() : percentDecoded(parameter.substr(equals + 1));
    }
    return std::nullopt;
}

HttpResponse jsonResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

} // namespace lycheelanding::http
