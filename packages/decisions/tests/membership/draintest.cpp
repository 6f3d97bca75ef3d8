#include "lycheelanding/decisions/membership/entrydrain.h"
#include "lycheelanding/decisions/membership/sidedrain.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lycheelanding::decisions::membership {

namespace {

using std::chrono::milliseconds;

template <typename Wanted, typename Actions>
const Wanted *find(const Actions &actions)
{
    const Wanted *found = nullptr;
    for (const auto &action : actions) {
        std::visit(
            [&](const auto &each) {
                if constexpr (std::is_same_v<std::decay_t<decltype(each)>, Wanted>) {
                    found = &each;
                }
            },
            action);
    }
    return found;
}

/// Applies events to a drain state machine and counts its running requests independently.
template <typename Drain>
class DrainSimulation
{
public:
    explicit DrainSimulation(Drain drain, milliseconds timeout) : m_drain(std::move(drain)), m_limit(timeout) { }

    void stop()
    {
        m_stopRequestedAt = m_stopRequestedAt.value_or(m_now);
        applyActions(m_drain.stopRequested(m_now));
    }

    void arrive()
    {
        const auto actions = m_drain.requestArrived(m_now);
        const bool isAdmitted = find<AdmitRequest>(actions) != nullptr;
        RC_ASSERT(isAdmitted != (find<RefuseRequest>(actions) != nullptr));
        RC_ASSERT((!isAdmitted || !m_mustRefuse));
        m_running += isAdmitted ? 1 : 0;
        applyActions(actions);
    }

    void finish()
    {
        if (m_running > 0) {
            --m_running;
            applyActions(m_drain.requestFinished(m_now));
        }
    }

    void advance(milliseconds step)
    {
        m_now += step;
        applyActions(m_drain.tick(m_now));
        RC_ASSERT((m_hasExited || !m_stopRequestedAt || m_now - *m_stopRequestedAt < m_limit));
    }

    template <typename Actions>
    void applyActions(const Actions &actions)
    {
        if (find<AnnounceLeaving>(actions) != nullptr || find<StopListening>(actions) != nullptr) {
            m_mustRefuse = true;
        }
        const Exit *exit = find<Exit>(actions);
        if (exit == nullptr) {
            return;
        }
        RC_ASSERT(!m_hasExited);
        RC_ASSERT(m_stopRequestedAt.has_value());
        RC_ASSERT(exit->unfinished == m_running);
        RC_ASSERT((m_running == 0 || m_now - *m_stopRequestedAt >= m_limit));
        m_hasExited = true;
    }

    Drain &drain() { return m_drain; }
    core::TimePoint now() const { return m_now; }
    bool hasExited() const { return m_hasExited; }
    std::size_t running() const { return m_running; }

private:
    Drain m_drain;
    milliseconds m_limit;
    core::TimePoint m_now;
    std::optional<core::TimePoint> m_stopRequestedAt;
    std::size_t m_running = 0;
    bool m_mustRefuse = false;
    bool m_hasExited = false;
};

} // namespace

RC_GTEST_PROP(SideDrainTest, stopAbortsNoRequestBeforeItsTimeout, (const std::vector<std::uint8_t> &steps))
{
    const SideDrainSettings settings{milliseconds(1000), milliseconds(100)};
    DrainSimulation<SideDrain> simulation(SideDrain(settings), settings.timeout);
    std::size_t entries = 0;
    for (const std::uint8_t step : steps) {
        if (simulation.hasExited()) {
            break;
        }
        switch (step % 8) {
        case 0:
            simulation.stop();
            break;
        case 1:
            simulation.applyActions(simulation.drain().vmLeaving(simulation.now()));
            break;
        case 2:
            ++entries;
            simulation.applyActions(simulation.drain().entryConnected(simulation.now()));
            break;
        case 3:
            if (entries > 0) {
                --entries;
                simulation.applyActions(simulation.drain().entryDisconnected(simulation.now()));
            }
            break;
        case 4:
            simulation.finish();
            break;
        case 5:
            simulation.advance(milliseconds(step));
            break;
        default:
            simulation.arrive();
        }
    }
}

