#pragma once

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/core/result.h"

namespace lycheelanding::configuration {

/// Checks constraints that the schema cannot express: unique ids and path prefixes, references, rank numbers, slots,
/// reserved paths and limits that depend on each other. Fails with InvalidPatch.
core::Status checkSemantics(const Document &document);

} // namespace lycheelanding::configuration
