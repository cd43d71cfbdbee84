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

bool InstanceRegistrar::isRegistered(const RegisterInstance &registration) const
{
    const std::shared_ptr<const Fleet> fleet = m_log.state().fleet();
    const auto found = fleet->instances.find(registration.id);
    return found != fleet->instances.end() && found->second.rack == registration.rack
            && found->second.availabilityZone == registration.availabilityZone;
}

void InstanceRegistrar::requestRegistration(const Announcement &announcement)
{
    RegisterInstance registration{announcement.instance, announcement.service,
                                  announcement.availabilityZone, announcement.rack};
    if (isRegistered(registration)) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_pending[announcement.instance] = std::move(registration);
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
        const RegisterInstance registration = m_pending.begin()->second;
        lock.unlock();
        const bool completed = isRegistered(registration) || proposeRegistration(registration);
        lock.lock();
        if (completed) {
            backOff = m_options.firstBackOff;
            m_pending.erase(registration.id);
            continue;
        }
        m_changed.wait_for(lock, backOff, [&] { return m_stopping; });
        backOff = std::min(backOff * 2, m_options.longestBackOff);
    }
}

bool InstanceRegistrar::proposeRegistration(const RegisterInstance &registration)
{
    const auto result = m_log.propose(registration, m_options.proposeTimeout);
    if (!isOk(result)) {
        return false;
    }
    const CommandOutcome &outcome = valueOf(result);
    if (outcome.status != CommandStatus::Applied) {
        m_decisions.event(LogSeverity::Warning, "gateway",
                          "instance '" + registration.id
                                  + "' was not registered: " + outcome.message);
        return true;
    }
    Decision decision;
    decision.kind = DecisionKind::Place;
    decision.instance = registration.id;
    decision.pool = registration.pool;
    decision.reason = "first-announcement";
    m_decisions.write(decision);
    return true;
}

} // namespace dandelionloom
