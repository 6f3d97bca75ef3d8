#include "lycheelanding/forwarding/eventstreamparser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lycheelanding::forwarding {

namespace {

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: part " + std::to_string(id) + "\n\n";
}

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += event(id);
    }
    return text;
}

} // namespace

TEST(EventStreamParserTest, eventIsReturnedOnceItIsComplete)
{
    EventStreamParser stream;
    EXPECT_EQ(stream.parse("id: 1\nda"), "");
    EXPECT_EQ(stream.lastId(), std::nullopt);
    EXPECT_EQ(stream.parse("ta: part 1\n\nid: 2\n"), event(1));
    EXPECT_EQ(stream.lastId(), 1U);
}

TEST(EventStreamParserTest, linesMayEndWithCarriageReturnAndLineFeed)
{
    EventStreamParser stream;
    EXPECT_EQ(stream.parse("id: 7\r\ndata: a\r\n\r\n"), "id: 7\r\ndata: a\r\n\r\n");
    EXPECT_EQ(stream.lastId(), 7U);
}

TEST(EventStreamParserTest, eventWithoutAnIdKeepsTheLastId)
{
    EventStreamParser stream;
    stream.parse(event(4));
    EXPECT_EQ(stream.parse("data: x\n\n"), "data: x\n\n");
    EXPECT_EQ(stream.lastId(), 4U);
}

TEST(EventStreamParserTest, flushReturnsTheIncompleteEvent)
{
    EventStreamParser stream;
    stream.parse(event(1) + "data: tail");
    EXPECT_EQ(stream.flush(), "data: tail");
    EXPECT_EQ(stream.flush(), "");
}

TEST(EventStreamParserTest, backendThatRestartsTheStreamCausesNoDuplicates)
{
    EventStreamParser stream;
    stream.parse(event(1) + event(2) + "id: 3\nda");
    stream.restart();
    EXPECT_EQ(stream.parse(events(1, 4)), event(3) + event(4));
}

/// A stream is cut at arbitrary positions and resumed by other backend servers after the last complete event, in pieces
/// of arbitrary size: the caller gets each event once and in order.
RC_GTEST_PROP(EventStreamParserFuzz, noEventIsMissingOrDuplicated, ())
{
    const int count = *rc::gen::inRange(1, 30);
    const int cuts = *rc::gen::inRange(0, 4);
    EventStreamParser stream;
    std::string received;
    for (int cut = 0; cut <= cuts; ++cut) {
        const int next = static_cast<int>(stream.lastId().value_or(0)) + 1;
        std::string text = next <= count ? events(next, count) : std::string();
        if (cut < cuts) {
            text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
        }
        while (!text.empty()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, text.size() + 1);
            received += stream.parse(text.substr(0, size));
            text.erase(0, size);
        }
        if (cut < cuts) {
            stream.restart();
        }
    }
    received += stream.flush();
    RC_ASSERT(received == events(1, count));
}

} // namespace lycheelanding::forwarding
