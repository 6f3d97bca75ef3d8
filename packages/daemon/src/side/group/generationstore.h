#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/services/keyvaluestore.h"

#include <functional>
#include <string>

namespace lycheelanding::daemon::side::group {

/// Allocates the generation numbers of a rank group. Compare-and-swap in the key-value service ensures that each number
/// is granted only once.
class GenerationStore
{
public:
    GenerationStore(services::HttpKeyValueStore &store, const core::GroupId &group);

    /// Calls `onGranted` with an unused number above `known`. Does not call it when the service fails or another
    /// coordinator has written first; the caller must then request again.
    void request(core::Generation known, std::function<void(core::Generation)> onGranted);

private:
    void write(core::Generation next, std::uint64_t revision, std::function<void(core::Generation)> onGranted);

    services::HttpKeyValueStore &m_store;
    const std::string m_key;
};

} // namespace lycheelanding::daemon::side::group
