#pragma once

#include "lycheelanding/http/httpmessages.h"
#include "private/headsyntax.h"

#include <http_parser.h>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace lycheelanding::http {

/// Limits on a peer's messages; a message that exceeds one is a parser error.
struct ParserBounds
{
    std::size_t maxTargetBytes = 8UL * 1024;
    std::size_t maxHeaderNameBytes = 256;
    std::size_t maxHeaderValueBytes = 64UL * 1024;
    std::size_t maxHeaderCount = 128;
    /// Of the start line and all fields together.
    std::size_t maxHeadBytes = 64UL * 1024;
    /// What may come after the head that is no part of the body, such as chunk sizes, chunk extensions and the trailer:
    /// this much, and some bytes for each byte of the body.
    std::size_t maxFramingBytes = 8UL * 1024;
    std::size_t maxFramingBytesPerBodyByte = 16;
    /// 0 means no limit.
    std::size_t maxBodyBytes = 0;
};

/// The head of a request or of an answer; members that do not apply are empty or 0.
struct ParsedHead
{
    std::string method;
    std::string target;
    int status = 0;
    HttpHeaders headers;
};

/// Receives the parts of a parsed message. onHead() returns whether the message may have a body; false for the answer
/// to a HEAD request.
template <typename Type>
concept MessageSink = requires(Type &sink, ParsedHead head, std::string_view bytes)
{
    {
        sink.onHead(std::move(head))
        } -> std::same_as<bool>;
    sink.onBody(bytes);
    sink.onMessageEnd();
};

enum class ParseState : std::uint8_t {
    /// All bytes were consumed and the message is incomplete.
    NeedsMore,
    /// The message is complete; bytes after it were not consumed.
    MessageEnded,
    /// The peer requests an upgrade to another protocol.
    Upgrade,
    Failed,
};

/// Parses the bytes of a connection into messages, one after the other, with http_parser.
template <typename Sink>
class MessageParser
{
public:
    MessageParser(MessageType type, const ParserBounds &bounds, Sink &sink)
        : m_bounds(bounds), m_sink(sink), m_syntax(type)
    {
        http_parser_init(&m_parser, type == MessageType::Request ? HTTP_REQUEST : HTTP_RESPONSE);
        m_parser.data = this;
    }
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Parses up to the end of one message and removes the consumed bytes from `bytes`.
    ParseState parse(std::string_view &bytes)
    {
        m_hasEnded = false;
        if (HTTP_PARSER_ERRNO(&m_parser) == HPE_PAUSED) {
            http_parser_pause(&m_parser, 0);
        }
        const bool wasInBody = m_hasStarted && m_isHeadEnded;
        if (!wasInBody && m_syntax.check(bytes) == HeadSyntax::Result::Invalid) {
            return ParseState::Failed;
        }
        const std::size_t bodyBytesBefore = m_bodyBytes;
        const std::size_t consumedBytes = http_parser_execute(&m_parser, &settings(), bytes.data(), bytes.size());
        if (wasInBody) {
            m_framingBytes += consumedBytes - (m_bodyBytes - bodyBytesBefore);
        }
        m_hasStarted = m_hasStarted || consumedBytes > 0;
        bytes.remove_prefix(consumedBytes);
        if (m_parser.upgrade != 0) {
            return ParseState::Upgrade;
        }
        if (m_framingBytes > m_bounds.maxFramingBytes + m_bodyBytes * m_bounds.maxFramingBytesPerBodyByte) {
            return ParseState::Failed;
        }
        const auto error = HTTP_PARSER_ERRNO(&m_parser);
        if (m_hasEnded && (error == HPE_OK || error == HPE_PAUSED)) {
            m_hasStarted = false;
            m_syntax.restart();
            return ParseState::MessageEnded;
        }
        return error == HPE_OK ? ParseState::NeedsMore : ParseState::Failed;
    }

    /// Called when the peer has closed the connection. Completes a message whose body ends there; returns whether there
    /// was one.
    bool parseEnd()
    {
        m_hasEnded = false;
        if (HTTP_PARSER_ERRNO(&m_parser) == HPE_PAUSED) {
            http_parser_pause(&m_parser, 0);
        }
        http_parser_execute(&m_parser, &settings(), nullptr, 0);
        return m_hasEnded;
    }

    /// Whether a message is partly parsed.
    bool isInMessage() const { return m_hasStarted; }
    bool isInHead() const { return m_hasStarted && !m_isHeadEnded; }
    /// Bytes of the start line and the fields of the message so far.
    std::size_t headBytes() const { return m_headBytes; }
    /// In onHead(): the length that the message announces for its body.
    std::optional<std::uint64_t> announcedBytes() const
    {
        const bool isChunked = (m_parser.flags & F_CHUNKED) != 0;
        return isChunked || m_parser.content_length == UINT64_MAX ? std::nullopt
                                                                  : std::optional(m_parser.content_length);
    }
    bool isKeepAlive() const { return http_should_keep_alive(&m_parser) != 0; }
    bool isHttp10() const { return m_parser.http_major == 1 && m_parser.http_minor == 0; }
    std::string_view errorName() const { return http_errno_name(HTTP_PARSER_ERRNO(&m_parser)); }

private:
    static MessageParser &self(http_parser *parser) { return *static_cast<MessageParser *>(parser->data); }

