#pragma once

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/core/result.h"

namespace lycheelanding::configuration {

/// Checks what the schema cannot say: references, rank numbers, slots, overlaps. Fails with InvalidPatch.
core::Status checkSemantics(const Document &document);

} // namespace lycheelanding::configuration
