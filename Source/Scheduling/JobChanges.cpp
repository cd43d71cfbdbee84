#include "Scheduling/JobChanges.h"

namespace dandelionloom {

namespace {

template <std::size_t Position = 0>
JobChange decodeChange(std::uint32_t kind, const msgpack::object &body)
{
    if constexpr (Position < std::variant_size_v<JobChange>) {
        if (kind == Position) {
            return body.as<std::variant_alternative_t<Position, JobChange>>();
        }
        return decodeChange<Position + 1>(kind, body);
    }
    throw msgpack::type_error();
}

} // namespace

std::string encodeChanges(const std::vector<JobChange> &changes)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(static_cast<std::uint32_t>(changes.size()));
    for (const JobChange &change : changes) {
        packer.pack_array(2);
        packer.pack(static_cast<std::uint32_t>(change.index()));
        std::visit([&packer](const auto &body) { packer.pack(body); }, change);
    }
    return {buffer.data(), buffer.size()};
}

Result<std::vector<JobChange>, JobChangeError> decodeChanges(const std::string &bytes)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        const auto records =
                handle.get().as<std::vector<std::tuple<std::uint32_t, msgpack::object>>>();
        std::vector<JobChange> changes;
        changes.reserve(records.size());
        for (const auto &[kind, body] : records) {
            changes.push_back(decodeChange(kind, body));
        }
        return changes;
    } catch (const std::exception &error) {
        return JobChangeError{std::string("expected job records, found malformed bytes: ")
                              + error.what()};
    }
}

std::string taskName(const TaskKey &task)
{
    return task.job.text() + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step)
            + "." + std::to_string(task.index);
}

} // namespace dandelionloom
