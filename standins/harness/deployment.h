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

/// What a deployment is made of.
struct DeploymentPlan
{
    std::size_t entries = 2;
    /// Engines of one rank group, each with its side.
    std::size_t engines = 2;
    std::size_t ranksPerEngine = 2;
    /// Plain services, each with its side; all offer the path prefix /orders.
    std::size_t plainServices = 2;
    /// Whether the engines refuse orders with an old fencing token.
    bool honoursFencing = true;
    /// Whether sides and the key-value service are reached through fault-injecting proxies.
    bool usesProxies = false;
    /// Merged over the first configuration, at its top level.
    nlohmann::json configuration = nlohmann::json::object();
    /// Merged over the settings of each engine.
    nlohmann::json engineSettings = nlohmann::json::object();
    /// Merged over the settings of each entry.
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

/// A whole system of daemons and stand-ins as separate processes on the loopback address.
class Deployment
{
public:
    explicit Deployment(DeploymentPlan plan);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Starts everything, submits the first configuration and waits until all entries are ready.
    /// Throws std::runtime_error when that does not come about.
    void start();
    void startSide(SideNode &side);
    /// Kills the side's engine and starts a new one at the same address.
    void restartEngine(SideNode &side);
    void startEntry(EntryNode &entry);
    /// Lists the VM of a restarted process under its new address.
    void putSideInVmList(const SideNode &side, const std::string &state = "live");
    void putEntryInVmList(const EntryNode &entry, const std::string &state = "live");
    /// Waits until every entry routes to as many backend servers as there are.
    void waitUntilRouted(std::size_t backendServers);

    http::HttpClientRequest callerRequest(std::size_t entry, const std::string &organisation,
                                          const std::string &target) const;
    /// A request for a streamed chat completion of so many tokens.
    http::HttpClientRequest completionRequest(std::size_t entry, const std::string &organisation,
                                              const std::string &prompt, std::size_t tokens) const;
    core::Result<http::HttpResponse> send(http::HttpClientRequest request);
    core::Result<http::HttpResponse> submitPatch(std::size_t entry, std::uint64_t version, const std::string &patchId,
                                                 const nlohmann::json &patch);
    nlohmann::json getJson(const std::string &url);
    void postJson(const std::string &url, const nlohmann::json &body);
    /// Sets the fault mode of the key-value service.
    void controlKeyValue(const nlohmann::json &control);
    /// Sets the mode of the proxy in front of "keyvalue" or of the VM of a side.
    void controlProxy(const std::string &name, nlohmann::json control);
    /// The configuration version that each process has in force, by VM.
    std::map<std::string, std::uint64_t> versions();
    /// Polls until the condition holds. Throws std::runtime_error with `what` when it never does.
    void waitFor(const std::string &what, const std::function<bool()> &condition,
                 std::chrono::milliseconds limit = std::chrono::seconds(30));

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
