#include "shared/configurationtable.h"

namespace lycheelanding::daemon::shared {

ConfigurationTable::ConfigurationTable() : m_active(std::make_shared<ActiveConfiguration>()) { }

void ConfigurationTable::addObserver(Observer observer)
{
    const std::scoped_lock lock(m_mutex);
    m_observers.push_back(std::move(observer));
}

core::Result<bool> ConfigurationTable::install(core::ConfigurationVersion version, const std::string &text)
{
    if (version <= this->version()) {
        return false;
    }
    auto parsed = configuration::parseDocument(text);
    if (!core::isOk(parsed)) {
        return core::errorOf(parsed);
    }
    const auto next = std::make_shared<const ActiveConfiguration>(
        ActiveConfiguration{version, text, core::takeValue(std::move(parsed))});
    {
        const std::scoped_lock lock(m_mutex);
        // Another thread may have installed a higher version while this thread parsed its document.
        if (version <= m_active->version) {
            return false;
        }
        m_active = next;
    }
    notify(next);
    return true;
}

void ConfigurationTable::notify(const ActiveConfigurationPointer &installed)
{
    const std::scoped_lock notifyLock(m_notifyMutex);
    if (installed->version <= m_notifiedVersion) {
        // Another thread has meanwhile notified the observers of a higher version; they must not return to this one.
        return;
    }
    m_notifiedVersion = installed->version;
    std::vector<Observer> observers;
    {
        const std::scoped_lock lock(m_mutex);
        observers = m_observers;
    }
    for (const auto &observer : observers) {
        observer(installed);
    }
    m_isApplied = true;
}

ActiveConfigurationPointer ConfigurationTable::active() const
{
    const std::scoped_lock lock(m_mutex);
    return m_active;
}

core::ConfigurationVersion ConfigurationTable::version() const
{
    return active()->version;
}

} // namespace lycheelanding::daemon::shared
