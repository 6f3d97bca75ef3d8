#include "entry/basicanswerwriter.h"

#include "lycheelanding/decisions/delivery/answersequencer.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lycheelanding::daemon::entry {

namespace {

using namespace decisions::delivery;

/// Records what is sent to the caller.
class FakeExchange
{
public:
    void respond(const http::HttpResponse &response)
    {
        status = response.status;
        body = response.body;
        hasFinished = true;
    }
    void startStream(int newStatus, const http::HttpHeaders & /*headers*/) { status = newStatus; }
    void sendChunk(const std::string &bytes) { body += bytes; }
    void finish() { hasFinished = true; }
    void abort() { hasAborted = true; }
    std::size_t unsentBytes() const { return body.size(); }

    int status = 0;
    std::string body;
    bool hasFinished = false;
    bool hasAborted = false;
};

const wire::RequestKey key{core::Incarnation(7), core::RequestNumber(3)};
constexpr std::size_t maxUnsentBytes = std::size_t{1024} * 1024;

std::vector<AnswerFrame> framesOf(const std::string &type, const std::string &body, std::size_t chunkBytes = 4)
{
    AnswerSequencer sequencer(shared::answerKeyOf(key), chunkBytes);
    shared::HttpAnswerHead start{200, {}};
    start.headers.add("Content-Type", type);
    auto frames = sequencer.head(shared::encodeHead(start));
    for (auto &frame : sequencer.bytes(body)) {
        frames.push_back(std::move(frame));
    }
    frames.push_back(sequencer.finished().front());
    return frames;
}

class AnswerWriterTest : public testing::Test
{
protected:
    AnswerWriterTest() { writer.restart(key); }

    core::Status writeMessage(const wire::AnswerHead &message) { return writer.writeHead(message); }
    core::Status writeMessage(const wire::AnswerChunk &message) { return writer.writeChunk(message); }
    core::Status writeMessage(const wire::AnswerEnd &message) { return writer.writeEnd(message); }
    /// Returns the error of the first frame that fails.
    core::Status write(const std::vector<AnswerFrame> &frames)
    {
        for (const auto &frame : frames) {
            auto status = std::visit([this](const auto &each) { return writeMessage(shared::messageOf(each)); }, frame);
            if (!core::isOk(status)) {
                return status;
            }
        }
        return core::Done();
    }

    std::shared_ptr<FakeExchange> exchange = std::make_shared<FakeExchange>();
    BasicAnswerWriter<FakeExchange> writer{exchange, maxUnsentBytes};
};

} // namespace

TEST_F(AnswerWriterTest, smallAnswerIsBufferedAndEventStreamIsNot)
{
    for (const bool isStream : {false, true}) {
        exchange = std::make_shared<FakeExchange>();
        writer = BasicAnswerWriter<FakeExchange>(exchange, maxUnsentBytes);
        writer.restart(key);
        auto frames = framesOf(isStream ? "text/event-stream" : "text/plain", "one two three");
        const auto end = frames.back();
        frames.pop_back();
        ASSERT_TRUE(core::isOk(write(frames)));
        EXPECT_EQ(writer.hasBegun(), isStream);
        EXPECT_EQ(exchange->body, isStream ? "one two three" : "");
        ASSERT_TRUE(core::isOk(write({end})));
        EXPECT_TRUE(exchange->hasFinished);
        EXPECT_EQ(exchange->body, "one two three");
        EXPECT_EQ(exchange->status, 200);
    }
}

TEST_F(AnswerWriterTest, missingReorderedOrCorruptFrameGivesAnswerTruncated)
{
    using Fault = std::function<void(std::vector<AnswerFrame> &)>;
    const std::vector<Fault> faults{
        [](auto &frames) { frames.erase(frames.begin()); },
        [](auto &frames) { frames.erase(frames.begin() + 1); },
        [](auto &frames) { frames.erase(frames.end() - 2); },
        [](auto &frames) { std::swap(frames[1], frames[2]); },
        [](auto &frames) { std::get<HeadFrame>(frames[0]).head.back() ^= 1; },
        [](auto &frames) { std::get<HeadFrame>(frames[0]).head.clear(); },
        [](auto &frames) { std::get<ChunkFrame>(frames[1]).bytes[0] ^= 1; },
        [](auto &frames) { --std::get<EndFrame>(frames.back()).chunkCount; },
        [](auto &frames) { ++std::get<EndFrame>(frames.back()).chunkCount; },
        [](auto &frames) {
            auto &number = std::get<ChunkFrame>(frames[1]).key.number;
            number = number.next();
        },
    };
    for (const auto *type : {"text/plain", "text/event-stream"}) {
        for (std::size_t i = 0; i < faults.size(); ++i) {
            exchange = std::make_shared<FakeExchange>();
            writer = BasicAnswerWriter<FakeExchange>(exchange, maxUnsentBytes);
            writer.restart(key);
            auto frames = framesOf(type, "one two three");
            faults[i](frames);
            const auto status = write(frames);
            ASSERT_FALSE(core::isOk(status)) << type << " fault " << i;
            EXPECT_EQ(core::errorOf(status).kind, core::ErrorKind::AnswerTruncated) << type << " fault " << i;
            EXPECT_FALSE(exchange->hasFinished);
        }
    }
}

TEST_F(AnswerWriterTest, repeatedFramesAndFramesOfAnEarlierAttemptAreIgnored)
{
    auto earlier = framesOf("text/plain", "early answer");
    earlier.pop_back();
    ASSERT_TRUE(core::isOk(write(earlier)));
    const wire::RequestKey nextKey{key.entryIncarnation, key.number.next()};
    writer.restart(nextKey);
    ASSERT_TRUE(core::isOk(write(earlier)));
    EXPECT_EQ(writer.status(), 0);
    writer.restart(key);
    auto frames = framesOf("text/plain", "one two three");
    const std::vector<AnswerFrame> repeated(frames.begin(), frames.begin() + 3);
    frames.insert(frames.begin() + 3, repeated.begin(), repeated.end());
    ASSERT_TRUE(core::isOk(write(frames)));
    EXPECT_EQ(exchange->body, "one two three");
}

TEST_F(AnswerWriterTest, largeAnswerIsStreamedAndSlowCallerIsCancelled)
{
    const auto status = write(framesOf("text/plain", std::string(2 * maxUnsentBytes, 'x'), 65536));
    ASSERT_FALSE(core::isOk(status));
    EXPECT_EQ(core::errorOf(status).kind, core::ErrorKind::Cancelled);
    EXPECT_TRUE(writer.hasBegun());
    writer.fail(core::errorOf(status));
    EXPECT_TRUE(exchange->hasAborted);
}

TEST_F(AnswerWriterTest, answerReportedAsBrokenGivesTheErrorOfTheSide)
{
    wire::AnswerEnd end;
    end.key = key;
    end.outcome = wire::AnswerOutcome::Broken;
    end.kind = core::ErrorKind::DeadlineExceeded;
    const auto status = writer.writeEnd(end);
    ASSERT_FALSE(core::isOk(status));
    EXPECT_EQ(core::errorOf(status).kind, core::ErrorKind::DeadlineExceeded);
    EXPECT_FALSE(writer.hasBegun());
}

} // namespace lycheelanding::daemon::entry
