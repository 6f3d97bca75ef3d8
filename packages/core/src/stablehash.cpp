#include "lycheelanding/core/stablehash.h"

namespace lycheelanding::core {

std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::uint64_t stableHash(std::string_view bytes)
{
    constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325ULL;
    constexpr std::uint64_t fnvPrime = 0x100000001b3ULL;
    std::uint64_t hash = fnvOffset;
    for (const char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= fnvPrime;
    }
    return mixBits(hash);
}

std::uint64_t rendezvousScore(std::string_view key, std::string_view member)
{
    return mixBits(stableHash(key) ^ (stableHash(member) * 0x9e3779b97f4a7c15ULL));
}

} // namespace lycheelanding::core
