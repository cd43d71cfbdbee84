#include "Adapters/Http/IdleConnections.h"

#include <utility>

namespace dandelionloom {

IdleConnections::Ticket IdleConnections::add(std::function<void()> close)
{
    const Ticket ticket = m_nextTicket++;
    m_closeFunctions.emplace(ticket, std::move(close));
    return ticket;
}

bool IdleConnections::closeOldest(std::size_t count)
{
    const bool anyIdle = !m_closeFunctions.empty();
    for (std::size_t closed = 0; closed < count && !m_closeFunctions.empty(); ++closed) {
        const auto oldest = m_closeFunctions.extract(m_closeFunctions.begin());
        oldest.mapped()();
    }
    return anyIdle;
}

} // namespace dandelionloom
