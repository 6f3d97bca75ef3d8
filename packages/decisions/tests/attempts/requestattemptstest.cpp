#include "lycheelanding/decisions/attempts/requestattempts.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lycheelanding::decisions::attempts {

namespace {

using std::chrono::milliseconds;

const core::Error refusal{core::ErrorKind::Overloaded, "full", milliseconds(100)};
const core::Error loss{core::ErrorKind::BackendServerLost, "lost"};
const core::Error unreachable{core::ErrorKind::PeerUnreachable, "no connection"};

constexpr core::TimePoint deadline{milliseconds(300)};

/// Simulates sides that execute each request that reaches them, whether or not the entry learns of it. runs() counts
/// the executions.
class AttemptSimulation
{
public:
    explicit AttemptSimulation(bool isIdempotent) : m_isIdempotent(isIdempotent), m_attempts({isIdempotent, deadline})
    { }

    void start()
    {
        if (!m_mayStart || m_attempts.isOver()) {
            return;
        }
        RC_ASSERT((m_isIdempotent || m_runs == 0));
        m_mayStart = false;
        m_isInProgress = true;
        m_isSent = false;
        m_hasRun = false;
        m_current = m_attempts.attemptStarted();
    }

    void send()
    {
        if (m_isInProgress) {
            apply(m_attempts.readyToSend(m_current));
        }
    }

    void run()
    {
        const bool isCurrent = m_isSent && !m_hasRun;
        if (!isCurrent && m_orphanedRequests == 0) {
            return;
        }
        m_orphanedRequests -= isCurrent ? 0 : 1;
        m_hasRun = m_hasRun || isCurrent;
        ++m_runs;
        RC_ASSERT(!m_wasReportedNotRun);
    }

    void refuse()
    {
        if (m_isSent && !m_hasRun) {
            m_isSent = false;
            m_isInProgress = false;
            apply(m_attempts.refused(m_current, refusal, m_now));
        }
    }

    void fail(bool isBeforeSending)
    {
        // A connection may be reported as never opened although bytes were handed to it.
        end();
        apply(isBeforeSending ? m_attempts.notSent(m_current, unreachable, m_now)
                              : m_attempts.lost(m_current, loss, m_now));
    }

    void answer(bool isComplete)
    {
        if (!m_hasRun || !m_isSent) {
            return;
        }
        apply(m_attempts.answerStarted(m_current));
        m_hasAnswerBegun = m_hasAnswerBegun || !m_attempts.isOver();
        if (isComplete) {
            apply(m_attempts.answered(m_current));
        }
    }

    void giveUp() { apply(m_attempts.giveUp(refusal)); }
    void disconnect() { apply(m_attempts.callerGone()); }
    void abandon()
    {
        end();
        apply(m_attempts.abandon("the process ends"));
        RC_ASSERT(m_attempts.isOver());
    }

    void repeatOldEvent()
    {
        if (m_current.number() > 1) {
            apply(m_attempts.refused(AttemptNumber(m_current.number() - 1), refusal, m_now));
            apply(m_attempts.answered(AttemptNumber(m_current.number() - 1)));
        }
    }

    void advance(milliseconds step)
    {
        m_now += step;
        apply(m_attempts.tick(m_now));
        RC_ASSERT((m_now < deadline || m_attempts.isOver()));
    }

    int answers() const { return m_answers; }
    int runs() const { return m_runs; }
    bool isDone() const { return m_isDone; }

private:
    void end()
    {
        // The side may still execute a request that it received before the connection to the entry was lost.
        m_orphanedRequests += m_isSent && !m_hasRun ? 1 : 0;
        m_isSent = false;
        m_isInProgress = false;
    }

    void apply(const AttemptActions &actions)
    {
        for (const AttemptAction &action : actions) {
            if (const auto *retry = std::get_if<RetryPossible>(&action)) {
                RC_ASSERT((m_isIdempotent || m_runs == 0));
                RC_ASSERT((retry->ran != core::Ran::No || m_runs == 0));
                RC_ASSERT(!m_hasAnswerBegun);
                RC_ASSERT(m_now < deadline);
                m_mayStart = true;
            } else if (const auto *error = std::get_if<AnswerError>(&action)) {
                ++m_answers;
                RC_ASSERT(!m_hasAnswerBegun);
                const bool isNotRun = error->ran == core::Ran::No;
                m_wasReportedNotRun = isNotRun;
                RC_ASSERT((!isNotRun || m_runs == 0));
                RC_ASSERT((core::answerOf(error->error.kind).ran != core::Ran::No || isNotRun));
                RC_ASSERT(isNotRun != m_attempts.mayHaveRun());
            } else if (std::holds_alternative<SendRequest>(action)) {
                m_isSent = true;
            } else if (std::holds_alternative<BreakAnswer>(action)) {
                ++m_answers;
                RC_ASSERT(m_hasAnswerBegun);
            } else if (std::holds_alternative<RequestDone>(action)) {
                ++m_answers;
                m_isDone = true;
                RC_ASSERT(m_runs > 0);
            }
            RC_ASSERT(m_answers <= 1);
        }
    }

