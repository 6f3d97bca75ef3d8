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

/// Functions that the process provides to its ConfigurationUpdater.
struct ConfigurationUpdaterCallbacks
{
    /// The open connection to a peer, or null.
    std::function<wire::PeerConnectionPointer(const core::VmId &)> findPeer;
    /// Reads the stored configuration; empty in a process without access to the key-value service.
    std::function<void(services::ReadHandler)> readStore;
    /// Waits until the stored configuration has a higher revision than the given one; empty like readStore.
    std::function<void(std::uint64_t, services::ReadHandler)> watchStore;
    /// Increments a counter; empty in a process without metrics.
    std::function<void(report::Counter)> count = nullptr;
};

/// Keeps the process's configuration at the highest version that its peers or the key-value service have.
class ConfigurationUpdater
{
public:
    ConfigurationUpdater(asio::io_context &context, ConfigurationTable &table, ConfigurationUpdaterCallbacks callbacks);

    void start(const std::vector<core::VmId> &peers);
    /// To be called with every frame of a peer that has sent its Hello. Returns true when the frame carried a message
    /// of the configuration exchange, which needs no further handling.
    bool handleFrame(const core::VmId &peer, const wire::PeerConnectionPointer &link, const wire::Frame &frame);
    /// Offers a version that this process read from the store while it handled a patch.
    void versionLearned(core::ConfigurationVersion version, const std::string &document);
    void setWatching(bool isWatching);

    /// Whether the process may serve with its current version.
    bool isReady() const;
    /// Whether a higher version, unknown to this process, may be active elsewhere.
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
