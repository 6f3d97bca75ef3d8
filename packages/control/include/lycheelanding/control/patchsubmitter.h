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
    /// RFC 6902.
    std::string text;
    std::string submittedBy;
};

struct PatchSubmitterSettings
{
    /// From the first call until the submitter gives up an undecided patch.
    std::chrono::milliseconds timeout = std::chrono::seconds(20);
    /// Before the first repeat; doubles up to the second one.
    std::chrono::milliseconds initialDelay = std::chrono::milliseconds(200);
    std::chrono::milliseconds maxDelay = std::chrono::seconds(2);
};

/// The version that the patch led to, or the refusal. PatchUndecided when the patch may have been accepted.
struct SubmissionOutcome
{
    std::optional<std::uint64_t> acceptedVersion;
    Refusal refusal;
};

/// Submits a patch, through one entry after the other and under the same id, until there is a definite answer.
class PatchSubmitter
{
public:
    PatchSubmitter(EntryClient &client, PatchSubmitterSettings settings);

    SubmissionOutcome submit(const PatchToSubmit &patch);

private:
    EntryClient &m_client;
    PatchSubmitterSettings m_settings;
};

/// An id that no other patch has, but for a vanishing chance.
std::string randomPatchId();

} // namespace lycheelanding::control
