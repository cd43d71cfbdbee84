#include "Runtime/AnnouncementForwarder.h"

#include <exception>
#include <utility>

namespace dandelionloom {

namespace {

constexpr Milliseconds forwardTimeout{2000};

} // namespace

AnnouncementForwarder::AnnouncementForwarder(AnnouncementHandler &local, PeerTransport &transport,
                                             std::vector<std::string> peers, Remote remote)
    : m_local(local), m_transport(transport), m_peers(std::move(peers))
{
    m_transport.setHandler(PeerMessageKind::EndpointDelta,
                           [remote = std::move(remote)](const std::string &from,
                                                        const std::string &body,
                                                        const PeerTransport::Reply &reply) {
                               try {
                                   const auto handle = msgpack::unpack(body.data(), body.size());
                                   remote(handle.get().as<Announcement>(), from);
                                   reply(std::string());
                               } catch (const std::exception &exception) {
                                   reply(PeerError{PeerErrorKind::Refused,
                                                   std::string("announcement is not readable: ")
                                                           + exception.what()});
                               }
                           });
}

AnnouncementAnswer AnnouncementForwarder::announce(const Announcement &announcement)
{
    AnnouncementAnswer answer = m_local.announce(announcement);
    if (!answer.accepted) {
        return answer;
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, announcement);
    for (const std::string &peer : m_peers) {
        m_transport.call(peer, PeerMessageKind::EndpointDelta, {buffer.data(), buffer.size()},
                         forwardTimeout, [](const PeerResult &) {});
    }
    return answer;
}

} // namespace dandelionloom
