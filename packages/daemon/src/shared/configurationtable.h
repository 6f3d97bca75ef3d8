#pragma once

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/result.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// Classes and functions that both the entry and the side use.
namespace lycheelanding::daemon::shared {

/// One version of the configuration, as text and parsed.
struct ActiveConfiguration
{
    core::ConfigurationVersion version;
    std::string text;
    configuration::Document document;
};

using ActiveConfigurationPointer = std::shared_ptr<const ActiveConfiguration>;

/// Holds the active configuration of this process. Its version never decreases.
class ConfigurationTable
{
public:
    using Observer = std::function<void(const ActiveConfigurationPointer &)>;

    ConfigurationTable();

    /// The observer is called after each installation, on the installing thread. Calls never overlap and their
    /// versions rise; a version that a higher one has already replaced is skipped. Add observers before the first
    /// installation.
    void addObserver(Observer observer);
    /// Makes `text` the active configuration if `version` is above the active one. Returns whether it did.
    /// Fails with InvalidPatch when the document cannot be parsed.
    core::Result<bool> install(core::ConfigurationVersion version, const std::string &text);

    ActiveConfigurationPointer active() const;
    core::ConfigurationVersion version() const;
    /// Whether all observers have been called for a version. Before that, parts of the process lack the configuration.
    bool isApplied() const { return m_isApplied; }

private:
    void notify(const ActiveConfigurationPointer &installed);

    /// Lock order: m_notifyMutex, then the locks of the observers, then m_mutex.
    std::mutex m_notifyMutex;
    core::ConfigurationVersion m_notifiedVersion;
    std::atomic<bool> m_isApplied = false;
    mutable std::mutex m_mutex;
    ActiveConfigurationPointer m_active;
    std::vector<Observer> m_observers;
};

} // namespace lycheelanding::daemon::shared
