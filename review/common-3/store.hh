// The platform's key-value store as PROTOCOL.md describes it: items, ranges, watches, transactions and leases.
#pragma once

#include "http.hh"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <mutex>
#include <vector>

namespace standin {

using Json = nlohmann::json;

inline std::string base64(std::string_view bytes)
{
    constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const auto count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t i = 0; i < 3; ++i) {
            group = group << 8U | (i < count ? static_cast<unsigned char>(bytes[at + i]) : 0U);
        }
        for (std::size_t i = 0; i < 4; ++i) {
            out += i <= count ? digits[group >> (18 - 6 * i) & 63U] : '=';
        }
    }
    return out;
}

class Store
{
public:
    explicit Store(int listener)
    {
        serve(listener, [this](Stream &stream, const Request &request) { return stream.write(handle(request)); });
        std::thread([this] {
            while (true) {
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
                endLeases();
            }
        }).detach();
    }

    /// Writes as the operator or a worker does; returns the revision.
    std::uint64_t put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        write(key, base64(value), 0);
        m_changed.notify_all();
        return m_revision;
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0, created = 0, lease = 0;
    };
    struct Event
    {
        std::uint64_t revision;
        Json json;
        std::string key;
    };
    struct Lease
    {
        std::chrono::milliseconds ttl;
        Clock::time_point end;
    };

    Json jsonOf(const std::string &key, const Item &item) const
    {
        return {{"Key", key},
                {"Value", item.value},
                {"Revision", item.revision},
                {"Created", item.created},
                {"Lease", item.lease}};
    }
    void write(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        auto &item = m_items[key];
        ++m_revision;
        item.created = item.created == 0 ? m_revision : item.created;
        item.value = value;
        item.revision = m_revision;
        item.lease = lease;
        m_events.push_back({m_revision, jsonOf(key, item), key});
    }
    void erase(const std::string &key)
    {
        if (m_items.erase(key) > 0) {
            ++m_revision;
            m_events.push_back({m_revision, {{"Key", key}, {"Revision", m_revision}, {"Tombstone", true}}, key});
        }
    }
    void endLease(std::uint64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.lease == lease) {
                keys.push_back(key);
            }
        }
        for (const auto &key : keys) {
            erase(key);
        }
        m_leases.erase(lease);
    }
    void endLeases()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::uint64_t> ended;
        for (const auto &[id, lease] : m_leases) {
            if (Clock::now() >= lease.end) {
                ended.push_back(id);
            }
        }
        for (const auto id : ended) {
            endLease(id);
        }
        if (!ended.empty()) {
            m_changed.notify_all();
        }
    }

    std::string handle(const Request &request)
    {
        std::unique_lock lock(m_mutex);
        if (request.path == "/-/kv-key") {
            const auto found = m_items.find(request.parameter("Key"));
            if (found == m_items.end()) {
                return answer(404, "{}");
            }
            Json json = jsonOf(found->first, found->second);
            json["At"] = m_revision;
            return answer(200, json.dump());
        }
        if (request.path == "/-/kv-range") {
            Json items = Json::array();
            const auto prefix = request.parameter("Prefix");
            for (auto at = m_items.upper_bound(std::max(prefix, request.parameter("After")));
                 at != m_items.end() && at->first.starts_with(prefix); ++at) {
                items.push_back(jsonOf(at->first, at->second));
            }
            return answer(200, Json{{"Items", items}, {"HasMore", false}, {"At", m_revision}}.dump());
        }
        if (request.path == "/-/kv-watch") {
            return watch(request, lock);
        }
        const Json body = Json::parse(request.body, nullptr, false);
        if (request.path == "/-/kv-txn") {
            return transact(body);
        }
        if (request.path == "/-/kv-lease") {
            const std::chrono::milliseconds ttl(body.value("TtlMs", 1000));
            m_leases[++m_lastLease] = {ttl, Clock::now() + ttl};
            return answer(200, Json{{"Lease", m_lastLease}, {"TtlMs", ttl.count()}}.dump());
        }
        constexpr std::string_view keep = "/-/kv-keep/";
        constexpr std::string_view end = "/-/kv-lease-end/";
        if (request.path.starts_with(keep)) {
            const auto found = m_leases.find(std::stoull(request.path.substr(keep.size())));
            if (found == m_leases.end()) {
                return answer(404, "{}");
            }
            found->second.end = Clock::now() + found->second.ttl;
            return answer(200, Json{{"TtlMs", found->second.ttl.count()}}.dump());
        }
        if (request.path.starts_with(end)) {
            endLease(std::stoull(request.path.substr(end.size())));
            m_changed.notify_all();
            return answer(200, "{}");
        }
        return answer(404, "{}");
    }

    std::string watch(const Request &request, std::unique_lock<std::mutex> &lock)
    {
        const auto prefix = request.parameter("Prefix");
        const auto after = std::stoull(request.parameter("After"));
        const auto until = Clock::now() + std::chrono::milliseconds(std::stoul(request.parameter("WaitMs")));
        Json events = Json::array();
        while (true) {
            for (const auto &event : m_events) {
                if (event.revision > after && event.key.starts_with(prefix)) {
                    events.push_back(event.json);
                }
            }
            if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                break;
            }
        }
        return answer(200, Json{{"events", events}, {"At", m_revision}}.dump());
    }

    std::string transact(const Json &body)
    {
        bool holds = true;
        Json current = Json::array();
        for (const auto &row : body["Expected"]) {
            const auto found = m_items.find(row["Key"].get<std::string>());
            const auto revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == row["Revision"].get<std::uint64_t>();
            if (found != m_items.end()) {
                current.push_back(jsonOf(found->first, found->second));
            }
        }
        if (!holds) {
            return answer(412, Json{{"Items", current}}.dump());
        }
        for (const auto &row : body["Writes"]) {
            const auto lease = row.value("Lease", std::uint64_t{0});
            if (lease != 0 && !m_leases.contains(lease)) {
                return answer(404, "{}");
            }
        }
        for (const auto &row : body["Writes"]) {
            write(row["Key"], row["Value"], row.value("Lease", std::uint64_t{0}));
        }
        for (const auto &key : body["Remove"]) {
            erase(key);
        }
        m_changed.notify_all();
        return answer(200, Json{{"Revision", m_revision}}.dump());
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 10;
    std::uint64_t m_lastLease = 77000;
};

} // namespace standin
