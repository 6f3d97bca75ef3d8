#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/wire/boundedinputarchive.h"
#include "lycheelanding/wire/messages.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <sstream>
#include <string>

namespace lycheelanding::wire {

constexpr std::uint16_t protocolVersion = 1;
constexpr std::size_t frameHeaderBytes = 20;
/// Maximum size of a frame's payload: the largest configuration (1 MiB) and headroom for its envelope.
constexpr std::size_t maxPayloadBytes = std::size_t{2} * 1024 * 1024;

/// One encoded message, with the sender's configuration version.
struct Frame
{
    MessageType type = MessageType::Hello;
    core::ConfigurationVersion configurationVersion;
    std::string payload;
};

struct FrameHeader
{
    MessageType type = MessageType::Hello;
    core::ConfigurationVersion configurationVersion;
    std::uint32_t payloadBytes = 0;
};

using FrameHeaderBytes = std::array<char, frameHeaderBytes>;

/// All numbers of the header are big-endian.
FrameHeaderBytes encodeHeader(const Frame &frame);

/// Fails with ProtocolMismatch for another protocol, protocol version or unknown message type, and with RequestTooLarge
/// for a payload over maxPayloadBytes.
core::Result<FrameHeader> decodeHeader(const FrameHeaderBytes &bytes);

/// Encodes a message into a frame.
template <typename Message>
Frame makeFrame(const Message &message, core::ConfigurationVersion version)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
    }
    return Frame{Message::type, version, std::move(stream).str()};
}

/// Decodes the message in a frame. Fails with ProtocolMismatch if the frame has another type or its payload cannot be
/// decoded.
template <typename Message>
core::Result<Message> messageOf(const Frame &frame)
{
    if (frame.type != Message::type) {
        return core::Error{core::ErrorKind::ProtocolMismatch, "unexpected message " + std::string(nameOf(frame.type))};
    }
    try {
        BoundedInputArchive archive(frame.payload);
        Message message;
        archive(message);
        return message;
    } catch (const std::exception &exception) {
        return core::Error{core::ErrorKind::ProtocolMismatch,
                           "message " + std::string(nameOf(frame.type)) + " cannot be read: " + exception.what()};
    }
}

} // namespace lycheelanding::wire
