#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Ports/Handlers.h"
#include "Ports/PeerTransport.h"

namespace dandelionloom {

/// Passes each accepted announcement on to all peers of the region. The traffic grows with the
/// number of renewals; it suits today's 50 endpoints only.
class AnnouncementForwarder : public AnnouncementHandler
{
public:
    /// `remote` takes what other entry instances passed on, with their name.
    using Remote = std::function<void(const Announcement &, const std::string &owner)>;

    AnnouncementForwarder(AnnouncementHandler &local, PeerTransport &transport,
                          std::vector<std::string> peers, Remote remote);

    AnnouncementAnswer announce(const Announcement &announcement) override;

private:
    AnnouncementHandler &m_local;
    PeerTransport &m_transport;
    const std::vector<std::string> m_peers;
};

} // namespace dandelionloom
