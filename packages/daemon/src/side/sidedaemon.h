#pragma once

#include "lycheelanding/core/result.h"
#include "settings/daemonsettings.h"

#include <memory>

/// The side: runs beside one backend server, forwards requests of the entries to it, reports its load and takes part in
/// map switches.
namespace lycheelanding::daemon::side {

class SideDaemon
{
public:
    explicit SideDaemon(const settings::SideSettings &settings);
    ~SideDaemon();

    /// Serves until SIGTERM or SIGINT, then finishes the requests in flight. Fails with InvalidSettings when an address
    /// is in use.
    core::Status run();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace lycheelanding::daemon::side
