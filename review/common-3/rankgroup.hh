// Model workers that are the ranks of one group, as PROTOCOL.md describes them: requests, reports, counts and orders.
// All ranks execute each pass together. Orders may be left without an answer and carried out later.
#pragma once

#include "store.hh"

#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <set>

namespace standin {

struct GroupShape
{
    std::size_t ranks = 8;
    std::size_t sets = 6;
    std::size_t experts = 64;
    std::size_t placements = 11;
    std::size_t spare = 4;
    std::chrono::milliseconds copyTime{148}; // Of one expert: ExpertMb over LinkMbps.
    std::chrono::milliseconds passTime{30};
    std::size_t tokensPerEvent = 6;
};

/// What a worker does with an order: carries it out at once, or gives no answer and carries it out after `late`.
struct OrderPlan
{
    std::optional<std::chrono::milliseconds> late;
};

using Lists = std::vector<std::vector<std::vector<std::uint32_t>>>; // Experts, by set and rank.

/// How long orders may be left without an answer, from the first one on: `for_s` of `applied_late`.
constexpr std::chrono::seconds troubleTime{5};

class RankGroup
{
public:
    struct Rank
    {
        std::string id, ip;
        std::uint64_t map = 0;
        Lists content;
        std::uint64_t highestVersion = 0;
        std::uint64_t prepared = 0;
        Lists preparedContent;
        std::uint64_t copying = 0;
        std::uint64_t armed = 0, armedStep = 0;
        std::uint64_t held = 0;
        std::uint64_t fence = 0;
        std::uint64_t sequence = 0;
        std::size_t running = 0;
        std::vector<std::uint64_t> counts;
    };
    struct Generation
    {
        std::size_t rank = 0;
        std::size_t events = 0; // To be made.
        std::size_t made = 0;
        bool isGone = false;
    };
    using Recorder = std::function<void(const std::string &)>;
    using Planner = std::function<OrderPlan(std::size_t rank, const Json &order)>;

    RankGroup(GroupShape shape, std::string name, Recorder record)
        : m_shape(shape), m_name(std::move(name)), m_record(std::move(record)), m_ranks(shape.ranks),
          m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count())
    {
        Lists dealt(shape.sets, std::vector<std::vector<std::uint32_t>>(shape.ranks));
        for (auto &set : dealt) {
            for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
                set[expert % shape.ranks].push_back(expert);
            }
        }
        for (std::size_t rank = 0; rank < shape.ranks; ++rank) {
            m_ranks[rank].id = "i-rank" + std::to_string(rank);
            m_ranks[rank].content = dealt;
            m_ranks[rank].counts.resize(shape.sets * shape.experts);
        }
        setTopic(1);
    }

    /// Serves a rank at its address.
    void start(std::size_t rank, const std::string &ip, int listener)
    {
        m_ranks[rank].ip = ip;
        serve(listener,
              [this, rank](Stream &stream, const Request &request) { return handle(rank, stream, request); });
    }
    void run()
    {
        std::thread([this] { passes(); }).detach();
        std::thread([this] { lateOrders(); }).detach();
    }

    void setPlanner(Planner planner)
    {
        const std::lock_guard lock(m_mutex);
        m_plan = std::move(planner);
    }
    /// Which experts the content of the requests chooses from now on.
    void setTopic(std::uint32_t topic)
    {
        std::mt19937 random(topic);
        m_popularity.assign(m_shape.sets, std::vector<double>(m_shape.experts));
        for (auto &set : m_popularity) {
            for (std::size_t expert = 0; expert < m_shape.experts; ++expert) {
                set[expert] = 1.0 / std::pow(static_cast<double>(expert + 1), 1.1);
            }
            std::shuffle(set.begin(), set.end(), random);
        }
    }

    std::string registration(std::size_t rank, const std::string &service, std::uint16_t port, std::uint64_t sequence)
    {
        const std::lock_guard lock(m_mutex);
        return Json{{"Service", service},
                    {"Address", m_ranks[rank].ip + ":" + std::to_string(port)},
                    {"Zone", "a"},
                    {"Version", "v1"},
                    {"Slots", 12},
                    {"State", "ready"},
                    {"ColdRemainingMs", 0},
                    {"Stage", "both"},
                    {"Models", Json::array({{{"Name", "m"}, {"Version", 1}, {"Adapters", Json::array()}}})},
                    {"Sequence", sequence},
                    {"born", m_born}}
            .dump();
    }

    // State for the checks and the record.
    std::mutex &mutex() { return m_mutex; }
    const Rank &rank(std::size_t number) const { return m_ranks[number]; }
    std::uint64_t step() const { return m_step; }
    std::size_t mixedPasses() const { return m_mixedPasses; }
    /// Orders to all ranks in the time of the trouble, and those of them that were left without an answer.
    std::size_t orders() const { return m_orders; }
    std::size_t unanswered() const { return m_unanswered; }
    std::size_t active() const { return m_active.size(); }

