#pragma once

#include <cstdint>

#include "Model/Time.h"

namespace dandelionloom {

/// Numbers of a worker's announcements, to tell late ones from current ones.
struct AnnouncementOrder
{
    /// Number of the latest current announcement.
    std::uint64_t current = 0;
    /// Latest of the lower numbers that have arrived since, and how many of them were in order.
    std::uint64_t lower = 0;
    std::uint32_t lowerInOrder = 0;
    SteadyTimeMs lowerSince = 0;
};

/// Records the number of an announcement. False if it is late. Announcements that go on in order
/// below the current number, while none comes from there on, are the worker's own: the current
/// number came from another writer.
bool recordAnnouncement(AnnouncementOrder &order, std::uint64_t sequence, SteadyTimeMs now);

} // namespace dandelionloom
