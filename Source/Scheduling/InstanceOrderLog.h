#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "Model/Time.h"
#include "Scheduling/JobChanges.h"

namespace dandelionloom {

/// The last order for each instance and the term of the leader that gave it, from the journal. Each
/// order is recorded before it is sent, so a new leader knows for which instances it must wait
/// until an earlier order has taken effect, and can act on all others immediately.
class InstanceOrderLog
{
public:
    /// `pauseMs` is the minimum time between orders of two leaders for one instance.
    explicit InstanceOrderLog(std::int64_t pauseMs) : m_pauseMs(pauseMs) { }

    /// `now` is the time at which the record was applied on this instance. After a restart that is
    /// later than the order was sent, which only lengthens the wait.
    void applied(const InstanceOrdered &order, SteadyTimeMs now)
    {
        m_lastOrders[order.instance] = {order.term, now, order.worker};
    }

    /// Called when the state was replaced by a snapshot: the orders in it may just have been sent.
    void restored(const std::map<std::string, InstanceOrdered> &orders, SteadyTimeMs now)
    {
        m_lastOrders.clear();
        for (const auto &[instance, order] : orders) {
            applied(order, now);
        }
    }

    bool mayOrder(const std::string &instance, std::uint64_t term, SteadyTimeMs now) const
    {
        const auto last = m_lastOrders.find(instance);
        return last == m_lastOrders.end() || last->second.term == term
                || now - last->second.at >= m_pauseMs;
    }

    /// Worker that an order of another term may still shut down; empty if there is none.
    std::string workerWithPendingOrder(const std::string &instance, std::uint64_t term,
                                       SteadyTimeMs now) const
    {
        return mayOrder(instance, term, now) ? std::string() : m_lastOrders.at(instance).worker;
    }

    /// Reserves an instance for one planner; false if it is already reserved.
    bool claim(const std::string &instance) { return m_claimed.insert(instance).second; }
    void release(const std::string &instance) { m_claimed.erase(instance); }
    bool isClaimed(const std::string &instance) const { return m_claimed.contains(instance); }
    void releaseAll() { m_claimed.clear(); }

private:
    struct LastOrder
    {
        std::uint64_t term = 0;
        SteadyTimeMs at = 0;
        std::string worker;
    };

    const std::int64_t m_pauseMs;
    std::map<std::string, LastOrder> m_lastOrders;
    std::set<std::string> m_claimed;
};

} // namespace dandelionloom
