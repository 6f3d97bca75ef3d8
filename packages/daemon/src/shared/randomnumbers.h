#pragma once

#include <cstdint>

namespace lycheelanding::daemon::shared {

/// A random 64-bit number, never 0. The chance that another process or an earlier call drew the same is negligible.
/// May be called from any thread.
std::uint64_t randomNumber();

} // namespace lycheelanding::daemon::shared
