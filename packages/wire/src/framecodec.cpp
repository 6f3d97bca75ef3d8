#include "lycheelanding/wire/framecodec.h"

namespace lycheelanding::wire {

namespace {

constexpr std::uint32_t magic = 0x4c59434c; // "LYCL"

template <typename Number>
char *writeNumber(char *out, Number number)
{
    for (int shift = (static_cast<int>(sizeof(Number)) - 1) * 8; shift >= 0; shift -= 8) {
        *out++ = static_cast<char>((number >> shift) & 0xff);
    }
    return out;
}

template <typename Number>
Number readNumber(const char *&in)
{
    Number number = 0;
    for (std::size_t index = 0; index < sizeof(Number); ++index) {
        number = static_cast<Number>((number << 8) | static_cast<unsigned char>(*in++));
    }
    return number;
}

} // namespace

FrameHeaderBytes encodeHeader(const Frame &frame)
{
    FrameHeaderBytes bytes{};
    char *out = bytes.data();
    out = writeNumber(out, magic);
    out = writeNumber(out, protocolVersion);
    out = writeNumber(out, static_cast<std::uint16_t>(frame.type));
    out = writeNumber(out, frame.configurationVersion.number());
    writeNumber(out, static_cast<std::uint32_t>(frame.payload.size()));
    return bytes;
}

core::Result<FrameHeader> decodeHeader(const FrameHeaderBytes &bytes)
{
    const char *in = bytes.data();
    if (readNumber<std::uint32_t>(in) != magic) {
        return core::Error{core::ErrorKind::ProtocolMismatch, "the bytes are not a frame of this protocol"};
    }
    const auto version = readNumber<std::uint16_t>(in);
    if (version != protocolVersion) {
        return core::Error{core::ErrorKind::ProtocolMismatch,
                           "protocol version " + std::to_string(version) + " where " + std::to_string(protocolVersion)
                               + " is spoken"};
    }
    FrameHeader header;
    header.type = static_cast<MessageType>(readNumber<std::uint16_t>(in));
    header.configurationVersion = core::ConfigurationVersion(readNumber<std::uint64_t>(in));
    header.payloadBytes = readNumber<std::uint32_t>(in);
    if (!isKnown(header.type)) {
        return core::Error{core::ErrorKind::ProtocolMismatch,
                           "message type " + std::to_string(static_cast<int>(header.type)) + " is not known"};
    }
    if (header.payloadBytes > maxPayloadBytes) {
        return core::Error{core::ErrorKind::RequestTooLarge,
                           "a frame of " + std::to_string(header.payloadBytes) + " bytes is over the bound"};
    }
    return header;
}

} // namespace lycheelanding::wire
