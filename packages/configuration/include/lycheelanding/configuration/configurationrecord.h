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
    /// The version that the patch was made for; 0 stands for the empty document.
    core::ConfigurationVersion expectedVersion;
    /// RFC 6902.
    std::string text;
    /// Free text for the history.
    std::string submittedBy;
};

/// A patch that led to a version.
struct AcceptedPatch
{
    core::PatchId id;
    core::ConfigurationVersion version;
    /// stableHash() of the expected version and the text: tells a repeat from another patch under the same id.
    std::uint64_t fingerprint = 0;
    core::WallTime acceptedAt;
    std::string submittedBy;
    /// Empty when it is left out, because it is long or old.
    std::string text;
};

/// The one value that the key-value service holds for the configuration.
struct ConfigurationRecord
{
    core::ConfigurationVersion version;
    std::string document;
    /// Newest last.
    std::deque<AcceptedPatch> patches;
};

/// Most bytes of an encoded record; the key-value service holds values up to a megabyte.
inline constexpr std::size_t maxRecordBytes = 1'000'000;
/// Patches that a record remembers.
inline constexpr std::size_t maxStoredPatches = 200;
/// Patches that are remembered with their text, and the longest text that is.
inline constexpr std::size_t maxStoredPatchTexts = 20;
inline constexpr std::size_t maxStoredPatchTextBytes = 4096;

/// Version 0 with the empty document.
ConfigurationRecord emptyRecord();

/// JSON text. Fails with InvalidPatch when it would be larger than maxRecordBytes.
core::Result<std::string> encodeRecord(const ConfigurationRecord &record);
/// Fails with Internal when `text` is no record.
core::Result<ConfigurationRecord> decodeRecord(std::string_view text);

/// The version that this submission led to earlier, or nothing.
/// Fails with InvalidPatch when its id was used for another patch.
core::Result<std::optional<core::ConfigurationVersion>> versionOfRepeat(const ConfigurationRecord &record,
                                                                        const SubmittedPatch &patch);

/// The record after `patch`, with the next version. Fails with VersionConflict or InvalidPatch.
core::Result<ConfigurationRecord> applyToRecord(const ConfigurationRecord &record, const SubmittedPatch &patch,
                                                core::WallTime now);

/// The record operations as one object, for decisions::distribution::PatchAcceptance.
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

/// The remembered patches, newest first, as a JSON array; for GET /configuration/history.
std::string historyJson(const ConfigurationRecord &record);

} // namespace lycheelanding::configuration
