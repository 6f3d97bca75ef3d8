#include "lycheelanding/forwarding/backendset.h"

#include <gtest/gtest.h>

namespace lycheelanding::forwarding {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start{std::chrono::hours(1)};

/// Two ranks of one group, with a stream at each.
class BackendSetTest : public testing::Test
{
protected:
    BackendSetTest() : m_backends(core::DataCentreId(), 1)
    {
        for (const auto *id : {"backend-1", "backend-2"}) {
            RegisteredBackend backend;
            backend.id = BackendId(id);
            backend.service = core::ServiceId("app");
            backend.address = "10.0.0.1:80";
            m_backends.apply({decisions::membership::BackendUsable{backend}}, start);
            updateLoad(backend.id, start);
        }
        m_first = m_backends.selectBackend(requirements(), AttemptId(1), start);
        auto next = requirements();
        next.tried = {first().id};
        m_second = m_backends.selectBackend(next, AttemptId(2), start);
    }

    static BackendRequirements requirements()
    {
        BackendRequirements request;
        request.service = core::ServiceId("app");
        return request;
    }

    void updateLoad(const BackendId &id, core::TimePoint time)
    {
        BackendLoad load;
        load.group = core::GroupId("g0");
        load.measuredAt = time;
        m_backends.updateBackendLoad(id, load, time);
    }

    const ChosenBackend &first() const { return core::valueOf(m_first); }
    const ChosenBackend &second() const { return core::valueOf(m_second); }

    /// Selects a backend server that can resume the first stream.
    core::Result<ChosenBackend> selectReplacement(core::Duration inactivity, core::TimePoint now)
    {
        updateLoad(first().id, now);
        updateLoad(second().id, now);
        auto request = requirements();
        request.tried = {first().id};
        request.inactivity = inactivity;
        return m_backends.selectBackend(request, AttemptId(3), now);
    }

    BackendSet m_backends;
    core::Result<ChosenBackend> m_first = core::Error{};
    core::Result<ChosenBackend> m_second = core::Error{};
};

} // namespace

// Places at the other ranks of a stalled group were taken in vain: they stall too.
TEST_F(BackendSetTest, rankOfAStalledGroupResumesNoStreamOfIt)
{
    m_backends.recordFirstEvent(AttemptId(1), 10, start);
    // The same pass: the event of the other stream arrives a little later.
    m_backends.recordFirstEvent(AttemptId(2), 10, start + 20ms);
    EXPECT_FALSE(core::isOk(selectReplacement(1200ms, start + 1200ms)));
}

TEST_F(BackendSetTest, rankOfAnActiveGroupResumesAStreamOfAnotherRank)
{
    m_backends.recordFirstEvent(AttemptId(1), 10, start);
    m_backends.recordFirstEvent(AttemptId(2), 10, start);
    m_backends.recordNextEvent(AttemptId(2), 1100ms, start + 1100ms);
    const auto replacement = selectReplacement(1200ms, start + 1200ms);
    ASSERT_TRUE(core::isOk(replacement));
    EXPECT_EQ(core::valueOf(replacement).id, second().id);
}

TEST_F(BackendSetTest, requestThatIsNotResumedMayGoToAQuietGroup)
{
    m_backends.recordFirstEvent(AttemptId(1), 10, start);
    EXPECT_TRUE(core::isOk(selectReplacement(core::Duration::zero(), start + 1200ms)));
}

} // namespace lycheelanding::forwarding
