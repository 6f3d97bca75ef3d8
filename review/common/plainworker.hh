// A plain worker: it runs `slots` requests at a time, queues a few more and sheds the rest.
#pragma once

#include "standins.hh"

namespace review {

/// One run: a request on which the worker began to work.
struct Run
{
    std::string attempt;
    std::string worker;
    /// When the request had reached the worker.
    Clock::time_point at;
    std::string path;
    std::string body;
};

/// The runs of all workers.
class Runs
{
public:
    void add(Run run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(std::move(run));
    }
    std::vector<Run> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
};

struct PlainWorkerSettings
{
    std::string id;
    int slots = 6;
    /// "queues a few more"
    int queue = 3;
    milliseconds work{60};
    /// Requests of other callers fill the worker for this time in each second.
    milliseconds fullFor{0};
    /// Share of its answers after which the worker sends a bare copy of its refusal, late: at the point where the next
    /// answer is expected. 0: none. It does so for `strayFor` in each `strayEvery`.
    double strayRefusals = 0.0;
    milliseconds strayFor{5000};
    milliseconds strayEvery{10000};
};

class PlainWorker
{
public:
    PlainWorker(PlainWorkerSettings settings, Runs &runs, Record &record, std::uint16_t port = 0)
        : m_settings(std::move(settings)), m_runs(runs), m_record(record),
          m_listener("127.0.0.1", port, [this](int socket) { serve(socket); })
    { }

    std::string address() const { return m_listener.address(); }
    const std::string &id() const { return m_settings.id; }
    void stop() { m_listener.stop(); }
    /// Answers in the times in which it may be faulty.
    int answers() const { return m_answers; }
    int sheds() const { return m_sheds; }
    int strayRefusals() const { return m_strayRefusals; }

private:
    void serve(int socket)
    {
        MessageReader reader(socket);
        std::string late;
        while (const auto request = reader.next()) {
            if (request->isCutOff) {
                return;
            }
            if (!late.empty()) {
                m_record.line("%s sends a second, bare copy of its refusal, before it works on %s", id().c_str(),
                              request->field("Attempt-Id").c_str());
                if (!sendAll(socket, std::exchange(late, {}))) {
                    return;
                }
            }
            const std::string answer = answerTo(*request, late);
            if (!sendAll(socket, answer)) {
                return;
            }
        }
    }

    std::string answerTo(const Message &request, std::string &late)
    {
        const auto arrival = Clock::now();
        const std::string attempt = request.field("Attempt-Id");
        if (request.has("Expect-Instance") && request.field("Expect-Instance") != id()) {
            return answerText(421, "Instance-Id: " + id() + "\r\n", "");
        }
        const bool isFaulty = isWithin(m_settings.strayFor, m_settings.strayEvery);
        m_answers += isFaulty ? 1 : 0;
        std::unique_lock lock(m_mutex);
        if (m_running >= m_settings.slots + m_settings.queue || isWithin(m_settings.fullFor, std::chrono::seconds(1))) {
            ++m_sheds;
            lock.unlock();
            m_record.line("%s is full and refuses %s: 503 Not-Executed", id().c_str(), attempt.c_str());
            if (isFaulty && m_strayRefusals + 1 <= m_settings.strayRefusals * m_answers) {
                ++m_strayRefusals;
                // As `fleetbench wire` shows a worker that sheds.
                late = answerText(503, "Not-Executed: 1\r\n", "");
            }
            return answerText(503, "Attempt-Id: " + attempt + "\r\nNot-Executed: 1\r\n", "");
        }
        ++m_running;
        m_free.wait(lock, [this] { return m_working < m_settings.slots; });
        ++m_working;
        lock.unlock();
        m_record.line("%s runs %s", id().c_str(), attempt.c_str());
        m_runs.add({attempt, id(), arrival, request.target(), request.body});
        std::this_thread::sleep_for(m_settings.work);
        lock.lock();
        --m_working;
        --m_running;
        lock.unlock();
        m_free.notify_one();
        return answerText(200, "Attempt-Id: " + attempt + "\r\nResponse-Seal: " + id() + "." + attempt + "\r\n",
                          "done by " + id());
    }

    /// Whether it is the first part of a period.
    static bool isWithin(milliseconds part, milliseconds period)
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - startTime) % period < part;
    }

    const PlainWorkerSettings m_settings;
    Runs &m_runs;
    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_free;
    int m_running = 0;
    int m_working = 0;
    std::atomic<int> m_answers = 0;
    std::atomic<int> m_sheds = 0;
    std::atomic<int> m_strayRefusals = 0;
    Listener m_listener;
};

} // namespace review
