#include "Scheduling/AnnouncementOrder.h"

namespace dandelionloom {

namespace {

constexpr std::uint32_t lowerInOrderLimit = 3;

/// A worker announces itself every 1.5 s. Late announcements arrive in a burst.
constexpr std::int64_t lowerInOrderMs = 2000;

} // namespace

bool recordAnnouncement(AnnouncementOrder &order, std::uint64_t sequence, SteadyTimeMs now)
{
    if (sequence >= order.current) {
        order = {};
        order.current = sequence;
        return true;
    }
    if (order.lowerInOrder == 0 || sequence <= order.lower) {
        order.lowerInOrder = 0;
        order.lowerSince = now;
    }
    ++order.lowerInOrder;
    order.lower = sequence;
    if (order.lowerInOrder < lowerInOrderLimit || now - order.lowerSince < lowerInOrderMs) {
        return false;
    }
    order = {};
    order.current = sequence;
    return true;
}

} // namespace dandelionloom
