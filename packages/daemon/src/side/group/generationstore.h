#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/services/keyvaluestore.h"

#include <functional>
#include <string>

namespace lycheelanding::daemon::side::group {

/// Gives out the generation numbers of a rank group: each number once, by compare-and-swap in the key-value service.
class GenerationStore
{
public:
    GenerationStore(services::HttpKeyValueStore &store, const core::GroupId &group);

    /// Calls `onGranted` with a number above `known` that nobody else was given; not at all when the service fails or
    /// another coordinator was faster, so that the caller asks again.
    void request(core::Generation known, std::function<void(core::Generation)> onGranted);

private:
    void write(core::Generation next, std::uint64_t revision, std::function<void(core::Generation)> onGranted);

    services::HttpKeyValueStore &m_store;
    const std::string m_key;
};

} // namespace lycheelanding::daemon::side::group
