#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <variant>

#include "Model/Time.h"
#include "Scheduling/SchedulerState.h"

namespace dandelionloom {

/// Until when silent workers may hold leases, on the steady clock of this instance. The journal
/// holds for how long, and no time, as the clocks of two instances can't be compared: it counts
/// from when the record was applied here. If that is late, it only lengthens the wait.
class SilentWorkerLeases
{
public:
    using LeaseEnds = std::map<std::string, SteadyTimeMs>;

    /// Must be called after SchedulerState::apply() with the same change.
    void applied(const JobChange &change, const SchedulerState &state, SteadyTimeMs now)
    {
        if (const auto *silent = std::get_if<WorkerSilent>(&change)) {
            if (state.isSilent(silent->worker)) {
                SteadyTimeMs &end = m_leaseEnds[silent->worker];
                end = std::max(end, now + silent->leaseLeftMs);
            }
        } else if (const auto *answered = std::get_if<WorkerAnswered>(&change)) {
            forgetUnlessSilent(answered->worker, state);
        } else if (const auto *joined = std::get_if<WorkerJoined>(&change)) {
            forgetUnlessSilent(joined->worker.id, state);
        } else if (const auto *left = std::get_if<WorkerLeft>(&change)) {
            forgetUnlessSilent(left->worker, state);
        }
    }

    /// Called when the state was replaced by a snapshot, in which a worker may have answered and
    /// become silent again since.
    void restored(const SchedulerState &state, SteadyTimeMs now)
    {
        m_leaseEnds.clear();
        for (const auto &[worker, leaseLeftMs] : state.silentWorkers()) {
            m_leaseEnds[worker] = now + leaseLeftMs;
        }
    }

    const LeaseEnds &leaseEnds() const { return m_leaseEnds; }

private:
    void forgetUnlessSilent(const std::string &worker, const SchedulerState &state)
    {
        if (!state.isSilent(worker)) {
            m_leaseEnds.erase(worker);
        }
    }

    LeaseEnds m_leaseEnds;
};

} // namespace dandelionloom
