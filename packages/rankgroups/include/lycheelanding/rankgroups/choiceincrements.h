#pragma once

#include "lycheelanding/rankgroups/rankreport.h"

namespace lycheelanding::rankgroups {

/// Turns the totals that an engine reports into what was chosen since the last report.
class ChoiceIncrements
{
public:
    /// Choices since the last call; empty at the first call and after the engine has started again.
    ChoiceCounts since(ChoiceCounts totals);

private:
    ChoiceCounts m_last;
};

} // namespace lycheelanding::rankgroups
