#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

/// Settings of one process, read from its settings file at start. Everything else comes from the configuration.
namespace lycheelanding::daemon::settings {

enum class BackendKind : std::uint8_t {
    /// A model engine, which reports its load and executes commands.
    Engine,
    /// A plain HTTP service.
    Plain,
};

struct CommonSettings
{
    core::VmId vm;
    core::DataCentreId dataCentre;
    /// "IP:PORT" at which the process accepts connections of peers; port 0 selects an ephemeral port.
    std::string peerAddress;
    /// "IP:PORT" of the HTTP interface: for callers and operators at an entry, for health and metrics at a side.
    std::string httpAddress;
    std::string vmListUrl;
    std::uint16_t workers = 2;
    /// One of log4cxx's level names.
    std::string logLevel = "INFO";
    /// Interval at which the VM list is read.
    std::chrono::milliseconds vmListInterval = std::chrono::seconds(1);
};

struct EntrySettings
{
    CommonSettings common;
    std::string keyValueUrl;
    std::chrono::milliseconds keyValueTimeout = std::chrono::seconds(1);
    std::size_t maxHeaderValueBytes = std::size_t{8} * 1024;
    /// Maximum time for reading one request; after that the request is refused.
    std::chrono::milliseconds readTimeout = std::chrono::seconds(15);
    /// Maximum number of unsent bytes of an answer; if a slow caller exceeds it, its answer is aborted.
    std::size_t maxUnsentBytes = std::size_t{1024} * 1024;
    /// How long new requests are still accepted after the readiness check has begun to fail, so that the load balancer
    /// in front has time to notice.
    std::chrono::milliseconds notReadyTime = std::chrono::seconds(5);
};

struct SideSettings
{
    CommonSettings common;
    /// Base URL of the backend server on this VM.
    std::string backendUrl;
    BackendKind backendKind = BackendKind::Plain;
    /// Base URL of the key-value service, which holds the generation numbers of rank groups; empty for plain services.
    std::string keyValueUrl;
    /// Interval at which the engine's load is read.
    std::chrono::milliseconds loadInterval = std::chrono::milliseconds(200);
};

/// Both read and validate a settings file. They fail with InvalidSettings; the detail names the file, the position in
/// it and the reason in one line.
core::Result<EntrySettings> readEntrySettings(const std::string &file);
core::Result<SideSettings> readSideSettings(const std::string &file);

} // namespace lycheelanding::daemon::settings
