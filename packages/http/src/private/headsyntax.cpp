#include "private/headsyntax.h"

#include <utility>

namespace lycheelanding::http {

namespace {

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool isLetter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
}

bool isControl(char character)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return byte < firstPrintable || byte == deleteCharacter;
}

} // namespace

bool isTokenCharacter(char character)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return isLetter(character) || isDigit(character) || marks.find(character) != std::string_view::npos;
}

HeadSyntax::Result HeadSyntax::check(std::string_view bytes)
{
    for (const char character : bytes) {
        if (m_part == Part::End || m_part == Part::Invalid) {
            break;
        }
        const bool isAfterCarriageReturn = std::exchange(m_isAfterCarriageReturn, character == '\r');
        if (isAfterCarriageReturn && character != '\n') {
            m_part = Part::Invalid;
        } else if (character != '\r') {
            m_part = partAfter(character);
        }
    }
    if (m_part == Part::Invalid) {
        return Result::Invalid;
    }
    return m_part == Part::End ? Result::Complete : Result::Incomplete;
}

HeadSyntax::Part HeadSyntax::partAfter(char character)
{
    if (isControl(character) && character != '\n' && character != '\t') {
        return Part::Invalid;
    }
    switch (m_part) {
    case Part::EmptyLines:
        return character == '\n' ? Part::EmptyLines : startLineAfter(character);
    case Part::StartLine:
        return startLineAfter(character);
    case Part::FieldStart:
        if (character == '\n') {
            return Part::End;
        }
        return isTokenCharacter(character) ? Part::FieldName : Part::Invalid;
    case Part::FieldName:
        if (character == ':') {
            return Part::FieldValue;
        }
        return isTokenCharacter(character) ? Part::FieldName : Part::Invalid;
    case Part::FieldValue:
        return character == '\n' ? Part::FieldStart : Part::FieldValue;
    case Part::End:
    case Part::Invalid:
        break;
    }
    return m_part;
}

HeadSyntax::Part HeadSyntax::startLineAfter(char character)
{
    if (m_type == MessageType::Response && !fitsStatusLine(character)) {
        return Part::Invalid;
    }
    ++m_lineSize;
    return character == '\n' ? Part::FieldStart : Part::StartLine;
}

bool HeadSyntax::fitsStatusLine(char character) const
{
    // d: a digit; c: the class of the status.
    constexpr std::string_view pattern = "HTTP/1.d cdd";
    if (m_lineSize > pattern.size()) {
        return true;
    }
    if (m_lineSize == pattern.size()) {
        return character == ' ' || character == '\n';
    }
    switch (pattern[m_lineSize]) {
    case 'd':
        return isDigit(character);
    case 'c':
        return character >= '1' && character <= '5';
    default:
        return character == pattern[m_lineSize];
    }
}

} // namespace lycheelanding::http
