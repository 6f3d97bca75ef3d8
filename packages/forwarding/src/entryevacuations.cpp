#include "lycheelanding/forwarding/entryserver.h"

#include <algorithm>

namespace lycheelanding::forwarding {

void EntryServer::applyEvacuations(const decisions::membership::EvacuationChanges &changes,
                                   decisions::distribution::StoreEra era)
{
    if (changes.empty()) {
        return;
    }
    m_backends.apply(changes);
    const auto eraNumber = static_cast<std::int64_t>(era.number());
    for (const auto &change : changes) {
        if (const auto *emptied = std::get_if<decisions::membership::DataCentreEmptied>(&change)) {
            const auto &all = m_backends.all();
            const auto backends = std::count_if(all.begin(), all.end(), [&](const auto &item) {
                return item.second.dataCentre == emptied->dataCentre;
            });
            m_metrics.increment(report::Counter::DataCentresEmptied);
            m_log.write(LogImportance::State, "dataCentreEmptied",
                        {{"dataCentre", emptied->dataCentre.text()},
                         {"revision", static_cast<std::int64_t>(emptied->revision)},
                         {"era", eraNumber},
                         {"backends", static_cast<std::int64_t>(backends)}});
            continue;
        }
        const auto &takenBack = std::get<decisions::membership::DataCentreTakenBack>(change);
        m_metrics.increment(report::Counter::DataCentresTakenBack);
        m_log.write(LogImportance::State, "dataCentreTakenBack",
                    {{"dataCentre", takenBack.dataCentre.text()},
                     {"revision", static_cast<std::int64_t>(takenBack.revision)},
                     {"era", eraNumber},
                     {"reason", decisions::membership::nameOf(takenBack.reason)}});
    }
    m_metrics.set(report::Gauge::EvacuatedDataCentres, m_backends.evacuatedCount());
    // Waiting requests that no backend server takes any more are refused, and those that one takes again are sent.
    sendWaitingRequests();
}

} // namespace lycheelanding::forwarding
