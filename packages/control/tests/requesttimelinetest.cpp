#include "private/requesttimeline.h"

#include "lycheelanding/control/controltool.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

namespace lycheelanding::control {

namespace {

const std::string entryLog = R"({"time":900,"process":"entry-1","event":"storeLost","what":"registry"}
{"time":1700,"process":"entry-1","event":"retry","request":"ab","reason":"backendServerLost","detail":"no event for 600 ms, and no news of its VM","attempts":1}
not a line of the log
{"time":1800,"process":"entry-1","event":"requestOver","request":"cd","outcome":"answered","status":200,"backend":"b-1","attempts":1,"ms":10}
{"time":2600,"process":"entry-1","event":"requestOver","request":"ab","outcome":"answered","status":200,"backend":"b-2","attempts":2,"ms":1600}
{"time":2700,"process":"entry-1","event":"storeLost","what":"registry"}
)";
// Some platforms prefix each log line with the time and the VM.
const std::string sideLog
    = R"(  1.20 side-4 {"time":1200,"process":"side-4","event":"mapSwitchBegun","skewBefore1000":3100}
  1.30 side-4 {"time":1300,"process":"side-4","event":"backendUnusable","backend":"b-9","reason":"removed"}
  1.40 side-4 {"time":1400,"process":"side-4","event":"backendUnusable","backend":"b-2","reason":"draining"}
)";

std::vector<std::string> eventNames(const std::vector<LogEvent> &timeline)
{
    std::vector<std::string> names;
    names.reserve(timeline.size());
    for (const auto &event : timeline) {
        names.push_back(event.name);
    }
    return names;
}

} // namespace

TEST(RequestTimelineTest, holdsRequestEventsAndTheirContextInTimeOrder)
{
    const auto timeline = requestTimeline("ab", {entryLog, sideLog});
    const std::vector<std::string> expected{"mapSwitchBegun", "backendUnusable", "retry", "requestOver"};
    EXPECT_EQ(eventNames(timeline), expected);
    const auto text = timelineText(timeline);
    EXPECT_NE(text.find("+500 ms  entry-1  retry"), std::string::npos) << text;
    EXPECT_NE(text.find("detail=no event for 600 ms"), std::string::npos) << text;
    EXPECT_EQ(timelineJson(timeline).back()["outcome"], "answered");
}

TEST(RequestTimelineTest, unknownRequestHasNoEvents)
{
    EXPECT_TRUE(requestTimeline("ef", {entryLog, sideLog}).empty());
}

TEST(RequestTimelineTest, commandReadsFilesAndNeedsNoEntry)
{
    const auto file = std::filesystem::path(testing::TempDir()) / "entry.log";
    std::ofstream(file) << entryLog;
    const auto result = runTool({"explain", "ab", file.string()});
    EXPECT_EQ(result.code, ExitCode::Ok) << result.message;
    EXPECT_NE(result.output.find("requestOver"), std::string::npos);
    const auto asJson = runTool({"explain", "ab", file.string(), "--json"});
    EXPECT_TRUE(asJson.output.starts_with("["));
    EXPECT_EQ(runTool({"explain", "ef", file.string()}).code, ExitCode::Failed);
    EXPECT_EQ(runTool({"explain", "ab"}).code, ExitCode::Invalid);
    EXPECT_EQ(runTool({"explain", "ab", file.string() + ".missing"}).code, ExitCode::Invalid);
}

} // namespace lycheelanding::control