private:
    struct LateOrder
    {
        Clock::time_point from;
        std::size_t rank;
        Json order;
        Clock::time_point arrival;
    };

    // All below is called with the mutex held, except handle(), generate(), passes() and lateOrders().

    std::string describe(std::size_t rank, const Json &order) const
    {
        std::string text = "rank " + std::to_string(rank) + " " + order.value("Operation", "?");
        for (const char *const name : {"Version", "step"}) {
            text += order.contains(name) ? " " + std::string(name) + "=" + order[name].dump() : "";
        }
        return text;
    }

    int execute(std::size_t number, const Json &order)
    {
        Rank &rank = m_ranks[number];
        const std::string operation = order.value("Operation", "");
        const auto version = order.value("Version", std::uint64_t{0});
        const auto step = order.value("step", std::uint64_t{0});
        if (order.contains("epoch") && order["epoch"] != m_epoch) {
            return 409;
        }
        const auto fence = order.value("FencingToken", std::uint64_t{0});
        if (fence < rank.fence) {
            return 412;
        }
        rank.fence = fence;
        int status = 400;
        if (operation == "prepare") {
            status = prepare(rank, number, version, order);
        } else if (operation == "arm") {
            const bool isDone = (rank.armed == version && rank.armedStep == step) || rank.map == version;
            const bool isPossible = rank.prepared == version && m_step < step && rank.armed == 0;
            status = isDone ? 200 : (isPossible ? 202 : 409);
            if (!isDone && isPossible) {
                rank.armed = version;
                rank.armedStep = step;
            }
        } else if (operation == "disarm") {
            status = rank.map == version ? 409 : (rank.armed == version ? 202 : 200);
            if (status == 202) {
                rank.armed = rank.armedStep = 0;
            }
        } else if (operation == "Hold") {
            status = step <= m_step ? 409 : (rank.held == step ? 200 : (rank.held != 0 ? 409 : 202));
            rank.held = status == 202 ? step : rank.held;
        } else if (operation == "go") {
            status = rank.held == step ? 202 : (rank.held == 0 ? 200 : 409);
            rank.held = status == 202 && step != 0 ? 0 : rank.held;
            status = step == 0 ? 200 : status;
        }
        rank.sequence += status == 202 ? 1 : 0;
        m_changed.notify_all();
        return status;
    }

    int prepare(Rank &rank, std::size_t number, std::uint64_t version, const Json &order)
    {
        if (rank.prepared == version || rank.copying == version) {
            return 200;
        }
        if (version <= rank.highestVersion || rank.armed != 0) {
            return 409;
        }
        const Lists lists = order["Mapping"].get<Lists>();
        if (lists.size() != m_shape.sets) {
            return 409;
        }
        std::size_t copies = 0;
        for (std::size_t set = 0; set < m_shape.sets; ++set) {
            const auto &now = rank.content[set][number];
            const std::set<std::uint32_t> known(now.begin(), now.end());
            std::size_t added = 0;
            for (const auto expert : lists[set].at(number)) {
                added += known.contains(expert) ? 0 : 1;
            }
            if (added > m_shape.spare || lists[set][number].size() > m_shape.placements) {
                return 409;
            }
            copies += added;
        }
        rank.highestVersion = version;
        rank.prepared = 0;
        rank.copying = version;
        std::thread([this, number, version, lists, time = m_shape.copyTime * copies] {
            std::this_thread::sleep_for(time);
            const std::lock_guard lock(m_mutex);
            Rank &each = m_ranks[number];
            if (each.copying == version) {
                each.copying = 0;
                each.prepared = version;
                each.preparedContent = lists;
            }
        }).detach();
        return 202;
    }

    std::string report(std::size_t number) const
    {
        const Rank &rank = m_ranks[number];
        Json json{{"Stage", "both"},
                  {"Models", Json::array({{{"Name", "m"}, {"Version", 1}, {"Adapters", Json::array()}}})},
                  {"Busy", rank.copying != 0},
                  {"Sequence", rank.sequence},
                  {"Waiting", 0},
                  {"Running", rank.running},
                  {"KvUsed", 0},
                  {"KvTotal", 494000},
                  {"Handles", 0},
                  {"pace", 1.0},
                  {"born", m_born},
                  {"size", m_shape.ranks},
                  {"group", {{"Name", m_name}, {"epoch", m_epoch}, {"rank", number}, {"State", "open"}}},
                  {"epoch", m_epoch},
                  {"step", m_step},
                  {"Mapping", rank.map}};
        if (rank.prepared != 0) {
            json["Prepared"] = rank.prepared;
        }
        if (rank.armed != 0) {
            json["Armed"] = {{"Version", rank.armed}, {"step", rank.armedStep}};
        }
        if (rank.held != 0) {
            json["held"] = rank.held;
        }
        return json.dump();
    }

    std::string picked(std::size_t number, bool withLists) const
    {
        const Rank &rank = m_ranks[number];
        Json json{{"step", m_step}, {"epoch", m_epoch}, {"born", m_born}};
        if (!withLists) {
            json["Counts"] = rank.counts;
            return json.dump();
        }
        Json own = Json::array();
        for (const auto &set : rank.content) {
            own.push_back(set[number]);
        }
        json["Mapping"] = {{"Version", rank.map}, {"Experts", own}};
        return json.dump();
    }

    bool handle(std::size_t number, Stream &stream, const Request &request)
    {
        if (request.path == "/-/report" || request.path == "/-/picked") {
            std::unique_lock lock(m_mutex);
            const auto body = request.path == "/-/report" ? report(number)
                                                          : picked(number, request.query.contains("Lists"));
            lock.unlock();
            return stream.write(answer(200, body));
        }
        if (request.path == "/-/order") {
            return order(number, stream, Json::parse(request.body, nullptr, false));
        }
        if (request.path == "/health") {
            return stream.write(answer(200, "", "Instance-Id: " + m_ranks[number].id + "\r\n"));
        }
        return generate(number, stream, request);
    }

    bool order(std::size_t number, Stream &stream, const Json &body)
    {
        std::unique_lock lock(m_mutex);
        const bool isOver = m_troubleSince && Clock::now() - *m_troubleSince >= troubleTime;
        const auto plan = m_plan && !isOver ? m_plan(number, body) : OrderPlan();
        if (plan.late) {
            m_troubleSince = m_troubleSince.value_or(Clock::now());
        }
        m_orders += m_troubleSince && !isOver ? 1 : 0;
        if (plan.late) {
            ++m_unanswered;
            m_late.push_back({Clock::now() + *plan.late, number, body, Clock::now()});
            m_record(describe(number, body) + " -> no answer, to be carried out late");
            lock.unlock();
            // The connection stays open until the caller gives up.
            while (stream.fill()) {
            }
            return false;
        }
        const int status = execute(number, body);
        if (body.value("step", std::uint64_t{1}) != 0) {
            m_record(describe(number, body) + " -> " + std::to_string(status));
        }
        lock.unlock();
        return stream.write(answer(status, "{}"));
    }

    void lateOrders()
    {
        while (true) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            const std::lock_guard lock(m_mutex);
            const auto now = Clock::now();
            for (auto at = m_late.begin(); at != m_late.end();) {
                if (now < at->from) {
                    ++at;
                    continue;
                }
                const int status = execute(at->rank, at->order);
                const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - at->arrival).count();
                m_record(describe(at->rank, at->order) + " carried out " + std::to_string(age) + " ms late -> "
                         + std::to_string(status));
                at = m_late.erase(at);
            }
        }
    }

    /// A streaming request: one event for each pass of the group.
    bool generate(std::size_t number, Stream &stream, const Request &request)
    {
        const std::string attempt = request.field("attempt-id");
        const auto tokens = request.field("token-count");
        const auto comma = tokens.find(',');
        std::string extra = "Attempt-Id: " + attempt + "\r\nResponse-Seal: seal-" + attempt + "\r\n";
        if (request.field("expect-instance") != m_ranks[number].id) {
            return stream.write(answer(421, "", "Attempt-Id: " + attempt + "\r\nNot-Executed: 1\r\n"));
        }
        std::size_t made = 0;
        if (const auto last = request.field("last-event-id"); !last.empty()) {
            made = std::stoul(last);
        }
        const auto generation = std::make_shared<Generation>();
        generation->rank = number;
        const std::size_t out = comma == std::string::npos ? 60 : std::stoul(tokens.substr(comma + 1));
        const std::size_t all = (out + m_shape.tokensPerEvent - 1) / m_shape.tokensPerEvent;
        generation->events = all;
        generation->made = std::min(made, all);
        std::unique_lock lock(m_mutex);
        ++m_ranks[number].running;
        m_active.push_back(generation);
        m_record("rank " + std::to_string(number) + " gets request " + attempt);
        m_changed.notify_all();
        bool hasHead = false;
        bool isOpen = true;
        while (isOpen && made < all) {
            m_changed.wait_for(lock, std::chrono::milliseconds(50));
            const std::size_t ready = generation->made;
            lock.unlock();
            isOpen = !stream.isClosed();
            for (; isOpen && made < ready; ++made) {
                if (!std::exchange(hasHead, true)) {
                    isOpen = stream.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + extra
                                          + "Transfer-Encoding: chunked\r\n\r\n");
                }
                const std::string event = "id: " + std::to_string(made + 1) + "\ndata: piece "
                    + std::to_string(made + 1) + " of " + std::to_string(all) + "\n\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", event.size());
                isOpen = isOpen && stream.write(size + event + "\r\n");
            }
            lock.lock();
        }
        generation->isGone = true;
        std::erase(m_active, generation);
        --m_ranks[number].running;
        lock.unlock();
        return isOpen && stream.write("0\r\n\r\n");
    }

    bool isHeld(std::uint64_t step) const
    {
        return std::any_of(m_ranks.begin(), m_ranks.end(),
                           [step](const Rank &rank) { return rank.held != 0 && rank.held <= step; });
    }

    void passes()
    {
        while (true) {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [this] {
                return std::any_of(m_active.begin(), m_active.end(),
                                   [](const auto &each) { return each->made < each->events; })
                    && !isHeld(m_step + 1);
            });
            beginPass();
            const auto busy = m_active;
            lock.unlock();
            std::this_thread::sleep_for(m_shape.passTime);
            lock.lock();
            for (const auto &each : busy) {
                if (!each->isGone && each->made < each->events) {
                    ++each->made;
                    countChoices(m_ranks[each->rank]);
                }
            }
            m_changed.notify_all();
        }
    }

    void beginPass()
    {
        ++m_step;
        for (auto &rank : m_ranks) {
            if (rank.armed != 0 && rank.armedStep == m_step) {
                rank.map = rank.armed;
                rank.content = rank.preparedContent;
                rank.armed = rank.armedStep = rank.prepared = 0;
            }
        }
        const bool isMixed = std::any_of(m_ranks.begin(), m_ranks.end(), [this](const Rank &rank) {
            return rank.map != m_ranks[0].map || rank.content != m_ranks[0].content;
        });
        if (isMixed && m_mixedPasses++ == 0) {
            std::string maps;
            for (const auto &rank : m_ranks) {
                maps += " " + std::to_string(rank.map);
            }
            m_record("PASS " + std::to_string(m_step) + " BEGINS WITH DIFFERENT MAPS, by rank:" + maps);
        }
    }

    void countChoices(Rank &rank)
    {
        constexpr double picks = 300.0; // Of a set, in the pass, for all samples of the stream.
        for (std::size_t set = 0; set < m_shape.sets; ++set) {
            for (std::size_t expert = 0; expert < m_shape.experts; ++expert) {
                rank.counts[set * m_shape.experts + expert]
                    += static_cast<std::uint64_t>(std::llround(picks * m_popularity[set][expert]));
            }
        }
    }

    const GroupShape m_shape;
    const std::string m_name;
    const Recorder m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Rank> m_ranks;
    std::vector<std::vector<double>> m_popularity;
    std::vector<std::shared_ptr<Generation>> m_active;
    std::deque<LateOrder> m_late;
    Planner m_plan;
    std::uint64_t m_epoch = 1;
    std::uint64_t m_step = 0;
    std::size_t m_mixedPasses = 0;
    std::size_t m_orders = 0;
    std::size_t m_unanswered = 0;
    std::optional<Clock::time_point> m_troubleSince;
    const std::int64_t m_born;
};

} // namespace standin
