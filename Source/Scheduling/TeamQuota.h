#pragma once

#include <map>
#include <string>

#include "Scheduling/JobTypes.h"

namespace dandelionloom {

/// True if the team may start a task beside what it has running. A task that is larger than the
/// quota starts alone, as it could never start otherwise.
bool isWithinQuota(const TaskResources &running, const TaskResources &need,
                   const TaskResources &maxRunning);

/// Resources that tasks take of their teams' quotas, from the assignment of a run to the record of
/// its end.
class TeamUse
{
public:
    void add(const std::string &team, const TaskResources &need);
    void remove(const std::string &team, const TaskResources &need);
    const TaskResources &of(const std::string &team) const;
    void clear() { m_use.clear(); }

private:
    std::map<std::string, TaskResources> m_use;
};

} // namespace dandelionloom