    bool m_isIdempotent;
    RequestAttempts m_attempts;
    core::TimePoint m_now;
    AttemptNumber m_current;
    bool m_mayStart = true;
    bool m_isInProgress = false;
    bool m_isSent = false;
    bool m_hasRun = false;
    int m_orphanedRequests = 0;
    bool m_wasReportedNotRun = false;
    bool m_hasAnswerBegun = false;
    bool m_isDone = false;
    int m_runs = 0;
    int m_answers = 0;
};

void applyEvent(AttemptSimulation &simulation, std::uint8_t event)
{
    switch (event % 16) {
    case 0:
    case 1:
        simulation.start();
        break;
    case 2:
    case 3:
        simulation.send();
        break;
    case 4:
    case 5:
        simulation.run();
        break;
    case 6:
        simulation.refuse();
        break;
    case 7:
        simulation.fail(true);
        break;
    case 8:
        simulation.fail(false);
        break;
    case 9:
        simulation.answer(false);
        break;
    case 10:
        simulation.answer(true);
        break;
    case 11:
        simulation.giveUp();
        break;
    case 12:
        simulation.repeatOldEvent();
        break;
    case 13:
        simulation.advance(milliseconds(event));
        break;
    case 14:
        if (event > 240) {
            simulation.disconnect();
        } else if (event > 208) {
            simulation.abandon();
        }
        break;
    default:
        simulation.start();
        simulation.send();
    }
}

} // namespace

RC_GTEST_PROP(RequestAttemptsTest, notRunIsCorrectAndNonIdempotentWorkRunsAtMostOnce, ())
{
    constexpr std::size_t requestCount = 30;
    const auto requests = *rc::gen::container<std::vector<std::vector<std::uint8_t>>>(
        requestCount, rc::gen::arbitrary<std::vector<std::uint8_t>>());
    for (std::size_t request = 0; request < requestCount; ++request) {
        const bool isIdempotent = request % 2 == 0;
        AttemptSimulation simulation(isIdempotent);
        for (const std::uint8_t event : requests[request]) {
            applyEvent(simulation, event);
            RC_ASSERT((isIdempotent || simulation.runs() <= 1));
        }
    }
}

TEST(RequestAttemptsTest, requestWithoutFaultsRunsOnceAndIsAnswered)
{
    AttemptSimulation simulation(false);
    simulation.start();
    simulation.send();
    simulation.run();
    simulation.answer(true);
    EXPECT_EQ(simulation.runs(), 1);
    EXPECT_TRUE(simulation.isDone());
}

TEST(RequestAttemptsTest, withdrawnAttemptHasNotRunAndMakesRoomForAnother)
{
    RequestAttempts request({false, deadline});
    const auto first = request.attemptStarted();
    request.withdrawn(first);
    EXPECT_TRUE(std::holds_alternative<CancelAttempt>(request.readyToSend(first).front()));
    EXPECT_FALSE(request.mayHaveRun());
    const auto second = request.attemptStarted();
    EXPECT_TRUE(std::holds_alternative<SendRequest>(request.readyToSend(second).front()));
    request.withdrawn(second);
    EXPECT_TRUE(request.mayHaveRun()) << "its first byte was handed over";
    EXPECT_TRUE(std::holds_alternative<RequestDone>(request.answered(second).front()));
}

TEST(RequestAttemptsTest, refusalAfterALossIsAnsweredAsUnknown)
{
    RequestAttempts attempts({true, deadline});
    const AttemptNumber first = attempts.attemptStarted();
    attempts.readyToSend(first);
    attempts.lost(first, loss, core::TimePoint());
    const AttemptNumber second = attempts.attemptStarted();
    attempts.readyToSend(second);
    attempts.refused(second, refusal, core::TimePoint());
    const auto actions = attempts.giveUp(refusal);
    const auto &answer = std::get<AnswerError>(actions.front());
    EXPECT_EQ(answer.ran, core::Ran::Unknown);
    EXPECT_EQ(answer.error.kind, core::ErrorKind::BackendServerLost);
}

// Another attempt may continue a stream, from the last event that the caller has received.
TEST(RequestAttemptsTest, resumableAnswerMayContinueInAnotherAttempt)
{
    constexpr core::TimePoint now{milliseconds(10)};
    RequestAttempts attempts({true, deadline, true});
    const auto first = attempts.attemptStarted();
    attempts.readyToSend(first);
    attempts.answerStarted(first);
    const auto actions = attempts.lost(first, loss, now);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<RetryPossible>(actions.front()));
    const auto second = attempts.attemptStarted();
    attempts.readyToSend(second);
    const auto refused = attempts.refused(second, refusal, now);
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<RetryPossible>(refused.front()));
    const auto last = attempts.giveUp(refusal);
    ASSERT_EQ(last.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<BreakAnswer>(last.front()));
}

} // namespace lycheelanding::decisions::attempts
