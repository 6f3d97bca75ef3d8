#include "lycheelanding/wire/framecodec.h"

#include <gtest/gtest.h>

#include <sys/resource.h>

#include <cstring>

namespace lycheelanding::wire {

namespace {

RequestStart sampleRequest()
{
    RequestStart request;
    request.key = {core::Incarnation(7), core::RequestNumber(8)};
    request.organisation = core::OrganisationId("plating");
    request.rank = 3;
    request.method = "POST";
    request.headers.add("A", "b");
    request.body = std::string("\0x", 2);
    return request;
}

} // namespace

TEST(FrameCodecTest, decodingRestoresTheEncodedMessage)
{
    const auto frame = makeFrame(sampleRequest(), core::ConfigurationVersion(5));
    const auto message = messageOf<RequestStart>(frame);
    ASSERT_TRUE(core::isOk(message));
    EXPECT_EQ(core::valueOf(message).key, sampleRequest().key);
    EXPECT_EQ(core::valueOf(message).rank, 3U);
    EXPECT_EQ(core::valueOf(message).body, sampleRequest().body);
    EXPECT_EQ(core::valueOf(message).headers.find("a"), "b");
}

TEST(FrameCodecTest, headerCarriesTheConfigurationVersion)
{
    const auto frame = makeFrame(sampleRequest(), core::ConfigurationVersion(5));
    const auto header = decodeHeader(encodeHeader(frame));
    ASSERT_TRUE(core::isOk(header));
    EXPECT_EQ(core::valueOf(header).configurationVersion, core::ConfigurationVersion(5));
    EXPECT_EQ(core::valueOf(header).payloadBytes, frame.payload.size());
}

TEST(FrameCodecTest, rejectsHeadersWithInvalidFields)
{
    const auto validHeader = encodeHeader(makeFrame(sampleRequest(), core::ConfigurationVersion(5)));
    constexpr std::size_t magicOffset = 0;
    constexpr std::size_t versionOffset = 5;
    constexpr std::size_t typeOffset = 6;
    constexpr std::size_t lengthOffset = 16;
    for (const auto position : {magicOffset, versionOffset, typeOffset, lengthOffset}) {
        auto bytes = validHeader;
        bytes[position] = static_cast<char>(0x7f);
        EXPECT_FALSE(core::isOk(decodeHeader(bytes))) << position;
    }
}

TEST(FrameCodecTest, rejectsTruncatedPayloads)
{
    const auto frame = makeFrame(sampleRequest(), core::ConfigurationVersion(5));
    for (std::size_t length = 0; length < frame.payload.size(); ++length) {
        auto truncated = frame;
        truncated.payload.resize(length);
        EXPECT_FALSE(core::isOk(messageOf<RequestStart>(truncated))) << length;
    }
}

// A message of a few bytes that claimed to hold gigabytes made its reader allocate them before it found them missing.
TEST(FrameCodecTest, claimedSizesTakeNoMemory)
{
    constexpr std::uint64_t claimed = 512ULL * 1024 * 1024;
    constexpr long maxTakenKilobytes = 64L * 1024;
    const auto peakKilobytes = [] {
        rusage usage{};
        getrusage(RUSAGE_SELF, &usage);
        return usage.ru_maxrss;
    };
    const auto sound = makeFrame(sampleRequest(), core::ConfigurationVersion(5));
    const long before = peakKilobytes();
    // Each position, as some of them begin the size of a text or a list.
    for (std::size_t at = 1; at + sizeof(claimed) <= sound.payload.size(); ++at) {
        auto frame = sound;
        std::memcpy(frame.payload.data() + at, &claimed, sizeof(claimed));
        messageOf<RequestStart>(frame);
    }
    EXPECT_LT(peakKilobytes() - before, maxTakenKilobytes);
}

} // namespace lycheelanding::wire
