#include "rounds/round.h"

#include <algorithm>

namespace lycheelanding::rounds {

void add(RoundResult &total, const RoundResult &round)
{
    total.requests += round.requests;
    total.faults += round.faults;
    total.violations.insert(total.violations.end(), round.violations.begin(), round.violations.end());
    total.maxRecoveryTime = std::max(total.maxRecoveryTime, round.maxRecoveryTime);
}

} // namespace lycheelanding::rounds
