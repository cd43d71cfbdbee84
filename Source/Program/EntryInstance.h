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

/// Why an entry instance could not start, one line for each fault.
struct EntryStartError
{
    std::vector<std::string> faults;
};

/// The components of one entry instance, constructed and connected according to its settings.
class EntryInstance
{
public:
    /// Constructs the components, reads the data folder and starts to listen. `onFatal` is called
    /// once, from any thread, when the process must exit.
    static Result<std::unique_ptr<EntryInstance>, EntryStartError>
    start(const Settings &settings, std::function<void(const std::string &)> onFatal);

    /// Shuts down gracefully: refuses new callers, lets running requests end, then stops the
    /// replicated log.
    ~EntryInstance();
    EntryInstance(const EntryInstance &) = delete;
    EntryInstance &operator=(const EntryInstance &) = delete;

private:
    struct Components;

    EntryInstance();
    void runPeriodicTasks();

    std::unique_ptr<Components> m_components;
    std::mutex m_mutex;
    std::condition_variable m_stopCondition;
    bool m_stopping = false;
    std::thread m_periodicThread;
};

} // namespace dandelionloom