    static const http_parser_settings &settings()
    {
        static const http_parser_settings callbacks = [] {
            http_parser_settings result;
            http_parser_settings_init(&result);
            result.on_message_begin = [](http_parser *parser) { return self(parser).beginMessage(); };
            result.on_url = [](http_parser *parser, const char *at, std::size_t size) {
                return self(parser).addTarget({at, size});
            };
            result.on_header_field = [](http_parser *parser, const char *at, std::size_t size) {
                return self(parser).addName({at, size});
            };
            result.on_header_value = [](http_parser *parser, const char *at, std::size_t size) {
                return self(parser).addValue({at, size});
            };
            result.on_headers_complete = [](http_parser *parser) { return self(parser).endHead(); };
            result.on_body = [](http_parser *parser, const char *at, std::size_t size) {
                return self(parser).addBody({at, size});
            };
            result.on_message_complete = [](http_parser *parser) { return self(parser).endMessage(); };
            return result;
        }();
        return callbacks;
    }

    int beginMessage()
    {
        m_head = ParsedHead();
        m_name.clear();
        m_value.clear();
        m_headerCount = 0;
        m_headBytes = 0;
        m_bodyBytes = 0;
        m_framingBytes = 0;
        m_isInValue = false;
        m_isHeadEnded = false;
        return 0;
    }

    int addTarget(std::string_view bytes)
    {
        m_head.target.append(bytes);
        return m_head.target.size() > m_bounds.maxTargetBytes || isHeadTooLong(bytes.size()) ? 1 : 0;
    }

    int addName(std::string_view bytes)
    {
        if (m_isHeadEnded) {
            // Trailer fields are ignored.
            return std::all_of(bytes.begin(), bytes.end(), isTokenCharacter) ? 0 : 1;
        }
        if (m_isInValue) {
            endField();
        }
        m_name.append(bytes);
        const bool isTooMuch = m_name.size() > m_bounds.maxHeaderNameBytes || m_headerCount >= m_bounds.maxHeaderCount;
        return isTooMuch || isHeadTooLong(bytes.size()) ? 1 : 0;
    }

    int addValue(std::string_view bytes)
    {
        if (m_isHeadEnded) {
            return 0;
        }
        m_isInValue = true;
        m_value.append(bytes);
        return m_value.size() > m_bounds.maxHeaderValueBytes || isHeadTooLong(bytes.size()) ? 1 : 0;
    }

    bool isHeadTooLong(std::size_t bytes)
    {
        m_headBytes += bytes;
        return m_headBytes > m_bounds.maxHeadBytes;
    }

    void endField()
    {
        m_head.headers.add(std::move(m_name), std::move(m_value));
        m_name.clear();
        m_value.clear();
        m_isInValue = false;
        ++m_headerCount;
    }

    int endHead()
    {
        constexpr int noBody = 1;
        if (m_isInValue || !m_name.empty()) {
            endField();
        }
        m_isHeadEnded = true;
        const bool isRequest = m_parser.type == HTTP_REQUEST;
        if (isRequest) {
            m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
        }
        m_head.status = isRequest ? 0 : static_cast<int>(m_parser.status_code);
        if (!isRequest && !hasSoundFraming()) {
            return -1;
        }
        const bool isLengthKnown = m_parser.content_length != UINT64_MAX;
        if (m_bounds.maxBodyBytes != 0 && isLengthKnown && m_parser.content_length > m_bounds.maxBodyBytes) {
            return -1;
        }
        const bool mayHaveBody = isRequest || !hasNoBody(m_head.status);
        return m_sink.onHead(std::move(m_head)) && mayHaveBody ? 0 : noBody;
    }

    /// Whether the fields of an answer leave no doubt about the end of its body. http_parser ignores an empty length,
    /// and reads a body with an unknown transfer coding until the connection ends.
    bool hasSoundFraming() const
    {
        std::size_t codings = 0;
        for (const auto &field : m_head.headers.fields()) {
            const bool isCoding = isSameHeaderName(field.name, "Transfer-Encoding");
            codings += isCoding ? 1 : 0;
            // http_parser keeps blanks at the end of a value.
            const auto value = std::string_view(field.value).substr(0, field.value.find_last_not_of(" \t") + 1);
            if (isCoding && (codings > 1 || !isSameHeaderName(value, "chunked"))) {
                return false;
            }
            if (isSameHeaderName(field.name, "Content-Length") && (m_parser.flags & F_CONTENTLENGTH) == 0) {
                return false;
            }
        }
        return true;
    }

    int addBody(std::string_view bytes)
    {
        m_bodyBytes += bytes.size();
        if (m_bounds.maxBodyBytes != 0 && m_bodyBytes > m_bounds.maxBodyBytes) {
            return 1;
        }
        m_sink.onBody(bytes);
        return 0;
    }

    int endMessage()
    {
        m_hasEnded = true;
        m_sink.onMessageEnd();
        http_parser_pause(&m_parser, 1);
        return 0;
    }

    const ParserBounds m_bounds;
    Sink &m_sink;
    HeadSyntax m_syntax;
    http_parser m_parser{};
    ParsedHead m_head;
    std::string m_name;
    std::string m_value;
    std::size_t m_headerCount = 0;
    std::size_t m_headBytes = 0;
    std::size_t m_bodyBytes = 0;
    std::size_t m_framingBytes = 0;
    bool m_isInValue = false;
    bool m_isHeadEnded = false;
    bool m_hasEnded = false;
    bool m_hasStarted = false;
};

} // namespace lycheelanding::http
