#pragma once

namespace lycheelanding::forwarding {

/// So many hundredths of a time.
template <typename Duration>
constexpr Duration percentOf(Duration time, int percent)
{
    constexpr int wholePercent = 100;
    return time * percent / wholePercent;
}

} // namespace lycheelanding::forwarding
