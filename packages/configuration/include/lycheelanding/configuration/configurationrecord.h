#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/result.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace lycheelanding::configuration {

/// A patch as an operator submits it.
struct SubmittedPatch
{
    core::PatchId id;
    /// The version to which the patch applies; 0 is the empty document.
    core::ConfigurationVersion expectedVersion;
    /// JSON patch (RFC 6902).
    std::string text;
    /// Free text for the history.
    std::string submittedBy;
};

/// A patch that produced a version.
struct AcceptedPatch
{
    core::PatchId id;
    core::ConfigurationVersion version;
    /// stableHash() of the expected version and the text; distinguishes a resubmission from another patch with the same
    /// id.
    std::uint64_t fingerprint = 0;
    core::WallTime acceptedAt;
    std::string submittedBy;
    /// Empty if it was removed because it is too long or too old.
    std::string text;
};

/// The configuration as it is stored in the key-value service, in a single value.
struct ConfigurationRecord
{
    core::ConfigurationVersion version;
    std::string document;
    /// Newest last.
    std::deque<AcceptedPatch> patches;
};

/// Maximum size of an encoded record; the key-value service stores values of up to 1 MB.
inline constexpr std::size_t maxRecordBytes = 1'000'000;
/// Maximum number of patches in a record.
inline constexpr std::size_t maxStoredPatches = 200;
/// Maximum number of patches that are stored with their text, and the maximum size of such a text.
inline constexpr std::size_t maxStoredPatchTexts = 20;
inline constexpr std::size_t maxStoredPatchTextBytes = 4096;

/// Version 0 with the empty document.
ConfigurationRecord emptyRecord();

/// The record as JSON. Fails with InvalidPatch if it is larger than maxRecordBytes.
core::Result<std::string> encodeRecord(const ConfigurationRecord &record);
/// Fails with Internal if `text` is not a record.
core::Result<ConfigurationRecord> decodeRecord(std::string_view text);

/// The version that an earlier submission of this patch produced, or nothing.
/// Fails with InvalidPatch if its id was used for another patch.
core::Result<std::optional<core::ConfigurationVersion>> versionOfRepeat(const ConfigurationRecord &record,
                                                                        const SubmittedPatch &patch);

/// The record with `patch` applied and the next version. Fails with VersionConflict or InvalidPatch.
core::Result<ConfigurationRecord> applyToRecord(const ConfigurationRecord &record, const SubmittedPatch &patch,
                                                core::WallTime now);

/// The functions above as a RecordEditor for decisions::distribution::PatchAcceptance.
struct ConfigurationRecordEditor
{
    using Record = ConfigurationRecord;
    using Patch = SubmittedPatch;

    Record empty() const { return emptyRecord(); }
    core::Result<Record> decode(std::string_view text) const { return decodeRecord(text); }
    core::Result<std::string> encode(const Record &record) const { return encodeRecord(record); }
    core::Result<std::optional<core::ConfigurationVersion>> versionOfRepeat(const Record &record,
                                                                            const Patch &patch) const
    {
        return configuration::versionOfRepeat(record, patch);
    }
    core::Result<Record> apply(const Record &record, const Patch &patch, core::WallTime now) const
    {
        return applyToRecord(record, patch, now);
    }
    core::ConfigurationVersion version(const Record &record) const { return record.version; }
    const std::string &document(const Record &record) const { return record.document; }
};

/// The stored patches as a JSON array, newest first; the answer to GET /configuration/history.
std::string historyJson(const ConfigurationRecord &record);

} // namespace lycheelanding::configuration
