#include "lycheelanding/http/eventstreamscanner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace lycheelanding::http {

namespace {

/// Number of events that end in the bytes.
int scan(EventStreamScanner &scanner, std::string_view bytes)
{
    int events = 0;
    for (auto size = scanner.findEventEnd(bytes); size; size = scanner.findEventEnd(bytes)) {
        bytes.remove_prefix(*size);
        ++events;
    }
    return events;
}

} // namespace

TEST(EventStreamScanner, contentTypeIsComparedWithoutCase)
{
    for (const std::string type : {"text/event-stream", "Text/Event-Stream; charset=utf-8"}) {
        HttpHeaders headers;
        headers.add("content-type", type);
        EXPECT_TRUE(isEventStream(headers)) << type;
    }
    HttpHeaders other;
    EXPECT_FALSE(isEventStream(other));
    other.add("Content-Type", "text/event");
    EXPECT_FALSE(isEventStream(other));
}

TEST(EventStreamScanner, streamIsInsideAnEventUntilItsEmptyLine)
{
    EventStreamScanner scanner;
    for (const std::string_view part : {"i", "d: 1", "\n", "data: a", "\n"}) {
        EXPECT_EQ(scanner.findEventEnd(part), std::nullopt);
        EXPECT_TRUE(scanner.isInsideEvent()) << part;
    }
    EXPECT_EQ(scanner.findEventEnd("\nid: 2"), 1U);
    EXPECT_FALSE(scanner.isInsideEvent());
    EXPECT_TRUE(scanner.hasSeenEvent());
}

TEST(EventStreamScanner, commentsAndEmptyLinesAreNoEvent)
{
    EventStreamScanner scanner;
    scan(scanner, "\n\n: comment\n\n: another\n");
    EXPECT_FALSE(scanner.isInsideEvent());
    EXPECT_FALSE(scanner.hasSeenEvent());
    scan(scanner, ": unfinished");
    EXPECT_TRUE(scanner.isInsideEvent());
}

/// Events with line ends of each kind, cut at any position and received in pieces of any size: the stream is inside an
/// event unless the cut is between two events.
RC_GTEST_PROP(EventStreamScannerFuzz, cutInsideAnEventIsRecognised, ())
{
    const auto lineEnd = *rc::gen::element<std::string>("\n", "\r\n", "\r");
    const int count = *rc::gen::inRange(1, 6);
    std::string text;
    // Also after the carriage return of an event's last line end, since a line feed alone changes nothing there.
    std::vector<std::size_t> boundaries{0};
    for (int number = 0; number < count; ++number) {
        text.append("id: ").append(std::to_string(number)).append(lineEnd);
        text.append("data: x").append(lineEnd).append(lineEnd);
        boundaries.push_back(text.size());
        boundaries.push_back(lineEnd.size() == 2 ? text.size() - 1 : text.size());
    }
    const auto cut = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    std::string rest = text.substr(0, cut);
    EventStreamScanner scanner;
    while (!rest.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
        scan(scanner, std::string_view(rest).substr(0, size));
        rest.erase(0, size);
    }
    const bool isBoundary = std::find(boundaries.begin(), boundaries.end(), cut) != boundaries.end();
    RC_ASSERT(scanner.isInsideEvent() != isBoundary);
}

} // namespace lycheelanding::http
