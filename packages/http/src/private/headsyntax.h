#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lycheelanding::http {

enum class MessageType : std::uint8_t {
    Request,
    Response,
};

/// Whether a character may be part of a field's name (`tchar` of RFC 9110, section 5.6.2).
bool isTokenCharacter(char character);

/// Checks the head of a message against RFC 9112, before http_parser, which accepts more: status codes below 100 or
/// with another number of digits, blanks in the names of fields, and fields that continue on a second line. The
/// recipients of such a head disagree on where its fields and its body begin and end.
class HeadSyntax
{
public:
    enum class Result : std::uint8_t {
        Incomplete,
        Complete,
        Invalid,
    };

    explicit HeadSyntax(MessageType type) : m_type(type) { }

    /// Checks the next bytes, up to the end of the head.
    Result check(std::string_view bytes);
    /// Begins with the head of another message.
    void restart() { *this = HeadSyntax(m_type); }

private:
    enum class Part : std::uint8_t {
        EmptyLines,
        StartLine,
        FieldStart,
        FieldName,
        FieldValue,
        End,
        Invalid,
    };

    Part partAfter(char character);
    Part startLineAfter(char character);
    bool fitsStatusLine(char character) const;

    MessageType m_type;
    Part m_part = Part::EmptyLines;
    /// Characters of the start line so far.
    std::size_t m_lineSize = 0;
    bool m_isAfterCarriageReturn = false;
};

} // namespace lycheelanding::http
