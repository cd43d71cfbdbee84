#include "Runtime/AnnouncementIntake.h"

#include <utility>

namespace dandelionloom {

AnnouncementIntake::AnnouncementIntake(std::string owner, EndpointTable &table,
                                       const StateStore &state, SlotQueue &queue,
                                       EndpointClient &client, InstanceRegistrar &registrar)
    : m_owner(std::move(owner)), m_table(table), m_state(state), m_queue(queue), m_client(client),
      m_registrar(registrar)
{ }

AnnouncementResponse AnnouncementIntake::announce(const Announcement &announcement)
{
    const AnnounceVerdict verdict = m_table.announce(announcement, m_owner, steadyTimeNow());
    AnnouncementResponse answer;
    answer.accepted = isAccepted(verdict);
    answer.verdict = std::string(announceVerdictNames.name(verdict));
    answer.lease = m_table.lease();
    answer.pool = announcement.service;
    const std::shared_ptr<const Fleet> fleet = m_state.fleet();
    const auto record = fleet->instances.find(announcement.instance);
    if (record != fleet->instances.end()) {
        answer.pool = record->second.pool;
    }
    if (answer.accepted) {
        m_registrar.requestRegistration(announcement);
        m_queue.endpointsChanged(announcement.service);
    }
    if (verdict == AnnounceVerdict::MarkedLeaving) {
        m_client.closeConnectionsTo(announcement.address);
    }
    return answer;
}

void AnnouncementIntake::expire()
{
    m_table.expire(steadyTimeNow());
    m_client.closeIdle();
}

} // namespace dandelionloom
