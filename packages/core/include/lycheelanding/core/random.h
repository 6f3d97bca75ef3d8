#pragma once

#include <cstdint>

namespace lycheelanding::core {

/// SplitMix64 pseudo-random generator; a given seed yields the same sequence on every machine.
class RandomSequence
{
public:
    explicit RandomSequence(std::uint64_t seed) : m_state(seed) { }

    std::uint64_t next();

    /// Uniform in [0, 1).
    double nextUnit();

    /// In [0, bound), uniform except for the modulo bias; 0 when bound is 0.
    std::uint64_t nextBelow(std::uint64_t bound);

private:
    std::uint64_t m_state;
};

} // namespace lycheelanding::core
