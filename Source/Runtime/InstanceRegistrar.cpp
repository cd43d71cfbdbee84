#include "Runtime/InstanceRegistrar.h"

#include <algorithm>
#include <utility>

namespace dandelionloom {

InstanceRegistrar::InstanceRegistrar(const InstanceRegistrarOptions &options, ReplicatedLog &log,
                                     DecisionLog &decisions)
    : m_options(options), m_log(log), m_decisions(decisions), m_thread([this] { run(); })
{ }

InstanceRegistrar::~InstanceRegistrar()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

bool InstanceRegistrar::isRegistered(const RegisterInstance &wanted) const
{
    const std::shared_ptr<const Fleet> fleet = m_log.state().fleet();
    const auto found = fleet->instances.find(wanted.id);
    return found != fleet->instances.end() && found->second.rack == wanted.rack
            && found->second.availabilityZone == wanted.availabilityZone;
}

void InstanceRegistrar::offer(const Announcement &announcement)
{
    RegisterInstance wanted{announcement.instance, announcement.service,
                            announcement.availabilityZone, announcement.rack};
    if (isRegistered(wanted)) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_pending[announcement.instance] = std::move(wanted);
    }
    m_changed.notify_all();
}

void InstanceRegistrar::run()
{
    Milliseconds backOff = m_options.firstBackOff;
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [&] { return m_stopping || !m_pending.empty(); });
        if (m_stopping) {
            return;
        }
        const RegisterInstance wanted = m_pending.begin()->second;
        lock.unlock();
        const bool decided = isRegistered(wanted) || registerOne(wanted);
        lock.lock();
        if (decided) {
            backOff = m_options.firstBackOff;
            m_pending.erase(wanted.id);
            continue;
        }
        m_changed.wait_for(lock, backOff, [&] { return m_stopping; });
        backOff = std::min(backOff * 2, m_options.longestBackOff);
    }
}

bool InstanceRegistrar::registerOne(const RegisterInstance &wanted)
{
    const auto result = m_log.propose(wanted, m_options.proposeTimeout);
    if (!isOk(result)) {
        return false;
    }
    const CommandOutcome &outcome = valueOf(result);
    if (outcome.status != CommandStatus::Applied) {
        m_decisions.event(LogSeverity::Warning, "gateway",
                          "instance '" + wanted.id + "' was not registered: " + outcome.message);
        return true;
    }
    Decision decision;
    decision.kind = DecisionKind::Place;
    decision.instance = wanted.id;
    decision.pool = wanted.pool;
    decision.reason = "first-announcement";
    m_decisions.write(decision);
    return true;
}

} // namespace dandelionloom
