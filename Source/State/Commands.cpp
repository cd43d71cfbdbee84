#include "State/Commands.h"

#include <sstream>

namespace dandelionloom {

namespace {

/// Outer record of a command. It can be decoded without knowledge of the command's kind.
struct Envelope
{
    std::uint32_t version = 0;
    std::string group;
    std::int64_t atMs = 0;
    std::uint32_t kind = 0;
    std::string body;
    MSGPACK_DEFINE_ARRAY(version, group, atMs, kind, body)
};

template <typename T>
std::string packed(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

template <typename T>
T unpacked(const std::string &bytes)
{
    const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
    return handle.get().as<T>();
}

template <std::size_t Index = 0>
CommandBody unpackedBody(std::uint32_t kind, const std::string &bytes)
{
    if constexpr (Index < std::variant_size_v<CommandBody>) {
        if (kind == Index) {
            return unpacked<std::variant_alternative_t<Index, CommandBody>>(bytes);
        }
        return unpackedBody<Index + 1>(kind, bytes);
    } else {
        throw std::out_of_range("unknown command kind " + std::to_string(kind));
    }
}

} // namespace

std::string encodeCommand(const Command &command)
{
    Envelope envelope;
    envelope.version = recordFormatVersion;
    envelope.group = command.group;
    envelope.atMs = command.atMs;
    envelope.kind = static_cast<std::uint32_t>(command.body.index());
    envelope.body = std::visit([](const auto &body) { return packed(body); }, command.body);
    return packed(envelope);
}

Result<Command, CodecError> decodeCommand(const std::string &bytes)
{
    try {
        const auto envelope = unpacked<Envelope>(bytes);
        if (envelope.version > recordFormatVersion) {
            return CodecError{"command has format version " + std::to_string(envelope.version)
                              + ", expected at most " + std::to_string(recordFormatVersion)};
        }
        return Command{envelope.group, envelope.atMs, unpackedBody(envelope.kind, envelope.body)};
    } catch (const std::exception &exception) {
        return CodecError{std::string("malformed command record: ") + exception.what()};
    }
}

std::string encodeOutcome(const CommandOutcome &outcome)
{
    return packed(outcome);
}

Result<CommandOutcome, CodecError> decodeOutcome(const std::string &bytes)
{
    try {
        return unpacked<CommandOutcome>(bytes);
    } catch (const std::exception &exception) {
        return CodecError{std::string("malformed outcome record: ") + exception.what()};
    }
}

} // namespace dandelionloom
