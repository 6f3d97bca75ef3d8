#pragma once

#include "harness/childprocess.h"

#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpclient.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lycheelanding::harness {

/// The processes of a deployment and their settings.
struct DeploymentPlan
{
    std::size_t entries = 2;
    /// Engines of one rank group, each with its side.
    std::size_t engines = 2;
    std::size_t ranksPerEngine = 2;
    /// Plain backend servers, each with its side; all serve the path prefix /run.
    std::size_t plainServices = 2;
    /// Whether the engines refuse commands with an outdated fencing token.
    bool honoursFencing = true;
    /// Whether fault-injecting proxies stand in front of the sides and between the entries and the key-value service.
    bool usesProxies = false;
    /// JSON merge patch to the initial configuration.
    nlohmann::json configuration = nlohmann::json::object();
    /// JSON merge patch to the settings of each engine.
    nlohmann::json engineSettings = nlohmann::json::object();
    /// JSON merge patch to the settings of each entry.
    nlohmann::json entrySettings = nlohmann::json::object();
};

struct EntryNode
{
    std::string vm;
    std::string http;
    std::string peer;
    std::unique_ptr<ChildProcess> process;
};

struct SideNode
{
    std::string vm;
    std::string http;
    std::string peer;
    /// Base URL of the backend server's stand-in.
    std::string backend;
    std::string backendKind;
    std::unique_ptr<ChildProcess> backendProcess;
    std::unique_ptr<ChildProcess> process;
};

/// A complete system of daemons and stand-ins, run as separate processes on the loopback address.
class Deployment
{
public:
    explicit Deployment(DeploymentPlan plan);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Starts all processes, submits the initial configuration and waits until all entries route to all backend
    /// servers. Throws std::runtime_error when a process does not start, the configuration is refused or the wait times
    /// out.
    void start();
    void startSide(SideNode &side);
    /// Kills the side's engine and starts another one at the same address.
    void restartEngine(SideNode &side);
    void startEntry(EntryNode &entry);
    /// Sets the VM's row in the VM list, with the address that the process has now.
    void putSideInVmList(const SideNode &side, const std::string &state = "live");
    void putEntryInVmList(const EntryNode &entry, const std::string &state = "live");
    /// Waits until every entry is ready and has `backendServers` routable backend servers.
    void waitUntilRouted(std::size_t backendServers);

    http::HttpClientRequest callerRequest(std::size_t entry, const std::string &organisation,
                                          const std::string &target) const;
    /// A request for a streamed chat completion of `tokens` tokens.
    http::HttpClientRequest completionRequest(std::size_t entry, const std::string &organisation,
                                              const std::string &prompt, std::size_t tokens) const;
    core::Result<http::HttpResponse> send(http::HttpClientRequest request);
    /// Submits a JSON patch against `version` of the configuration.
    core::Result<http::HttpResponse> submitPatch(std::size_t entry, std::uint64_t version, const std::string &patchId,
                                                 const nlohmann::json &patch);
    /// The parsed body, or an empty object when there is no answer or it is not JSON.
    nlohmann::json getJson(const std::string &url);
    void postJson(const std::string &url, const nlohmann::json &body);
    /// Sets the fault mode of the key-value service.
    void controlKeyValue(const nlohmann::json &control);
    /// Sets the fault mode of a proxy; `name` is "keyvalue" or the VM of a side.
    void controlProxy(const std::string &name, nlohmann::json control);
    /// The active configuration version of each process, by VM.
    std::map<std::string, std::uint64_t> versions();
    /// Polls until the condition holds. Throws std::runtime_error that names `what` after `timeout`.
    void waitFor(const std::string &what, const std::function<bool()> &condition,
                 std::chrono::milliseconds timeout = std::chrono::seconds(30));

    std::vector<EntryNode> &entries() { return m_entries; }
    std::vector<SideNode> &sides() { return m_sides; }
    http::HttpClient &client() { return m_client; }
    const std::string &keyValueUrl() const { return m_keyValueUrl; }
    const std::string &vmListUrl() const { return m_vmListUrl; }
    const std::string &folder() const { return m_folder; }

private:
    std::string writeFile(const std::string &name, const nlohmann::json &content) const;
    std::unique_ptr<ChildProcess> startStandIn(const std::string &program, const std::string &name,
                                               const nlohmann::json &settings, std::string &url);
    void startPlatform();
    void startBackends();
    void startProxies();
    nlohmann::json commonSettings(const std::string &vm, const std::string &dataCentre) const;

    DeploymentPlan m_plan;
    std::string m_folder;
    http::HttpClient m_client;
    std::unique_ptr<ChildProcess> m_keyValue;
    std::unique_ptr<ChildProcess> m_vmList;
    std::unique_ptr<ChildProcess> m_weightStore;
    std::unique_ptr<ChildProcess> m_proxies;
    std::string m_keyValueUrl;
    std::string m_vmListUrl;
    std::string m_weightStoreUrl;
    std::string m_proxyControlUrl;
    std::map<std::string, std::string> m_proxyAddresses;
    std::vector<EntryNode> m_entries;
    std::vector<SideNode> m_sides;
};

} // namespace lycheelanding::harness
