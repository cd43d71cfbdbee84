#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>

#include <Poco/JSON/Object.h>

namespace dandelionloom::standIn {

struct EndpointSettings
{
    std::string address = "127.0.0.1:0";
    std::string instance = "worker-1";
    std::string service = "pricing";
    std::string rack = "rack-1";
    std::string availabilityZone = "zone-a";
    int slots = 8;
    int runMs = 0;
    std::uint64_t incarnation = 1;
    /// File to which the key of each keyed run is appended, so that the counts survive a kill.
    std::string keyLog;
};

/// Slots and run counters of a stand-in endpoint.
class EndpointRuns
{
public:
    explicit EndpointRuns(int slots, const std::string &keyLog = {}) : m_slots(slots)
    {
        if (!keyLog.empty()) {
            m_keyLog.open(keyLog, std::ios::app);
        }
    }

    /// Takes a slot. Returns false, and counts a refusal, if all slots are in use.
    bool begin()
    {
        const std::lock_guard lock(m_mutex);
        if (m_inFlight >= m_slots) {
            ++m_refused;
            return false;
        }
        ++m_inFlight;
        m_maxInFlight = std::max(m_maxInFlight, m_inFlight);
        return true;
    }

    void end()
    {
        const std::lock_guard lock(m_mutex);
        --m_inFlight;
        m_changed.notify_all();
    }

    void recordRun(const std::string &request, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        ++m_totalRuns;
        ++m_runsByRequest[request];
        if (!key.empty()) {
            ++m_runsByKey[key];
            m_keyLog << key << std::endl;
        }
        if (m_leavingSince) {
            m_startsAfterLeaving[request] = millisecondsSince(*m_leavingSince);
        }
        m_changed.notify_all();
    }

    /// Clears the recorded starts. While leaving, records how long after this call requests start.
    void setLeaving(bool leaving)
    {
        const std::lock_guard lock(m_mutex);
        m_startsAfterLeaving.clear();
        m_leavingSince.reset();
        if (leaving) {
            m_leavingSince = std::chrono::steady_clock::now();
        }
    }

    void recordRefusal()
    {
        const std::lock_guard lock(m_mutex);
        ++m_refused;
    }

    void waitUntilIdle(std::chrono::milliseconds limit)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, limit, [&] { return m_inFlight == 0; });
    }

    /// Waits until `totalRuns` runs have been recorded; returns whether they were.
    bool waitForRuns(int totalRuns, std::chrono::milliseconds limit)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, limit, [&] { return m_totalRuns >= totalRuns; });
    }

    /// Blocks every run until release(), so that a test decides when it ends.
    void hold()
    {
        const std::lock_guard lock(m_mutex);
        m_held = true;
    }

    void release()
    {
        const std::lock_guard lock(m_mutex);
        m_held = false;
        m_changed.notify_all();
    }

    /// Waits for the run time of one request.
    void simulateRun(std::chrono::milliseconds duration)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return !m_held; });
        if (duration.count() > 0) {
            m_changed.wait_for(lock, duration, [&] { return m_aborted; });
        }
    }

    /// If set, runs end early, as in a reboot.
    void setAborted(bool aborted)
    {
        const std::lock_guard lock(m_mutex);
        m_aborted = aborted;
        m_changed.notify_all();
    }

    int totalRuns() const
    {
        const std::lock_guard lock(m_mutex);
        return m_totalRuns;
    }

    int refused() const
    {
        const std::lock_guard lock(m_mutex);
        return m_refused;
    }

    int runsOfKey(const std::string &key) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_runsByKey.find(key);
        return found == m_runsByKey.end() ? 0 : found->second;
    }

    int inFlight() const
    {
        const std::lock_guard lock(m_mutex);
        return m_inFlight;
    }

    std::string runsJson() const
    {
        const std::lock_guard lock(m_mutex);
        Poco::JSON::Object runs;
        for (const auto &[request, count] : m_runsByRequest) {
            runs.set(request, count);
        }
        Poco::JSON::Object keys;
        for (const auto &[key, count] : m_runsByKey) {
            keys.set(key, count);
        }
        Poco::JSON::Object starts;
        for (const auto &[request, milliseconds] : m_startsAfterLeaving) {
            starts.set(request, milliseconds);
        }
        Poco::JSON::Object object;
        object.set("leaving_for_ms", m_leavingSince ? millisecondsSince(*m_leavingSince) : -1);
        object.set("starts_after_leaving_ms", starts);
        object.set("total", m_totalRuns);
        object.set("refused", m_refused);
        object.set("most_in_flight", m_maxInFlight);
        object.set("runs", runs);
        object.set("keys", keys);
        std::ostringstream text;
        object.stringify(text);
        return text.str();
    }

private:
    static std::int64_t millisecondsSince(std::chrono::steady_clock::time_point start)
    {
        using namespace std::chrono;
        return duration_cast<milliseconds>(steady_clock::now() - start).count();
    }

    const int m_slots;
    std::ofstream m_keyLog;
    std::optional<std::chrono::steady_clock::time_point> m_leavingSince;
    std::map<std::string, std::int64_t> m_startsAfterLeaving;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_inFlight = 0;
    int m_maxInFlight = 0;
    int m_totalRuns = 0;
    int m_refused = 0;
    bool m_held = false;
    bool m_aborted = false;
    std::map<std::string, int> m_runsByRequest;
    std::map<std::string, int> m_runsByKey;
};

} // namespace dandelionloom::standIn
