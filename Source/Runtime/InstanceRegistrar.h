#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "Model/Endpoint.h"
#include "Ports/DecisionLog.h"
#include "Ports/ReplicatedLog.h"

namespace dandelionloom {

struct InstanceRegistrarOptions
{
    Milliseconds proposeTimeout{2000};
    Milliseconds firstBackOff{100};
    Milliseconds longestBackOff{5000};
};

/// Registers instances that announced themselves and have no committed record. Proposals are made
/// on a background thread and repeated until the log accepts or rejects them.
class InstanceRegistrar
{
public:
    InstanceRegistrar(const InstanceRegistrarOptions &options, ReplicatedLog &log,
                      DecisionLog &decisions);
    ~InstanceRegistrar();
    InstanceRegistrar(const InstanceRegistrar &) = delete;
    InstanceRegistrar &operator=(const InstanceRegistrar &) = delete;

    /// Queues the instance for registration unless its committed record has the announced rack and
    /// availability zone. Doesn't block.
    void requestRegistration(const Announcement &announcement);

private:
    void run();
    bool isRegistered(const RegisterInstance &registration) const;
    /// Returns true if the command was committed, whether it was applied or rejected.
    bool proposeRegistration(const RegisterInstance &registration);

    const InstanceRegistrarOptions m_options;
    ReplicatedLog &m_log;
    DecisionLog &m_decisions;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, RegisterInstance> m_pending;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace dandelionloom
