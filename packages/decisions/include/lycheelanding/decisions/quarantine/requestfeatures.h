#pragma once

#include "lycheelanding/core/ids.h"

#include <vector>

namespace lycheelanding::decisions::quarantine {

/// Something that a request may have in common with others, such as a part of its prompt: a system prompt or a
/// document.
using RequestFeature = core::TextId<struct RequestFeatureTag>;
using RequestFeatures = std::vector<RequestFeature>;

} // namespace lycheelanding::decisions::quarantine
