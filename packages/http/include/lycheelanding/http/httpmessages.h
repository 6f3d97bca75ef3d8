#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 for callers, operators, backend servers and the platform, on Asio and http_parser.
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

/// Header fields in their order; names compare without regard to case.
class HttpHeaders
{
public:
    void add(std::string name, std::string value);

    /// Drops every field called `name`.
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

/// Whether two field names are the same: case does not count.
bool isSameHeaderName(std::string_view left, std::string_view right);

struct HttpRequest
{
    std::string method;
    /// Path with query, as sent.
    std::string target;
    HttpHeaders headers;
    std::string body;

    std::string_view path() const;
    /// The percent-decoded value of a query parameter.
    std::optional<std::string> queryParameter(std::string_view name) const;
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

/// The status line of an answer with its line end.
std::string statusLine(int status);
/// A request with a body of known length, as sent on a connection. Fields of `headers` that frame the body are left
/// out.
std::string serializedRequest(const HttpRequest &request, std::string_view host);

/// A response with a JSON body.
HttpResponse jsonResponse(int status, std::string body);

} // namespace lycheelanding::http
