#include "Adapters/Json/JsonWriter.h"

namespace dandelionloom {

namespace {

constexpr std::string_view replacementCharacter = "\\ufffd";

bool isContinuation(unsigned char byte)
{
    return (byte & 0xC0U) == 0x80U;
}

/// Length of the valid UTF-8 sequence at `position`; 0 if there is none. Overlong forms,
/// surrogates and code points above U+10FFFF are invalid.
std::size_t sequenceLength(std::string_view text, std::size_t position)
{
    const auto byteAt = [&](std::size_t offset) {
        return position + offset < text.size() ? static_cast<unsigned char>(text[position + offset])
                                               : static_cast<unsigned char>(0);
    };
    const unsigned char firstByte = byteAt(0);
    if (firstByte < 0x80) {
        return 1;
    }
    const unsigned char secondByte = byteAt(1);
    if (firstByte >= 0xC2 && firstByte <= 0xDF) {
        return isContinuation(secondByte) ? 2 : 0;
    }
    if (!isContinuation(secondByte)) {
        return 0;
    }
    if (firstByte >= 0xE0 && firstByte <= 0xEF) {
        const bool overlong = firstByte == 0xE0 && secondByte < 0xA0;
        const bool surrogate = firstByte == 0xED && secondByte >= 0xA0;
        return !overlong && !surrogate && isContinuation(byteAt(2)) ? 3 : 0;
    }
    if (firstByte >= 0xF0 && firstByte <= 0xF4) {
        const bool overlong = firstByte == 0xF0 && secondByte < 0x90;
        const bool tooLarge = firstByte == 0xF4 && secondByte >= 0x90;
        return !overlong && !tooLarge && isContinuation(byteAt(2)) && isContinuation(byteAt(3)) ? 4
                                                                                                : 0;
    }
    return 0;
}

void appendEscaped(std::string &target, char character)
{
    constexpr std::string_view hexDigits = "0123456789abcdef";
    switch (character) {
    case '"':
        target += "\\\"";
        return;
    case '\\':
        target += "\\\\";
        return;
    case '\n':
        target += "\\n";
        return;
    case '\r':
        target += "\\r";
        return;
    case '\t':
        target += "\\t";
        return;
    default:
        break;
    }
    const auto byte = static_cast<unsigned char>(character);
    if (byte >= 0x20 && byte != 0x7F) {
        target += character;
        return;
    }
    target += "\\u00";
    target += hexDigits[byte >> 4U];
    target += hexDigits[byte & 0xFU];
}

} // namespace

void appendJsonString(std::string &target, std::string_view text)
{
    target += '"';
    for (std::size_t position = 0; position < text.size();) {
        const std::size_t length = sequenceLength(text, position);
        if (length == 0) {
            target += replacementCharacter;
            ++position;
            continue;
        }
        if (length == 1) {
            appendEscaped(target, text[position]);
        } else {
            target += text.substr(position, length);
        }
        position += length;
    }
    target += '"';
}

void JsonWriter::writeSeparator()
{
    if (m_needsComma) {
        m_text += ',';
    }
    m_needsComma = true;
}

JsonWriter &JsonWriter::beginObject()
{
    writeSeparator();
    m_text += '{';
    m_needsComma = false;
    return *this;
}

JsonWriter &JsonWriter::endObject()
{
    m_text += '}';
    m_needsComma = true;
    return *this;
}

JsonWriter &JsonWriter::beginArray()
{
    writeSeparator();
    m_text += '[';
    m_needsComma = false;
    return *this;
}

JsonWriter &JsonWriter::endArray()
{
    m_text += ']';
    m_needsComma = true;
    return *this;
}

JsonWriter &JsonWriter::key(std::string_view name)
{
    writeSeparator();
    appendJsonString(m_text, name);
    m_text += ':';
    m_needsComma = false;
    return *this;
}

JsonWriter &JsonWriter::value(std::string_view text)
{
    writeSeparator();
    appendJsonString(m_text, text);
    return *this;
}

JsonWriter &JsonWriter::value(const char *text)
{
    return value(std::string_view(text));
}

JsonWriter &JsonWriter::value(const std::string &text)
{
    return value(std::string_view(text));
}

JsonWriter &JsonWriter::value(std::uint64_t number)
{
    writeSeparator();
    m_text += std::to_string(number);
    return *this;
}

JsonWriter &JsonWriter::value(std::uint32_t number)
{
    return value(static_cast<std::uint64_t>(number));
}

JsonWriter &JsonWriter::value(std::int64_t number)
{
    writeSeparator();
    m_text += std::to_string(number);
    return *this;
}

JsonWriter &JsonWriter::value(bool flag)
{
    writeSeparator();
    m_text += flag ? "true" : "false";
    return *this;
}

JsonWriter &JsonWriter::value(const std::vector<std::string> &texts)
{
    beginArray();
    for (const std::string &text : texts) {
        value(text);
    }
    return endArray();
}

JsonWriter &JsonWriter::memberIfNotEmpty(std::string_view name, std::string_view text)
{
    return text.empty() ? *this : member(name, text);
}

} // namespace dandelionloom
