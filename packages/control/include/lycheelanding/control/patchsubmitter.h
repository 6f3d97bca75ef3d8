#pragma once

#include "lycheelanding/control/entryclient.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace lycheelanding::control {

struct PatchToSubmit
{
    std::uint64_t expectedVersion = 0;
    std::string id;
    /// JSON patch (RFC 6902).
    std::string text;
    std::string submittedBy;
};

struct PatchSubmitterSettings
{
    /// Counted from the first call; no retry starts once it has passed.
    std::chrono::milliseconds timeout = std::chrono::seconds(20);
    /// Wait after the first pass over all entries; doubles with each pass, up to maxDelay.
    std::chrono::milliseconds initialDelay = std::chrono::milliseconds(200);
    std::chrono::milliseconds maxDelay = std::chrono::seconds(2);
};

/// The version that the patch created, or the refusal: PatchUndecided when the patch may have been accepted.
struct SubmissionOutcome
{
    std::optional<std::uint64_t> acceptedVersion;
    Refusal refusal;
};

/// Submits a patch and retries it under the same id, through each entry in turn, until an answer is definite or the
/// timeout has passed.
class PatchSubmitter
{
public:
    PatchSubmitter(EntryClient &client, PatchSubmitterSettings settings);

    SubmissionOutcome submit(const PatchToSubmit &patch);

private:
    EntryClient &m_client;
    PatchSubmitterSettings m_settings;
};

/// 128 random bits as hexadecimal digits, so that ids practically never collide.
std::string randomPatchId();

} // namespace lycheelanding::control
