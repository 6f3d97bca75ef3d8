#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/distribution/configurationinstaller.h"
#include "lycheelanding/report/counters.h"
#include "lycheelanding/services/keyvaluestore.h"
#include "lycheelanding/wire/framecodec.h"
#include "lycheelanding/wire/peerconnection.h"
#include "runtime/workerpool.h"
#include "shared/configurationtable.h"

#include <functional>
#include <mutex>
#include <vector>

namespace lycheelanding::daemon::shared {

/// What the updater reaches of the process around it.
struct ConfigurationUpdaterCallbacks
{
    /// The open connection to a peer, or null.
    std::function<wire::PeerConnectionPointer(const core::VmId &)> findPeer;
    /// Reads the stored record; empty in a process without access to the key-value service.
    std::function<void(services::ReadHandler)> readStore;
    /// Waits for a stored record above a revision; empty like readStore.
    std::function<void(std::uint64_t, services::ReadHandler)> watchStore;
    /// Counts an event; empty in a process without metrics.
    std::function<void(report::Counter)> count = nullptr;
};

/// Keeps the process's configuration at the highest version that its peers and the key-value service know.
class ConfigurationUpdater
{
public:
    ConfigurationUpdater(asio::io_context &context, ConfigurationTable &table, ConfigurationUpdaterCallbacks callbacks);

    void start(const std::vector<core::VmId> &peers);
    /// To be called with every frame of a peer that has introduced itself; true when the frame was one of the
    /// updater's own messages.
    bool handleFrame(const core::VmId &peer, const wire::PeerConnectionPointer &link, const wire::Frame &frame);
    /// A version that this process has seen in the store while it accepted a patch.
    void versionLearned(core::ConfigurationVersion version, const std::string &document);
    void setWatching(bool isWatching);

    /// Whether the process may serve with the version that it has.
    bool isReady() const;
    /// Whether a higher version may be in force elsewhere without this process knowing.
    bool isStale() const;

private:
    using Installer = decisions::distribution::ConfigurationInstaller;
    using Actions = decisions::distribution::InstallerActions;

    template <typename Event>
    void handle(Event event);
    void execute(const Actions &actions);
    void readStore();
    void watchStore(const decisions::distribution::WatchStore &watch);
    void sendBody(const core::VmId &peer);
    void count(report::Counter counter) const;
    void installBody(const core::VmId &peer, const wire::PeerConnectionPointer &link, const wire::Frame &frame);

    ConfigurationTable &m_table;
    ConfigurationUpdaterCallbacks m_callbacks;
    core::SystemClock m_clock;
    mutable std::mutex m_mutex;
    Installer m_installer;
    runtime::RepeatingTimer m_timer;
};

} // namespace lycheelanding::daemon::shared
