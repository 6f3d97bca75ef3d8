#include "private/reasonphrases.h"

#include <algorithm>
#include <array>

namespace lycheelanding::http {

namespace {

struct ReasonPhrase
{
    int status;
    std::string_view phrase;
};

constexpr std::array<ReasonPhrase, 26> reasonPhrases{{
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {304, "Not Modified"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {412, "Precondition Failed"},
    {413, "Content Too Large"},
    {415, "Unsupported Media Type"},
    {421, "Misdirected Request"},
    {422, "Unprocessable Content"},
    {428, "Precondition Required"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {499, "Client Closed Request"},
    {500, "Internal Server Error"},
    {501, "Not Implemented"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

} // namespace

std::string_view reasonPhrase(int status)
{
    const auto *const found = std::find_if(reasonPhrases.begin(), reasonPhrases.end(),
                                           [status](const ReasonPhrase &row) { return row.status == status; });
    return found == reasonPhrases.end() ? "Other" : found->phrase;
}

} // namespace lycheelanding::http
