#pragma once

#include "lycheelanding/core/result.h"

#include <string>
#include <string_view>

namespace lycheelanding::configuration {

/// Applies a JSON patch (RFC 6902), validates the new document and returns its text.
///
/// Fails with InvalidPatch and "<JSON pointer>: <reason>". The pointer refers to the patch if an operation cannot be
/// applied, and to the new document if that is invalid. idempotency.partitions cannot be changed, since the record of
/// a key would then be looked up in a partition that does not hold it.
core::Result<std::string> applyPatch(std::string_view documentText, std::string_view patchText);

} // namespace lycheelanding::configuration
