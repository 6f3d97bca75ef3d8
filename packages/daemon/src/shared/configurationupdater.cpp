#include "shared/configurationupdater.h"

#include "logging/statelog.h"
#include "shared/randomnumbers.h"

#include "lycheelanding/configuration/configurationrecord.h"
#include "lycheelanding/wire/messages.h"

namespace lycheelanding::daemon::shared {

namespace {

using decisions::distribution::ConfigurationBody;
using decisions::distribution::StoreReadState;

constexpr std::chrono::milliseconds tickInterval(50);

decisions::distribution::ConfigurationInstallerSettings installerSettings()
{
    decisions::distribution::ConfigurationInstallerSettings settings;
    settings.seed = randomNumber();
    return settings;
}

/// Result of a read of the stored configuration, as the installer takes it.
struct StoreAnswer
{
    StoreReadState state = StoreReadState::Unavailable;
    ConfigurationBody body;
    std::uint64_t revision = 0;
};

StoreAnswer storeAnswerFrom(const core::Result<std::optional<services::StoredValue>> &result)
{
    if (!core::isOk(result)) {
        return {};
    }
    const auto &stored = core::valueOf(result);
    if (!stored) {
        return {StoreReadState::Missing, {}, 0};
    }
    const auto record = configuration::decodeRecord(stored->value);
    if (!core::isOk(record)) {
        logging::logChange(logging::Level::Error, "stored configuration cannot be read",
                           {{"reason", core::errorOf(record).detail}});
        return {};
    }
    const auto &value = core::valueOf(record);
    return {StoreReadState::Found, {value.version, value.document}, stored->revision};
}

bool isReadable(const ConfigurationBody &body)
{
    const auto parsed = configuration::parseDocument(body.document);
    if (core::isOk(parsed)) {
        return true;
    }
    logging::logChange(logging::Level::Error, "configuration cannot be read",
                       {{"version", std::to_string(body.version.number())}, {"reason", core::errorOf(parsed).detail}});
    return false;
}

} // namespace

ConfigurationUpdater::ConfigurationUpdater(asio::io_context &context, ConfigurationTable &table,
                                           ConfigurationUpdaterCallbacks callbacks)
    : m_table(table), m_callbacks(std::move(callbacks)), m_installer(installerSettings()),
      m_timer(context, tickInterval,
              [this] { handle([](Installer &installer, core::TimePoint now) { return installer.tick(now); }); })
{ }

template <typename Event>
void ConfigurationUpdater::handle(Event event)
{
    Actions actions;
    {
        const std::scoped_lock lock(m_mutex);
        actions = event(m_installer, m_clock.now());
    }
    execute(actions);
}

void ConfigurationUpdater::execute(const Actions &actions)
{
    using namespace decisions::distribution;
    for (const auto &action : actions) {
        if (const auto *install = std::get_if<InstallVersion>(&action)) {
            m_table.install(install->body.version, install->body.document);
        } else if (const auto *fetch = std::get_if<FetchFromPeer>(&action)) {
            if (const auto link = m_callbacks.findPeer(fetch->peer)) {
                link->send(wire::makeFrame(wire::ConfigurationFetch{fetch->known}, fetch->known));
            }
        } else if (const auto *send = std::get_if<SendBody>(&action)) {
            sendBody(send->peer);
        } else if (const auto *watch = std::get_if<WatchStore>(&action)) {
            watchStore(*watch);
        } else {
            readStore();
        }
    }
}

void ConfigurationUpdater::readStore()
{
    const auto onRead = [this](const auto &result) {
        const auto answer = storeAnswerFrom(result);
        const bool isUsable = answer.state != StoreReadState::Found || isReadable(answer.body);
        handle([&](Installer &installer, core::TimePoint now) {
            return installer.storeAnswered(isUsable ? answer.state : StoreReadState::Unavailable, answer.body, now);
        });
    };
    if (m_callbacks.readStore) {
        m_callbacks.readStore(onRead);
    } else {
        onRead(core::Result<std::optional<services::StoredValue>>(
            core::Error{core::ErrorKind::StoreUnavailable, "this process has no access to the key-value service"}));
    }
}

void ConfigurationUpdater::watchStore(const decisions::distribution::WatchStore &watch)
{
    if (!m_callbacks.watchStore) {
        return;
    }
    m_callbacks.watchStore(watch.afterRevision, [this, call = watch.call](const auto &result) {
        const auto answer = storeAnswerFrom(result);
        const bool isUsable = answer.state != StoreReadState::Found || isReadable(answer.body);
        handle([&](Installer &installer, core::TimePoint now) {
            return installer.watchAnswered(call, isUsable ? answer.state : StoreReadState::Unavailable, answer.body,
                                           answer.revision, now);
        });
    });
}

void ConfigurationUpdater::sendBody(const core::VmId &peer)
{
    const auto link = m_callbacks.findPeer(peer);
    const auto active = m_table.active();
    if (link) {
        link->send(wire::makeFrame(wire::ConfigurationBody{active->version, active->text}, active->version));
        count(report::Counter::ConfigurationBodiesSent);
    }
}

void ConfigurationUpdater::count(report::Counter counter) const
{
    if (m_callbacks.count) {
        m_callbacks.count(counter);
    }
}

void ConfigurationUpdater::start(const std::vector<core::VmId> &peers)
{
    handle([&](Installer &installer, core::TimePoint now) { return installer.start(peers, now); });
}

bool ConfigurationUpdater::handleFrame(const core::VmId &peer, const wire::PeerConnectionPointer &link,
                                       const wire::Frame &frame)
{
    if (frame.type == wire::MessageType::ConfigurationBody) {
        installBody(peer, link, frame);
        return true;
    }
    if (frame.type == wire::MessageType::ConfigurationFetch) {
        const auto fetch = wire::messageOf<wire::ConfigurationFetch>(frame);
        if (core::isOk(fetch)) {
            handle([&](Installer &installer, core::TimePoint now) {
                return installer.fetchRequested(peer, core::valueOf(fetch).known, now);
            });
        }
        return true;
    }
    handle([&](Installer &installer, core::TimePoint now) {
        return installer.peerVersionSeen(peer, frame.configurationVersion, now);
    });
    return false;
}

void ConfigurationUpdater::installBody(const core::VmId &peer, const wire::PeerConnectionPointer &link,
                                       const wire::Frame &frame)
{
    const auto message = wire::messageOf<wire::ConfigurationBody>(frame);
    if (!core::isOk(message)) {
        link->closeWith(core::errorOf(message));
        return;
    }
    const ConfigurationBody body{core::valueOf(message).version, core::valueOf(message).document};
    count(report::Counter::ConfigurationBodiesFetched);
    if (body.version <= m_table.version()) {
        count(report::Counter::OlderVersionsIgnored);
    }
    if (!isReadable(body)) {
        return;
    }
    handle([&](Installer &installer, core::TimePoint now) { return installer.bodyReceived(peer, body, now); });
}

void ConfigurationUpdater::versionLearned(core::ConfigurationVersion version, const std::string &document)
{
    const ConfigurationBody body{version, document};
    if (!isReadable(body)) {
        return;
    }
    handle([&](Installer &installer, core::TimePoint now) { return installer.versionLearned(body, now); });
}

void ConfigurationUpdater::setWatching(bool isWatching)
{
    handle([&](Installer &installer, core::TimePoint now) { return installer.setWatching(isWatching, now); });
}

bool ConfigurationUpdater::isReady() const
{
    // The installer counts a version from its decision to install it, which is before the table and its observers have
    // it.
    const std::scoped_lock lock(m_mutex);
    return m_installer.isReady() && m_table.isApplied();
}

bool ConfigurationUpdater::isStale() const
{
    const std::scoped_lock lock(m_mutex);
    return m_installer.isStale(m_clock.now());
}

} // namespace lycheelanding::daemon::shared
