#pragma once

#include "lycheelanding/core/clock.h"

#include <cstdint>
#include <optional>

namespace lycheelanding::decisions::experts {

/// A token bucket of bytes that starts full.
class ByteBudget
{
public:
    /// Grows by `bytesPerMinute` up to `capacity` bytes.
    ByteBudget(std::uint64_t bytesPerMinute, std::uint64_t capacity);

    /// Changes rate and capacity; keeps the current level, limited to the new capacity.
    void configure(std::uint64_t bytesPerMinute, std::uint64_t capacity, core::TimePoint now);
    /// Spends `bytes`; the level may become negative and then has to refill before bytes are available again.
    void charge(std::uint64_t bytes, core::TimePoint now);

    /// Bytes that can be spent now.
    std::uint64_t available(core::TimePoint now) const;
    /// Fraction of the capacity that can be spent now; 0 when the capacity is 0.
    double fillLevel(core::TimePoint now) const;

private:
    double level(core::TimePoint now) const;

    double m_bytesPerMinute;
    double m_capacity;
    double m_level;
    std::optional<core::TimePoint> m_levelAt;
};

} // namespace lycheelanding::decisions::experts
