#include "lycheelanding/core/random.h"

#include "lycheelanding/core/stablehash.h"

namespace lycheelanding::core {

std::uint64_t RandomSequence::next()
{
    m_state += 0x9e3779b97f4a7c15ULL;
    return mixBits(m_state);
}

double RandomSequence::nextUnit()
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(next() >> 11) * scale;
}

std::uint64_t RandomSequence::nextBelow(std::uint64_t bound)
{
    return bound == 0 ? 0 : next() % bound;
}

} // namespace lycheelanding::core
