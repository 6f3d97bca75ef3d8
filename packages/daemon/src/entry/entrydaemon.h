#pragma once

#include "lycheelanding/core/result.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace lycheelanding::daemon::entry {

/// The process on an entry VM.
class EntryDaemon
{
public:
    explicit EntryDaemon(const settings::EntrySettings &settings);
    ~EntryDaemon();

    /// Serves until SIGTERM or SIGINT, then drains. Fails with InvalidSettings when an address cannot be bound.
    core::Status run();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace lycheelanding::daemon::entry
