#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Adapters/Settings/Settings.h"
#include "Model/Result.h"

namespace dandelionloom {

/// Why an entry instance could not start. One line for each fault.
struct StartError
{
    std::vector<std::string> faults;
};

/// All parts of one entry instance, wired as its settings say.
class EntryInstance
{
public:
    /// Builds, reads the data folder and starts to listen. `onFatal` is called once, from any
    /// thread, when the process must stop.
    static Result<std::unique_ptr<EntryInstance>, StartError>
    start(const Settings &settings, std::function<void(const std::string &)> onFatal);

    /// Ends gracefully: no new callers, running requests end, then the log stops.
    ~EntryInstance();
    EntryInstance(const EntryInstance &) = delete;
    EntryInstance &operator=(const EntryInstance &) = delete;

private:
    struct Parts;

    EntryInstance();
    void runUpkeep();

    std::unique_ptr<Parts> m_parts;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::thread m_upkeep;
};

} // namespace dandelionloom
