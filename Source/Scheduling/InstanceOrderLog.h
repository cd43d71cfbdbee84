#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "Model/Time.h"
#include "Scheduling/JobChanges.h"

namespace dandelionloom {

/// When which leader last gave an order for each instance, as the journal tells. Every order is
/// recorded before it is sent, so a new leader knows which instances it must leave alone for a
/// while and can act on all others at once.
class InstanceOrderLog
{
public:
    /// `pauseMs`: orders of two leaders for one instance must be this far apart.
    explicit InstanceOrderLog(std::int64_t pauseMs) : m_pauseMs(pauseMs) { }

    /// `now` is when the record was applied here. After a restart that is later than the order,
    /// which errs on the safe side.
    void applied(const InstanceOrdered &order, SteadyTimeMs now)
    {
        m_last[order.instance] = {order.term, now, order.worker};
    }

    bool mayOrder(const std::string &instance, std::uint64_t term, SteadyTimeMs now) const
    {
        const auto last = m_last.find(instance);
        return last == m_last.end() || last->second.term == term
                || now - last->second.at >= m_pauseMs;
    }

    /// The worker that an order of another term may still end; empty if there is none.
    std::string endangeredWorker(const std::string &instance, std::uint64_t term,
                                 SteadyTimeMs now) const
    {
        return mayOrder(instance, term, now) ? std::string() : m_last.at(instance).worker;
    }

    /// Reserves an instance for one planner; false if another one has it.
    bool claim(const std::string &instance) { return m_claimed.insert(instance).second; }
    void release(const std::string &instance) { m_claimed.erase(instance); }
    bool isClaimed(const std::string &instance) const { return m_claimed.contains(instance); }
    void releaseAll() { m_claimed.clear(); }

private:
    struct Last
    {
        std::uint64_t term = 0;
        SteadyTimeMs at = 0;
        std::string worker;
    };

    const std::int64_t m_pauseMs;
    std::map<std::string, Last> m_last;
    std::set<std::string> m_claimed;
};

} // namespace dandelionloom
