#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "Model/Time.h"

namespace dandelionloom {

struct ShareOptions
{
    /// Sliding window in which the jobs of a team are compared with its weight. A team may submit
    /// the jobs of a whole window at once.
    std::int64_t windowMs = 5000;
};

/// Counts the jobs that each team submits, to tell its share from its excess. Answers the load of
/// one team that sends many times its usual. Uses the steady clock, so that a step of the time of
/// day neither ends nor prolongs a window.
class ShareMeter
{
public:
    explicit ShareMeter(ShareOptions options = {}) : m_options(options) { }

    /// Records a job that counts towards the team's share. Times must not decrease.
    void record(const std::string &team, SteadyTimeMs now);
    /// True if one more job lies within the team's share of `weight` jobs a second; always true for
    /// a weight of 0.
    bool isWithinShare(const std::string &team, std::int64_t weight, SteadyTimeMs now) const;
    /// Time after which one more job lies within the share, in milliseconds; 0 if it does now.
    std::int64_t msUntilWithinShare(const std::string &team, std::int64_t weight,
                                    SteadyTimeMs now) const;
    void clear() { m_times.clear(); }

private:
    const ShareOptions m_options;
    std::map<std::string, std::deque<SteadyTimeMs>> m_times;
};

} // namespace dandelionloom
