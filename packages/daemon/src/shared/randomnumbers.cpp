#include "shared/randomnumbers.h"

#include <random>

namespace lycheelanding::daemon::shared {

std::uint64_t randomNumber()
{
    // Nonces must be unique across all entries, so each is drawn from the system's entropy source. Two generators could
    // start from the same seed.
    thread_local std::random_device device;
    constexpr unsigned halfBits = 32;
    std::uint64_t number = 0;
    while (number == 0) {
        number = (static_cast<std::uint64_t>(device()) << halfBits) | device();
    }
    return number;
}

} // namespace lycheelanding::daemon::shared
