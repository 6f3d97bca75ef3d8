#include "lycheelanding/http/httpmessages.h"

#include <gtest/gtest.h>

namespace lycheelanding::http {

TEST(HttpMessages, headerNamesCompareWithoutCase)
{
    HttpHeaders headers;
    headers.add("Idempotency-Key", "one");
    headers.add("idempotency-key", "two");
    EXPECT_EQ(headers.find("IDEMPOTENCY-KEY"), "one");
    EXPECT_EQ(headers.find("Idempotency"), std::nullopt);
}

TEST(HttpMessages, targetIsSplitAndDecoded)
{
    HttpRequest request;
    request.target = "/kv/a%20b?prefix=x%2Fy&flag&bad=%4&last=%41";
    EXPECT_EQ(request.path(), "/kv/a%20b");
    EXPECT_EQ(request.queryParameter("prefix"), "x/y");
    EXPECT_EQ(request.queryParameter("flag"), "");
    EXPECT_EQ(request.queryParameter("bad"), "%4");
    EXPECT_EQ(request.queryParameter("last"), "A");
    EXPECT_EQ(request.queryParameter("none"), std::nullopt);
}

TEST(HttpMessages, bodyFramingFollowsFromStatusAndHeaders)
{
    HttpHeaders none;
    HttpHeaders length;
    length.add("content-length", "3");
    HttpHeaders chunked;
    chunked.add("Transfer-Encoding", "gzip, Chunked");
    HttpHeaders encoded;
    encoded.add("Transfer-Encoding", "gzip");
    EXPECT_EQ(bodyFramingOf(200, none), BodyFraming::ConnectionEnd);
    EXPECT_EQ(bodyFramingOf(200, length), BodyFraming::ContentLength);
    EXPECT_EQ(bodyFramingOf(200, chunked), BodyFraming::Chunked);
    EXPECT_EQ(bodyFramingOf(200, encoded), BodyFraming::ConnectionEnd);
    EXPECT_EQ(bodyFramingOf(204, none), BodyFraming::NoBody);
    EXPECT_EQ(bodyFramingOf(304, length), BodyFraming::NoBody);
}

} // namespace lycheelanding::http
