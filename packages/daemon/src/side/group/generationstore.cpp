#include "side/group/generationstore.h"

#include <algorithm>
#include <cstdlib>

namespace lycheelanding::daemon::side::group {

GenerationStore::GenerationStore(services::HttpKeyValueStore &store, const core::GroupId &group)
    : m_store(store), m_key("groups/" + group.text() + "/generation")
{ }

void GenerationStore::request(core::Generation known, std::function<void(core::Generation)> onGranted)
{
    m_store.read(m_key, [this, known, onGranted = std::move(onGranted)](const auto &result) {
        if (!core::isOk(result)) {
            return;
        }
        const auto stored = core::valueOf(result).value_or(services::StoredValue());
        const core::Generation last(std::strtoull(stored.value.c_str(), nullptr, 10));
        write(std::max(last, known).next(), stored.revision, onGranted);
    });
}

void GenerationStore::write(core::Generation next, std::uint64_t revision,
                            std::function<void(core::Generation)> onGranted)
{
    // A write whose answer was lost grants nothing; its number stays unused.
    m_store.write(m_key, std::to_string(next.number()), revision,
                  [next, onGranted = std::move(onGranted)](const services::WriteAnswer &answer) {
                      if (answer.outcome == services::WriteOutcome::Written) {
                          onGranted(next);
                      }
                  });
}

} // namespace lycheelanding::daemon::side::group
