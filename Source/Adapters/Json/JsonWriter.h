#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionloom {

/// Writes one JSON document without white space. Strings may hold any bytes: those that
/// are not valid UTF-8 are replaced by U+FFFD, so that the document is always valid.
class JsonWriter
{
public:
    JsonWriter &beginObject();
    JsonWriter &endObject();
    JsonWriter &beginArray();
    JsonWriter &endArray();
    JsonWriter &key(std::string_view name);

    JsonWriter &value(std::string_view text);
    JsonWriter &value(const char *text);
    JsonWriter &value(const std::string &text);
    JsonWriter &value(std::uint64_t number);
    JsonWriter &value(std::uint32_t number);
    JsonWriter &value(std::int64_t number);
    JsonWriter &value(bool flag);
    JsonWriter &value(const std::vector<std::string> &texts);

    template <typename T>
    JsonWriter &member(std::string_view name, const T &content)
    {
        return key(name).value(content);
    }

    /// Writes the member only if the text is not empty.
    JsonWriter &memberIfNotEmpty(std::string_view name, std::string_view text);

    const std::string &text() const { return m_text; }

private:
    void writeSeparator();

    std::string m_text;
    bool m_needsComma = false;
};

/// Appends the text as a quoted and escaped JSON string.
void appendJsonString(std::string &target, std::string_view text);

} // namespace dandelionloom
