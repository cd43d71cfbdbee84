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

/// Registers instances that announced themselves and have no agreed record, in the background.
class InstanceRegistrar
{
public:
    InstanceRegistrar(const InstanceRegistrarOptions &options, ReplicatedLog &log,
                      DecisionLog &decisions);
    ~InstanceRegistrar();
    InstanceRegistrar(const InstanceRegistrar &) = delete;
    InstanceRegistrar &operator=(const InstanceRegistrar &) = delete;

    /// Queues the instance unless its agreed record has its rack and zone. Doesn't block.
    void offer(const Announcement &announcement);

private:
    void run();
    bool isRegistered(const RegisterInstance &wanted) const;
    /// True if the log decided on the command.
    bool registerOne(const RegisterInstance &wanted);

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