RC_GTEST_PROP(EntryDrainTest, stopAbortsNoRequestBeforeItsTimeout, (const std::vector<std::uint8_t> &steps))
{
    const EntryDrainSettings settings{milliseconds(200), milliseconds(1000)};
    DrainSimulation<EntryDrain> simulation(EntryDrain(settings), settings.timeout);
    for (const std::uint8_t step : steps) {
        if (simulation.hasExited()) {
            break;
        }
        switch (step % 6) {
        case 0:
            simulation.stop();
            RC_ASSERT(!simulation.drain().isReady());
            break;
        case 1:
            simulation.finish();
            break;
        case 2:
            simulation.advance(milliseconds(step));
            break;
        default:
            simulation.arrive();
        }
    }
}

TEST(SideDrainTest, configuredTimeoutAppliesAtOnce)
{
    SideDrain drain{SideDrainSettings{}};
    drain.requestArrived(core::TimePoint());
    drain.stopRequested(core::TimePoint());
    drain.setTimeout(std::chrono::milliseconds(100));
    const auto actions = drain.tick(core::TimePoint(std::chrono::milliseconds(100)));
    const auto *exit = find<Exit>(actions);
    ASSERT_NE(exit, nullptr);
    EXPECT_EQ(exit->unfinished, 1U);
}

TEST(SideDrainTest, waitsForEntriesToDisconnectBeforeItExits)
{
    SideDrain drain{SideDrainSettings{}};
    drain.entryConnected(core::TimePoint());
    EXPECT_EQ(find<Exit>(drain.stopRequested(core::TimePoint())), nullptr);
    EXPECT_NE(find<RefuseRequest>(drain.requestArrived(core::TimePoint())), nullptr);
    EXPECT_NE(find<Exit>(drain.entryDisconnected(core::TimePoint())), nullptr);
}

TEST(EntryDrainTest, acceptsUntilTheNotReadyTimeHasPassed)
{
    EntryDrain drain{EntryDrainSettings{}};
    drain.stopRequested(core::TimePoint());
    EXPECT_NE(find<AdmitRequest>(drain.requestArrived(core::TimePoint(milliseconds(4000)))), nullptr);
    EXPECT_NE(find<RefuseRequest>(drain.requestArrived(core::TimePoint(milliseconds(5000)))), nullptr);
    EXPECT_NE(find<Exit>(drain.requestFinished(core::TimePoint(milliseconds(5001)))), nullptr);
}

// A request that waited for a place was sent at the very end of a stop, or ended with the process, without an answer.
TEST(EntryDrainTest, stopsSendingHalfwayBetweenTheLastRequestAndTheTimeout)
{
    EntryDrain drain{EntryDrainSettings{milliseconds(2500), milliseconds(7500)}};
    drain.requestArrived(core::TimePoint());
    drain.stopRequested(core::TimePoint());
    EXPECT_EQ(find<StopSending>(drain.tick(core::TimePoint(milliseconds(4999)))), nullptr);
    EXPECT_TRUE(drain.isSending());
    EXPECT_NE(find<StopSending>(drain.tick(core::TimePoint(milliseconds(5000)))), nullptr);
    EXPECT_FALSE(drain.isSending());
    EXPECT_EQ(find<StopSending>(drain.tick(core::TimePoint(milliseconds(5001)))), nullptr);
    EXPECT_NE(find<Exit>(drain.tick(core::TimePoint(milliseconds(7500)))), nullptr);
}

// With a timeout below the time of being not ready, requests were accepted until the process ended.
TEST(EntryDrainTest, shortTimeoutLeavesTimeForTheLastRequests)
{
    EntryDrain drain{EntryDrainSettings{milliseconds(2500), milliseconds(1500)}};
    drain.stopRequested(core::TimePoint());
    EXPECT_NE(find<AdmitRequest>(drain.requestArrived(core::TimePoint(milliseconds(499)))), nullptr);
    EXPECT_NE(find<RefuseRequest>(drain.requestArrived(core::TimePoint(milliseconds(500)))), nullptr);
}

} // namespace lycheelanding::decisions::membership
