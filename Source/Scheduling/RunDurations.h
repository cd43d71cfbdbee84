#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Scheduling/JobTypes.h"

namespace dandelionloom {

/// Mean run times of the queues' tasks. Declared estimates are far off the truth, so they are used
/// only until enough runs of a queue have completed.
class RunDurations
{
public:
    /// Records a completed run of a task.
    void record(const std::string &queue, std::int64_t tookMs);
    /// Expected run time in milliseconds of a task of each step of the job.
    std::vector<std::int64_t> expectedStepMs(const JobSpec &job) const;

private:
    struct Duration
    {
        double meanMs = 0;
        std::uint32_t runs = 0;
    };
    std::map<std::string, Duration> m_durations;
};

} // namespace dandelionloom
