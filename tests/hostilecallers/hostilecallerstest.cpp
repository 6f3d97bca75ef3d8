#include "platformentry.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace lycheelanding::tests {

namespace {

constexpr std::size_t maxBodyBytes = 4UL * 1024 * 1024;
constexpr std::size_t overLimitBytes = 16UL * 1024 * 1024;
constexpr std::size_t wholePiece = maxBodyBytes * 8;
constexpr std::size_t smallPiece = 1000;
constexpr std::size_t largeChunk = 64UL * 1024;
constexpr std::size_t bodyOfSmallChunks = 1024UL * 1024;

struct HostileCase
{
    std::size_t callers;
    /// What each caller sends; it reads nothing and keeps its connection open.
    std::string bytes;
    /// Bytes that a caller sends in one go.
    std::size_t pieceBytes;
};

std::string head(const std::string &method, const std::string &target, const std::string &fields)
{
    return method + " " + target + " HTTP/1.1\r\nHost: callers.example\r\n" + fields + "\r\n";
}

std::string announced(const std::string &target, std::size_t announcedBytes, std::size_t sentBytes)
{
    return head("POST", target, "Content-Length: " + std::to_string(announcedBytes) + "\r\n")
        + std::string(sentBytes, 'x');
}

/// A chunked request without its last chunk.
std::string chunked(std::size_t bodyBytes, std::size_t chunkBytes)
{
    std::ostringstream text;
    text << head("POST", "/plain/x", "Transfer-Encoding: chunked\r\n");
    const std::string chunk(chunkBytes, 'x');
    for (std::size_t sent = 0; sent < bodyBytes; sent += chunkBytes) {
        text << std::hex << chunkBytes << "\r\n" << chunk << "\r\n";
    }
    return text.str();
}

/// A connection on which as many bytes are sent as the entry accepts.
class HostileCaller
{
public:
    HostileCaller(asio::io_context &context, std::uint16_t port) : m_socket(context)
    {
        asio::error_code error;
        m_socket.connect({asio::ip::make_address("127.0.0.1"), port}, error);
        m_socket.non_blocking(true, error);
        m_isDone = static_cast<bool>(error);
    }

    /// Sends one piece and returns whether the entry accepted bytes.
    bool sendPiece(const HostileCase &test)
    {
        const std::string_view rest = std::string_view(test.bytes).substr(m_sentBytes, test.pieceBytes);
        if (rest.empty() || m_isDone) {
            return false;
        }
        asio::error_code error;
        const auto count = m_socket.write_some(asio::buffer(rest), error);
        m_isDone = error && error != asio::error::would_block;
        m_sentBytes += count;
        return count > 0;
    }

private:
    asio::ip::tcp::socket m_socket;
    std::size_t m_sentBytes = 0;
    bool m_isDone = false;
};

/// Checks that the entry stays within its limits and serves others while the callers' connections are open.
void expectServiceDespite(const HostileCase &test)
{
    const PlatformEntry entry;
    asio::io_context context;
    std::vector<HostileCaller> callers;
    callers.reserve(test.callers);
    for (std::size_t number = 0; number < test.callers; ++number) {
        callers.emplace_back(context, entry.port());
    }
    std::size_t mostDescriptors = 0;
    // The entry may stop reading for as long as it likes; the callers send until it has accepted nothing for a while.
    constexpr int maxRoundsWithoutProgress = 100;
    for (int rounds = 0; rounds < maxRoundsWithoutProgress; ++rounds) {
        for (auto &caller : callers) {
            rounds = caller.sendPiece(test) ? 0 : rounds;
        }
        if (rounds > 0) {
            mostDescriptors = std::max(mostDescriptors, entry.openDescriptors());
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }
    mostDescriptors = std::max(mostDescriptors, entry.openDescriptors());
    EXPECT_EQ(entry.ordinaryRequest(), 200);
    ASSERT_TRUE(entry.isAlive());
    const auto memoryKb = entry.peakMemoryKb();
    std::cout << memoryKb << " kB, " << mostDescriptors << " descriptors\n";
    EXPECT_LE(memoryKb, PlatformEntry::memoryMb * 1024);
    EXPECT_LE(mostDescriptors, PlatformEntry::maxFds);
}

} // namespace

// The share of large bodies was smaller than one body on VMs with little memory.
TEST(HostileCallers, singleRequestOfTheLargestSizeIsServed)
{
    const PlatformEntry entry;
    EXPECT_EQ(entry.ordinaryRequest(maxBodyBytes), 200);
    EXPECT_LE(entry.peakMemoryKb(), PlatformEntry::memoryMb * 1024);
}

// Answers that arrive faster than a caller reads were cut off at 256 kB, as the kernel's buffers are small.
TEST(HostileCallers, answerLargerThanTheBuffersIsServed)
{
    const PlatformEntry entry;
    EXPECT_EQ(entry.mediumAnswer(), PlatformEntry::mediumAnswerBytes);
}

// Guards against readiness probes that are reset because earlier probes have left their connections open.
TEST(HostileCallers, readinessIsAnsweredDespiteIdleConnections)
{
    const PlatformEntry entry;
    asio::io_context context;
    std::vector<HostileCaller> callers;
    constexpr std::size_t moreThanAccepted = 40;
    for (std::size_t number = 0; number < moreThanAccepted; ++number) {
        callers.emplace_back(context, entry.readinessPort());
    }
    EXPECT_EQ(entry.readinessStatus(), 200);
}

// The failures that the cases guard against: a process that the operating system ends for its memory, one that fails to
// accept or to reach backend servers for lack of descriptors, and ordinary callers without an answer.

// Complete requests that no backend server answers occupied their memory twice, as received and as sent.
TEST(HostileCallers, wholeBodiesHeldByTheBackend)
{
    expectServiceDespite({48, announced("/held/x", maxBodyBytes, maxBodyBytes), wholePiece});
}

// 60 callers with bodies of 4 MiB less one byte occupied 288 MB at an entry whose VM had 112 MB.
TEST(HostileCallers, wholeBodiesOneByteShort)
{
    expectServiceDespite({48, announced("/plain/x", maxBodyBytes, maxBodyBytes - 1), wholePiece});
}

TEST(HostileCallers, piecesOneByteShort)
{
    expectServiceDespite({48, announced("/plain/x", maxBodyBytes, maxBodyBytes - 1), smallPiece});
}

TEST(HostileCallers, largeChunksWithoutAnEnd)
{
    expectServiceDespite({48, chunked(maxBodyBytes, largeChunk), wholePiece});
}

TEST(HostileCallers, oneByteChunksWithoutAnEnd)
{
    expectServiceDespite({64, chunked(bodyOfSmallChunks, 1), wholePiece});
}

TEST(HostileCallers, overTheLimitAnnounced)
{
    expectServiceDespite({48, announced("/plain/x", overLimitBytes, overLimitBytes), wholePiece});
}

// Nothing is known of the size of these before it is over the limit.
TEST(HostileCallers, overTheLimitChunked)
{
    expectServiceDespite({48, chunked(overLimitBytes, largeChunk), wholePiece});
}

TEST(HostileCallers, largeAnswersNeverRead)
{
    expectServiceDespite({64, head("GET", "/large/x", ""), wholePiece});
}

TEST(HostileCallers, moreConnectionsThanDescriptors)
{
    expectServiceDespite({300, "POST /plain/x HTTP/1.1\r\nHost: callers", wholePiece});
}

TEST(HostileCallers, moreIdleConnectionsThanDescriptors)
{
    expectServiceDespite({300, "", wholePiece});
}

} // namespace lycheelanding::tests
