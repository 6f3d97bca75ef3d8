#pragma once

#include "lycheelanding/core/ids.h"

#include <cstddef>
#include <span>

namespace lycheelanding::decisions::distribution {

/// Processes per data centre that watch the store; bounds the store's load independently of the number of VMs.
inline constexpr std::size_t watchersPerDataCentre = 2;

/// Whether `localVm` is among the `count` watchers of its data centre by rendezvous hashing.
///
/// Not exclusive: while processes see different members there may be more watchers or fewer. Without a watcher versions
/// spread through peers only. `members` may contain `localVm` or not.
bool isWatcher(const core::VmId &localVm, std::span<const core::VmId> members,
               std::size_t count = watchersPerDataCentre);

} // namespace lycheelanding::decisions::distribution
