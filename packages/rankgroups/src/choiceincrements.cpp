#include "lycheelanding/rankgroups/choiceincrements.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace lycheelanding::rankgroups {

ChoiceCounts ChoiceIncrements::since(ChoiceCounts totals)
{
    const auto previous = std::exchange(m_last, std::move(totals));
    const bool isContinued = !previous.empty() && previous.size() == m_last.size()
        && std::equal(previous.begin(), previous.end(), m_last.begin(), std::less_equal<>());
    if (!isContinued) {
        return {};
    }
    ChoiceCounts result(m_last.size());
    std::transform(m_last.begin(), m_last.end(), previous.begin(), result.begin(), std::minus<>());
    return result;
}

} // namespace lycheelanding::rankgroups
