#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace dandelionloom {

/// Idle connections of the HTTP clients of a process, in the order of their last use. A client that
/// finds no free descriptor closes those of any client that were not used for longest. Used on the
/// event loop's thread only.
class IdleConnections
{
public:
    using Ticket = std::uint64_t;

    /// `close` must remove the connection. Returns a ticket, which is never 0.
    Ticket add(std::function<void()> close);
    /// Has no effect on a ticket that was removed before.
    void remove(Ticket ticket) { m_closeFunctions.erase(ticket); }
    /// Closes up to `count` connections. Returns false if there was none.
    bool closeOldest(std::size_t count);

private:
    std::map<Ticket, std::function<void()>> m_closeFunctions;
    Ticket m_nextTicket = 1;
};

} // namespace dandelionloom
