#pragma once

#include "lycheelanding/core/ids.h"

#include <vector>

namespace lycheelanding::decisions::quarantine {

/// Id of a part of a prompt, such as a system prompt or a document.
using PromptPart = core::TextId<struct PromptPartTag>;
using PromptParts = std::vector<PromptPart>;

} // namespace lycheelanding::decisions::quarantine
