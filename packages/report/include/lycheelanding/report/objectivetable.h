#pragma once

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/report/burncounts.h"

#include <map>
#include <vector>

namespace lycheelanding::report {

/// Finds the objective for the requests of an organisation to a service or model.
class ObjectiveTable
{
public:
    ObjectiveTable() = default;
    explicit ObjectiveTable(const std::vector<configuration::Objective> &objectives);

    /// An objective for the key's organisation takes precedence over one for all; null if there is neither.
    const configuration::Objective *find(const BurnKey &key) const;

private:
    /// In the key of an objective for all organisations, the organisation is empty.
    std::map<BurnKey, configuration::Objective> m_objectives;
};

} // namespace lycheelanding::report
