#include "lycheelanding/control/patchsubmitter.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <thread>

namespace lycheelanding::control {

namespace {

http::HttpClientRequest requestFor(const PatchToSubmit &patch)
{
    auto request = entryRequest("PATCH", "/configuration");
    request.headers.add("Content-Type", "application/json-patch+json");
    request.headers.add("If-Match", fmt::format("\"{}\"", patch.expectedVersion));
    request.headers.add("Patch-Id", patch.id);
    if (!patch.submittedBy.empty()) {
        request.headers.add("Submitted-By", patch.submittedBy);
    }
    request.body = patch.text;
    return request;
}

/// Whether a retry, at another entry or later, can succeed.
bool isRetriable(core::ErrorKind kind)
{
    return core::answerOf(kind).retryCanSucceed || kind == core::ErrorKind::DeadlineExceeded
        || kind == core::ErrorKind::BackendServerLost || kind == core::ErrorKind::AnswerTruncated;
}

SubmissionOutcome outcomeOf(const core::Result<http::HttpResponse> &result)
{
    if (!core::isOk(result)) {
        return {std::nullopt, {core::errorOf(result), std::nullopt}};
    }
    const auto &response = core::valueOf(result);
    if (response.status != 200) {
        return {std::nullopt, refusalOf(response)};
    }
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (!json.is_object() || !json.contains("version") || !json["version"].is_number_unsigned()) {
        return {std::nullopt, {{core::ErrorKind::PatchUndecided, "the answer names no version"}, std::nullopt}};
    }
    return {json["version"].get<std::uint64_t>(), {}};
}

} // namespace

PatchSubmitter::PatchSubmitter(EntryClient &client, PatchSubmitterSettings settings)
    : m_client(client), m_settings(settings)
{ }

SubmissionOutcome PatchSubmitter::submit(const PatchToSubmit &patch)
{
    const auto end = std::chrono::steady_clock::now() + m_settings.timeout;
    auto delay = m_settings.initialDelay;
    bool mayHaveBeenAccepted = false;
    for (std::size_t attempt = 0;; ++attempt) {
        const auto &entry = m_client.entries()[attempt % m_client.entries().size()];
        auto outcome = outcomeOf(m_client.call(entry, requestFor(patch)));
        const auto kind = outcome.refusal.error.kind;
        if (outcome.acceptedVersion || !isRetriable(kind)) {
            return outcome;
        }
        mayHaveBeenAccepted = mayHaveBeenAccepted || core::answerOf(kind).ran != core::Ran::No;
        // Each entry is tried once, however long the earlier ones took to fail.
        const bool hasTriedAll = attempt + 1 >= m_client.entries().size();
        if (hasTriedAll && std::chrono::steady_clock::now() + delay >= end) {
            // An earlier attempt may have been accepted even if the last one has reached no entry.
            outcome.refusal.error.kind = mayHaveBeenAccepted ? core::ErrorKind::PatchUndecided : kind;
            return outcome;
        }
        // Waits only after each pass over all entries.
        if ((attempt + 1) % m_client.entries().size() == 0) {
            std::this_thread::sleep_for(delay);
            delay = std::min(2 * delay, m_settings.maxDelay);
        }
    }
}

std::string randomPatchId()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", device(), device(), device(), device());
}

} // namespace lycheelanding::control
