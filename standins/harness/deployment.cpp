#include "harness/deployment.h"

#include "harness/deploymentdocuments.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace lycheelanding::harness {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds pollInterval(10);
constexpr int statusOk = 200;
constexpr const char *keyValueProxyName = "keyvalue";

/// The value of `name` in "http=IP:PORT peer=IP:PORT".
std::string addressOf(const std::string &line, const std::string &name)
{
    const auto begin = line.find(name + "=");
    if (begin == std::string::npos) {
        throw std::runtime_error("no address " + name + " in the listening line: " + line);
    }
    const auto value = line.substr(begin + name.size() + 1);
    return value.substr(0, value.find(' '));
}

} // namespace

Deployment::Deployment(DeploymentPlan plan) : m_plan(std::move(plan))
{
    auto pattern = (std::filesystem::temp_directory_path() / "lycheelanding-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    m_folder = pattern;
}

Deployment::~Deployment()
{
    m_entries.clear();
    m_sides.clear();
    if (std::getenv("LYCHEELANDING_KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
}

std::string Deployment::writeFile(const std::string &name, const Json &content) const
{
    auto path = m_folder + "/" + name;
    std::ofstream(path) << content.dump(2);
    return path;
}

std::unique_ptr<ChildProcess> Deployment::startStandIn(const std::string &program, const std::string &name,
                                                       const Json &settings, std::string &url)
{
    const auto file = writeFile(name + ".json", settings);
    auto process = std::make_unique<ChildProcess>(program, std::vector<std::string>{"--port", "0", "--settings", file},
                                                  m_folder + "/" + name + ".log");
    url = "http://" + process->waitUntilListening();
    return process;
}

void Deployment::startPlatform()
{
    m_keyValue = startStandIn("standin-keyvalue", "keyvalue", Json::object(), m_keyValueUrl);
    m_vmList = startStandIn("standin-vmlist", "vmlist", Json{{"vms", Json::array()}}, m_vmListUrl);
    if (m_plan.engines > 0) {
        const Json settings{{"bytesPerSecond", 50'000'000}, {"expertBytes", 100'000}};
        m_weightStore = startStandIn("standin-weightstore", "weightstore", settings, m_weightStoreUrl);
    }
}

void Deployment::startBackends()
{
    std::string rankZeroAddress;
    for (std::size_t index = 0; index < m_plan.engines; ++index) {
        SideNode side;
        side.vm = "engine-" + std::to_string(index + 1);
        side.backendKind = "engine";
        side.backendProcess
            = startStandIn("standin-engine", side.vm + "-backend",
                           engineSettings(m_plan, index, rankZeroAddress, m_weightStoreUrl), side.backend);
        if (index == 0) {
            rankZeroAddress = side.backend.substr(std::string("http://").size());
        }
        m_sides.push_back(std::move(side));
    }
    for (std::size_t index = 0; index < m_plan.plainServices; ++index) {
        SideNode side;
        side.vm = "plain-" + std::to_string(index + 1);
        side.backendKind = "plain";
        side.backendProcess = startStandIn("standin-plain", side.vm + "-backend", Json::object(), side.backend);
        m_sides.push_back(std::move(side));
    }
}

Json Deployment::commonSettings(const std::string &vm, const std::string &dataCentre) const
{
    return {{"vm", vm},
            {"dataCentre", dataCentre},
            {"peerAddress", "127.0.0.1:0"},
            {"httpAddress", "127.0.0.1:0"},
            {"vmListUrl", m_vmListUrl},
            {"vmListIntervalMs", 200}};
}

void Deployment::startSide(SideNode &side)
{
    const auto index = static_cast<std::size_t>(&side - m_sides.data());
    auto settings = commonSettings(side.vm, dataCentreOf(index));
    settings["backendUrl"] = side.backend;
    settings["backendKind"] = side.backendKind;
    settings["keyValueUrl"] = m_keyValueUrl;
    if (m_proxyAddresses.count(side.vm) > 0) {
        settings["peerAddress"] = side.peer; // A restarted side must listen where the proxy forwards to.
    }
    const auto file = writeFile(side.vm + ".json", settings);
    side.process = std::make_unique<ChildProcess>(
        "lycheelandingd", std::vector<std::string>{"side", "--settings", file}, m_folder + "/" + side.vm + ".log");
    const auto line = side.process->waitUntilListening();
    side.http = "http://" + addressOf(line, "http");
    side.peer = addressOf(line, "peer");
}

void Deployment::restartEngine(SideNode &side)
{
    side.backendProcess->kill();
    const auto port = side.backend.substr(side.backend.rfind(':') + 1);
    const auto file = m_folder + "/" + side.vm + "-backend.json";
    side.backendProcess
        = std::make_unique<ChildProcess>("standin-engine", std::vector<std::string>{"--port", port, "--settings", file},
                                         m_folder + "/" + side.vm + "-backend.log");
    side.backendProcess->waitUntilListening();
}

void Deployment::startEntry(EntryNode &entry)
{
    const auto index = static_cast<std::size_t>(&entry - m_entries.data());
    auto settings = commonSettings(entry.vm, dataCentreOf(index));
    settings["keyValueUrl"] = m_proxyAddresses.count(keyValueProxyName) > 0
        ? "http://" + m_proxyAddresses.at(keyValueProxyName)
        : m_keyValueUrl;
    settings.merge_patch(m_plan.entrySettings);
    const auto file = writeFile(entry.vm + ".json", settings);
    entry.process = std::make_unique<ChildProcess>(
        "lycheelandingd", std::vector<std::string>{"entry", "--settings", file}, m_folder + "/" + entry.vm + ".log");
    const auto line = entry.process->waitUntilListening();
    entry.http = "http://" + addressOf(line, "http");
    entry.peer = addressOf(line, "peer");
}

void Deployment::putSideInVmList(const SideNode &side, const std::string &state)
{
    const auto index = static_cast<std::size_t>(&side - m_sides.data());
    const auto proxied = m_proxyAddresses.find(side.vm);
    const Json row{{"id", side.vm},
                   {"dataCentre", dataCentreOf(index)},
                   {"role", "backend"},
                   {"address", proxied == m_proxyAddresses.end() ? side.peer : proxied->second},
                   {"state", state}};
    http::HttpClientRequest request;
    request.method = "PUT";
    request.url = m_vmListUrl + "/control/vms/" + side.vm;
    request.body = row.dump();
    send(std::move(request));
}

void Deployment::putEntryInVmList(const EntryNode &entry, const std::string &state)
{
    const auto index = static_cast<std::size_t>(&entry - m_entries.data());
    const Json row{{"id", entry.vm},
                   {"dataCentre", dataCentreOf(index)},
                   {"role", "entry"},
                   {"address", entry.peer},
                   {"state", state}};
    http::HttpClientRequest request;
    request.method = "PUT";
    request.url = m_vmListUrl + "/control/vms/" + entry.vm;
    request.body = row.dump();
    send(std::move(request));
}

void Deployment::start()
{
    startPlatform();
    startBackends();
    for (auto &side : m_sides) {
        startSide(side);
    }
    if (m_plan.usesProxies) {
        startProxies();
    }
    for (const auto &side : m_sides) {
        putSideInVmList(side);
    }
    m_entries.resize(m_plan.entries);
    for (std::size_t index = 0; index < m_plan.entries; ++index) {
        m_entries[index].vm = "entry-" + std::to_string(index + 1);
        startEntry(m_entries[index]);
        putEntryInVmList(m_entries[index]);
    }
    const Json patch{{{"op", "replace"}, {"path", ""}, {"value", initialConfiguration(m_plan, m_sides)}}};
    const auto accepted = submitPatch(0, 0, "first", patch);
    if (!core::isOk(accepted) || core::valueOf(accepted).status != statusOk) {
        throw std::runtime_error("the initial configuration was not accepted: "
                                 + (core::isOk(accepted) ? core::valueOf(accepted).body : "no answer"));
    }
    waitUntilRouted(m_sides.size());
}

void Deployment::startProxies()
{
    Json proxies = Json::array();
    const auto add = [&proxies](const std::string &name, const std::string &target) {
        proxies.push_back({{"name", name}, {"listen", 0}, {"target", target}});
    };
    add(keyValueProxyName, m_keyValueUrl.substr(std::string("http://").size()));
    for (const auto &side : m_sides) {
        add(side.vm, side.peer);
    }
    m_proxies = startStandIn("standin-faultproxy", "proxies", Json{{"proxies", proxies}}, m_proxyControlUrl);
    const auto report = getJson(m_proxyControlUrl + "/proxies");
    for (const auto &proxy : report.at("proxies")) {
        const auto port = proxy.at("listen").get<std::uint16_t>();
        m_proxyAddresses[proxy.at("name").get<std::string>()] = "127.0.0.1:" + std::to_string(port);
    }
}

void Deployment::controlKeyValue(const Json &control)
{
    postJson(m_keyValueUrl + "/control", control);
}

void Deployment::controlProxy(const std::string &name, Json control)
{
    control["name"] = name;
    postJson(m_proxyControlUrl + "/control", control);
}

void Deployment::waitUntilRouted(std::size_t backendServers)
{
    waitFor("routes to all backend servers", [&] {
        for (const auto &entry : m_entries) {
            std::size_t routable = 0;
            const auto status = getJson(entry.http + "/status");
            for (const auto &server : status.value("backendServers", Json::array())) {
                routable += server.value("routable", false) ? 1 : 0;
            }
            if (routable != backendServers || !getJson(entry.http + "/ready").value("ready", false)) {
                return false;
            }
        }
        return true;
    });
}

http::HttpClientRequest Deployment::callerRequest(std::size_t entry, const std::string &organisation,
                                                  const std::string &target) const
{
    http::HttpClientRequest request;
    request.url = m_entries.at(entry).http + target;
    request.headers.add("Organisation", organisation);
    request.timeout = std::chrono::seconds(30);
    return request;
}

http::HttpClientRequest Deployment::completionRequest(std::size_t entry, const std::string &organisation,
                                                      const std::string &prompt, std::size_t tokens) const
{
    auto request = callerRequest(entry, organisation, "/v1/chat/completions");
    request.method = "POST";
    request.headers.add("Content-Type", "application/json");
    request.body = Json{
        {"model", "drafting"},
        {"messages", {{{"role", "user"}, {"content", prompt}}}},
        {"max_tokens", tokens},
        {"stream",
         true}}.dump();
    return request;
}

core::Result<http::HttpResponse> Deployment::send(http::HttpClientRequest request)
{
    return m_client.fetchAndWait(std::move(request));
}

core::Result<http::HttpResponse> Deployment::submitPatch(std::size_t entry, std::uint64_t version,
                                                         const std::string &patchId, const Json &patch)
{
    http::HttpClientRequest request;
    request.method = "PATCH";
    request.url = m_entries.at(entry).http + "/configuration";
    request.headers.add("Content-Type", "application/json-patch+json");
    request.headers.add("If-Match", "\"" + std::to_string(version) + "\"");
    request.headers.add("Patch-Id", patchId);
    request.body = patch.dump();
    request.timeout = std::chrono::seconds(15);
    return send(std::move(request));
}

Json Deployment::getJson(const std::string &url)
{
    http::HttpClientRequest request;
    request.url = url;
    request.timeout = std::chrono::seconds(5);
    const auto response = send(std::move(request));
    const auto json = core::isOk(response) ? Json::parse(core::valueOf(response).body, nullptr, false)
                                           : Json(Json::value_t::discarded);
    return json.is_discarded() ? Json::object() : json;
}

void Deployment::postJson(const std::string &url, const Json &body)
{
    http::HttpClientRequest request;
    request.method = "POST";
    request.url = url;
    request.headers.add("Content-Type", "application/json");
    request.body = body.dump();
    send(std::move(request));
}

std::map<std::string, std::uint64_t> Deployment::versions()
{
    std::map<std::string, std::uint64_t> versions;
    for (const auto &entry : m_entries) {
        const auto status = getJson(entry.http + "/configuration/status");
        for (const auto &process : status.value("processes", Json::array())) {
            auto &version = versions[process.value("vm", "")];
            version = std::max(version, process.value("version", std::uint64_t(0)));
        }
    }
    return versions;
}

void Deployment::waitFor(const std::string &what, const std::function<bool()> &condition,
                         std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            throw std::runtime_error("timed out waiting for " + what);
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace lycheelanding::harness
