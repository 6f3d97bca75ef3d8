#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 server and client on Asio and http_parser: the interface to callers, operators, backend servers and the
/// platform's services.
namespace lycheelanding::http {

struct HttpHeader
{
    std::string name;
    std::string value;

    bool operator==(const HttpHeader &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, value);
    }
};

/// Header fields in the order in which they were added; names are compared case-insensitively.
class HttpHeaders
{
public:
    void add(std::string name, std::string value);

    /// Removes every field called `name`.
    void remove(std::string_view name);

    /// The value of the first field called `name`.
    std::optional<std::string> find(std::string_view name) const;
    const std::vector<HttpHeader> &fields() const { return m_fields; }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(m_fields);
    }

private:
    std::vector<HttpHeader> m_fields;
};

/// Whether two field names are equal, ignoring case.
bool isSameHeaderName(std::string_view left, std::string_view right);

/// How the end of an answer's body is marked.
enum class BodyFraming : std::uint8_t {
    /// The answer has no body.
    NoBody,
    ContentLength,
    Chunked,
    /// The body ends when the server closes the connection, so a body that was cut off is not recognised by HTTP.
    ConnectionEnd,
};

std::string_view nameOf(BodyFraming framing);
/// Whether answers with the status end with their head, whatever their fields say (1xx, 204 and 304).
bool hasNoBody(int status);
/// The framing of an answer to a request other than HEAD.
BodyFraming bodyFramingOf(int status, const HttpHeaders &headers);

struct HttpRequest
{
    std::string method;
    /// Path and query as sent, still percent-encoded.
    std::string target;
    HttpHeaders headers;
    std::string body;

    /// The target without its query, still percent-encoded.
    std::string_view path() const;
    /// The percent-decoded value of the first query parameter called `name`; empty for a parameter without a value.
    std::optional<std::string> queryParameter(std::string_view name) const;
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

/// The status line of an answer, including the trailing CRLF.
std::string statusLine(int status);
/// A request as sent on a connection, with a Content-Length if it has a body or its method expects one. Framing fields
/// of the request's headers, such as Transfer-Encoding, are left out. `host` is used unless the request has a Host
/// field.
std::string serializedRequest(const HttpRequest &request, std::string_view host);

/// A response with a JSON body.
HttpResponse jsonResponse(int status, std::string body);

} // namespace lycheelanding::http
