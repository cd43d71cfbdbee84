#pragma once

#include <array>
#include <bit>
#include <cstdint>
#include <cstring>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

#include <msgpack.hpp>

namespace dandelionloom {

/// Identifies a job. Holds its text inline: the ids chosen by clients are just too long for the
/// short form of std::string, and each task is a key in several maps.
class JobId
{
public:
    static constexpr std::size_t maxLength = 31;

    JobId() = default;
    /// Longer text gives the empty id, which no job has.
    JobId(std::string_view text) // NOLINT(google-explicit-constructor): stands for its text
    {
        if (text.size() <= maxLength) {
            std::memcpy(m_words.data(), text.data(), text.size());
        }
    }
    JobId(const std::string &text) : JobId(std::string_view(text)) { } // NOLINT
    JobId(const char *text) : JobId(std::string_view(text)) { }        // NOLINT

    static bool isValid(std::string_view text)
    {
        return !text.empty() && text.size() <= maxLength
                && text.find('\0') == std::string_view::npos;
    }

    std::string_view view() const { return reinterpret_cast<const char *>(m_words.data()); }
    std::string text() const { return std::string(view()); }
    bool empty() const { return m_words[0] == 0; }

    bool operator==(const JobId &other) const
    {
        std::uint64_t difference = 0;
        for (std::size_t word = 0; word < m_words.size(); ++word) {
            difference |= m_words[word] ^ other.m_words[word];
        }
        return difference == 0;
    }
    /// Orders by text.
    bool operator<(const JobId &other) const
    {
        for (std::size_t word = 0; word < m_words.size(); ++word) {
            if (m_words[word] != other.m_words[word]) {
                return textOrder(m_words[word]) < textOrder(other.m_words[word]);
            }
        }
        return false;
    }
    std::size_t hash() const
    {
        std::uint64_t mixed = 0;
        for (const std::uint64_t word : m_words) {
            mixed = (mixed ^ word) * hashFactor;
            mixed ^= mixed >> 32U;
        }
        return mixed;
    }

private:
    /// A number that orders like the bytes of the word. Comparisons avoid std::memcmp(), which the
    /// compiler doesn't inline for an order.
    static std::uint64_t textOrder(std::uint64_t word)
    {
        return std::endian::native == std::endian::little ? __builtin_bswap64(word) : word;
    }

    /// An odd number with about half of its bits set, so that each bit of a word changes many of
    /// the hash.
    static constexpr std::uint64_t hashFactor = 0x9e3779b97f4a7c15U;

    /// The text, filled up with zeros; at least one zero ends it.
    std::array<std::uint64_t, (maxLength + 1) / sizeof(std::uint64_t)> m_words{};
};

inline std::ostream &operator<<(std::ostream &stream, const JobId &id)
{
    return stream << id.view();
}

} // namespace dandelionloom

template <>
struct std::hash<dandelionloom::JobId>
{
    std::size_t operator()(const dandelionloom::JobId &id) const noexcept { return id.hash(); }
};

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    /// Encoded as a string.
    template <>
    struct pack<dandelionloom::JobId>
    {
        template <typename Stream>
        packer<Stream> &operator()(packer<Stream> &packer, const dandelionloom::JobId &id) const
        {
            const auto length = static_cast<std::uint32_t>(id.view().size());
            packer.pack_str(length);
            packer.pack_str_body(id.view().data(), length);
            return packer;
        }
    };

    template <>
    struct convert<dandelionloom::JobId>
    {
        const msgpack::object &operator()(const msgpack::object &from,
                                          dandelionloom::JobId &id) const
        {
            id = dandelionloom::JobId(from.as<std::string>());
            return from;
        }
    };

    } // namespace adaptor
}
} // namespace msgpack
