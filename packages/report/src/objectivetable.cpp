#include "lycheelanding/report/objectivetable.h"

namespace lycheelanding::report {

ObjectiveTable::ObjectiveTable(const std::vector<configuration::Objective> &objectives)
{
    for (const auto &objective : objectives) {
        const auto kind = objective.service ? TargetKind::Service : TargetKind::Model;
        const auto target
            = objective.service ? objective.service->text() : objective.model.value_or(core::ModelId()).text();
        const auto organisation = objective.organisation.value_or(core::OrganisationId());
        m_objectives.try_emplace({kind, target, organisation}, objective);
    }
}

const configuration::Objective *ObjectiveTable::find(const BurnKey &key) const
{
    auto found = m_objectives.find(key);
    if (found == m_objectives.end()) {
        found = m_objectives.find({key.kind, key.target, core::OrganisationId()});
    }
    return found == m_objectives.end() ? nullptr : &found->second;
}

} // namespace lycheelanding::report
