#include "Adapters/Peers/PeerEnvelope.h"

namespace dandelionloom {

namespace {

std::string mismatch(const std::string &what, const std::string &expected, const std::string &found)
{
    return "expected " + what + " \"" + toPrintable(expected) + "\", found \"" + toPrintable(found)
            + "\"";
}

} // namespace

PeerHello makeHello(const PeerIdentity &self)
{
    return {peerProtocolVersion, self.clusterId,   self.group,     self.name,
            self.storageId,      self.incarnation, self.credential};
}

std::optional<std::string> helloRefusal(const PeerHello &hello, const PeerIdentity &self)
{
    if (hello.version != peerProtocolVersion) {
        return mismatch("protocol version", std::to_string(peerProtocolVersion),
                        std::to_string(hello.version));
    }
    if (hello.clusterId != self.clusterId) {
        return mismatch("cluster", self.clusterId, hello.clusterId);
    }
    if (hello.group != self.group) {
        return mismatch("group", self.group, hello.group);
    }
    if (!equalsInConstantTime(self.credential, hello.credential)) {
        return "expected the peer credential of cluster \"" + toPrintable(self.clusterId)
                + "\", found another one";
    }
    if (hello.name.empty() || hello.name == self.name) {
        return "expected the name of another entry instance, found \"" + toPrintable(hello.name)
                + "\"";
    }
    return std::nullopt;
}

bool equalsInConstantTime(std::string_view expected, std::string_view found)
{
    if (expected.empty()) {
        return false;
    }
    std::size_t difference = expected.size() ^ found.size();
    for (std::size_t index = 0; index < found.size(); ++index) {
        difference |= static_cast<unsigned char>(expected[index % expected.size()])
                ^ static_cast<unsigned char>(found[index]);
    }
    return difference == 0;
}

std::string toPrintable(std::string_view text, std::size_t maxLength)
{
    std::string result;
    for (const char character : text.substr(0, maxLength)) {
        const bool isPrintable = character >= ' ' && character <= '~';
        result += isPrintable ? character : '?';
    }
    return text.size() > maxLength ? result + "..." : result;
}

} // namespace dandelionloom
