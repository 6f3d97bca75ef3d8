#include "scaling.h"

#include "lycheelanding/wire/framecodec.h"

namespace lycheelanding::bench::capacity {

namespace {

template <typename Message>
double frameBytes(const Message &message)
{
    return static_cast<double>(wire::frameHeaderBytes
                               + wire::makeFrame(message, core::ConfigurationVersion(1)).payload.size());
}

wire::RequestStart requestWithBody(std::size_t bytes)
{
    wire::RequestStart request;
    request.organisation = core::OrganisationId("organisation-123");
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers.add("Content-Type", "application/json");
    request.headers.add("Organisation", "organisation-123");
    request.body = std::string(bytes, 'x');
    return request;
}

} // namespace

std::vector<ScalingRow> measureMessages()
{
    std::vector<ScalingRow> rows;
    for (const std::size_t ranks : {0, 8, 16, 64}) {
        wire::Heartbeat heartbeat;
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            heartbeat.ranks.push_back({core::RankIndex(rank), 1000 * rank});
        }
        rows.push_back({"heartbeat, by ranks", ranks, frameBytes(heartbeat), "bytes"});
        const auto frame = wire::makeFrame(heartbeat, core::ConfigurationVersion(1));
        rows.push_back({"heartbeat encoded, by ranks", ranks,
                        microsecondsPerCall([&] { wire::makeFrame(heartbeat, core::ConfigurationVersion(1)); }), "us"});
        rows.push_back({"heartbeat decoded, by ranks", ranks,
                        microsecondsPerCall([&] { wire::messageOf<wire::Heartbeat>(frame); }), "us"});
    }
    for (const std::size_t bytes : {0, 1024, 16384}) {
        rows.push_back({"request start, by body bytes", bytes, frameBytes(requestWithBody(bytes)), "bytes"});
    }
    for (const std::size_t bytes : {0, 160}) {
        wire::AnswerChunk chunk;
        chunk.bytes = std::string(bytes, 'x');
        rows.push_back({"answer chunk, by bytes", bytes, frameBytes(chunk), "bytes"});
        rows.push_back({"answer chunk encoded, by bytes", bytes,
                        microsecondsPerCall([&] { wire::makeFrame(chunk, core::ConfigurationVersion(1)); }), "us"});
    }
    return rows;
}

} // namespace lycheelanding::bench::capacity
