#pragma once

#include <string>

#include "Ports/EndpointClient.h"
#include "Ports/Handlers.h"
#include "Ports/ReplicatedLog.h"
#include "Runtime/EndpointTable.h"
#include "Runtime/InstanceRegistrar.h"
#include "Runtime/SlotQueue.h"

namespace dandelionloom {

/// Enters the announcements of instances into the endpoint table, and notifies the work queue, the
/// endpoint client and the registrar.
class AnnouncementIntake : public AnnouncementHandler
{
public:
    /// `owner` is the name of this entry instance.
    AnnouncementIntake(std::string owner, EndpointTable &table, const StateStore &state,
                       SlotQueue &queue, EndpointClient &client, InstanceRegistrar &registrar);

    AnnouncementResponse announce(const Announcement &announcement) override;
    /// Expires endpoint leases and closes idle connections. Must be called about once a second.
    void expire();

private:
    const std::string m_owner;
    EndpointTable &m_table;
    const StateStore &m_state;
    SlotQueue &m_queue;
    EndpointClient &m_client;
    InstanceRegistrar &m_registrar;
};

} // namespace dandelionloom
