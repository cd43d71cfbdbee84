#include "Adapters/Settings/NumberKeys.h"

#include <array>
#include <cstdlib>
#include <string_view>

namespace dandelionloom {

namespace {

constexpr std::array allNumberKeys{
        NumberKey{"timing", "heartbeat_ms", "ms", 150, 10, 5000,
                  "Far above the 0.75 to 1.5 ms between zones and a disk sync of a few ms; more "
                  "than 5 s would delay every failover."},
        NumberKey{"timing", "election_timeout_min_ms", "ms", 600, 50, 60000,
                  "Four heartbeats, so that one lost heartbeat starts no election."},
        NumberKey{"timing", "election_timeout_max_ms", "ms", 1200, 50, 60000,
                  "The spread from the minimum lets one candidate win before the next one starts."},
        NumberKey{"timing", "lists_lease_ms", "ms", 10000, 500, 60000,
                  "A change must be in force everywhere within 11 s; a gateway that may have "
                  "missed one limits itself before that."},
        NumberKey{"timing", "endpoint_lease_ms", "ms", 60000, 500, 600000,
                  "480 workers per entry instance at 400 B a renewal take 21 s of its 9 KB/s, so "
                  "that a renewal each half lease fits."},
        NumberKey{"timing", "digest_interval_ms", "ms", 5000, 100, 60000,
                  "One digest per peer each 5 s is the idle cost that the design allows."},
        NumberKey{"timing", "drain_limit_ms", "ms", 60000, 1000, 86400000,
                  "How long running work may take to end in a graceful shutdown; a wave may name "
                  "its own limit."},
        NumberKey{"timing", "proving_ms", "ms", 30000, 0, 3600000,
                  "An instance that returned counts as unavailable until it has served for this "
                  "long, as a second loss right after a repair is common."},
        NumberKey{"limits", "body_bytes", "bytes", 1048576, 1024, 67108864,
                  "A body is held in memory while it waits; 64 MiB leaves room for two of them in "
                  "a node's 128 MB."},
        NumberKey{"limits", "header_bytes", "bytes", 16384, 1024, 262144,
                  "Common clients stay below 8 KiB; more is a mistake or an attack."},
        NumberKey{"limits", "header_count", "headers", 64, 8, 100,
                  "POCO Net reads at most 100 header fields."},
        NumberKey{"limits", "request_line_bytes", "bytes", 4096, 256, 16384,
                  "POCO Net reads at most 16384 bytes of a URI."},
        NumberKey{"limits", "caller_connections", "connections", 1024, 8, 16384,
                  "Each connection costs a descriptor and buffers; 50 workers of 64 connections "
                  "are 3,200 for the whole region, over 6 entry instances 534."},
        NumberKey{"limits", "read_timeout_ms", "ms", 10000, 100, 600000,
                  "A client that sends nothing for this long frees its connection."},
        NumberKey{"limits", "queue_length", "requests", 1000, 1, 100000,
                  "Requests of one service that may wait; deadlines shed earlier than this bound."},
        NumberKey{"limits", "retry_percent", "percent", 10, 0, 10,
                  "The goal is at most 10% retries; a smaller share is allowed, a larger is not."},
        NumberKey{"limits", "long_work_percent", "percent", 75, 10, 90,
                  "Share of an endpoint's slots that long work may hold: 6 of 8 slots leave 2 for "
                  "short work."},
        NumberKey{"limits", "entry_bytes", "bytes", 258048, 4096, 258048,
                  "Largest encoded command. Lists of 690 teams at about 200 B are 140 KB. An entry "
                  "must fit one peer message of 256 KiB."},
        NumberKey{"limits", "memory_mb", "MB", 256, 64, 1048576,
                  "Memory of the process. The listeners hold at most shares of it; 64 MB hold the "
                  "program and little more."},
        NumberKey{"limits", "max_open_files", "descriptors", 4096, 1024, 1048576,
                  "Descriptors of the process, of which 200 are left for files. The listeners use "
                  "at most shares of the others; with 1024 these and their queues are 774."},
        NumberKey{"storage", "compact_after_bytes", "bytes", 8388608, 65536, 1073741824,
                  "Bounds the log that a restart reads: 8 MiB are a fraction of a second."},
        NumberKey{"storage", "compact_after_entries", "entries", 10000, 100, 10000000,
                  "Bounds the entries that a restart applies; 77,000 changes a day compact about "
                  "eight times a day."},
};

constexpr std::array allDecimalKeys{
        DecimalKey{"weights", "buffer", 1, 0, 100,
                   "Weight of capacity that is held idle. High where instances are small and "
                   "cheap to fill."},
        DecimalKey{"weights", "short_wait", 1, 0, 100,
                   "Weight of the wait of short work behind long work."},
        DecimalKey{"weights", "roll_out_time", 1, 0, 100,
                   "Weight of the time that a maintenance wave takes."},
        DecimalKey{"weights", "moves", 1, 0, 100,
                   "Weight of moving an instance to another pool. High where instances are large."},
};

template <typename Key, std::size_t Size>
const Key &findKey(const std::array<Key, Size> &keys, std::string_view section,
                   std::string_view key)
{
    for (const Key &candidate : keys) {
        if (candidate.section == section && candidate.key == key) {
            return candidate;
        }
    }
    std::abort();
}

} // namespace

std::span<const NumberKey> numberKeys()
{
    return allNumberKeys;
}

std::span<const DecimalKey> decimalKeys()
{
    return allDecimalKeys;
}

const NumberKey &numberKey(const char *section, const char *key)
{
    return findKey(allNumberKeys, section, key);
}

const DecimalKey &decimalKey(const char *section, const char *key)
{
    return findKey(allDecimalKeys, section, key);
}

} // namespace dandelionloom
