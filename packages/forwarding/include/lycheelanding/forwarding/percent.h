#pragma once

namespace lycheelanding::forwarding {

/// Returns `percent` per cent of a duration.
template <typename Duration>
constexpr Duration percentOf(Duration time, int percent)
{
    constexpr int wholePercent = 100;
    return time * percent / wholePercent;
}

} // namespace lycheelanding::forwarding
