#include "entry/private/patchrequest.h"

#include <string>

namespace lycheelanding::daemon::entry {

namespace {

constexpr std::size_t maxPatchIdBytes = 128;
constexpr std::size_t maxVersionDigits = 18;
constexpr auto patchIdCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._:-";
constexpr auto digits = "0123456789";

core::Error malformed(const std::string &detail)
{
    return core::Error{core::ErrorKind::MalformedRequest, detail};
}

std::string withoutQuotes(const std::string &text)
{
    const bool isQuoted = text.size() >= 2 && text.front() == '"' && text.back() == '"';
    return isQuoted ? text.substr(1, text.size() - 2) : text;
}

} // namespace

core::Result<configuration::SubmittedPatch> patchFrom(const http::HttpRequest &request)
{
    if (request.headers.find("Content-Type").value_or("").rfind("application/json-patch+json", 0) != 0) {
        return malformed("Content-Type is not application/json-patch+json");
    }
    const auto version = withoutQuotes(request.headers.find("If-Match").value_or(""));
    if (version.empty() || version.size() > maxVersionDigits
        || version.find_first_not_of(digits) != std::string::npos) {
        return malformed("If-Match does not name a version");
    }
    const auto id = request.headers.find("Patch-Id").value_or("");
    if (id.empty() || id.size() > maxPatchIdBytes || id.find_first_not_of(patchIdCharacters) != std::string::npos) {
        return malformed("Patch-Id is missing or has characters other than letters, digits and . _ : -");
    }
    configuration::SubmittedPatch patch;
    patch.id = core::PatchId(id);
    patch.expectedVersion = core::ConfigurationVersion(std::stoull(version));
    patch.text = request.body;
    patch.submittedBy = request.headers.find("Submitted-By").value_or("");
    return patch;
}

} // namespace lycheelanding::daemon::entry
