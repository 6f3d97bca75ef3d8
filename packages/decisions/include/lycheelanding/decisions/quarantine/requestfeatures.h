#pragma once

#include "lycheelanding/core/ids.h"

#include <vector>

namespace lycheelanding::decisions::quarantine {

/// Something that a request may have in common with others, such as a part of its prompt: a system prompt or a
/// document.
using RequestFeature = core::TextId<struct RequestFeatureTag>;
using RequestFeatures = std::vector<RequestFeature>;

/// What a request has in common with others.
struct SharedFeatures
{
    /// Parts of its prompt that other requests may have too.
    RequestFeatures promptParts;
    /// Equal for repeats of the request.
    RequestFeature digest;
};

} // namespace lycheelanding::decisions::quarantine
