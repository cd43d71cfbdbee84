#include "Adapters/Http/EndpointServer.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace dandelionloom {

namespace {

using Poco::JSON::Object;

constexpr const char *announcePath = "/v1/endpoints/announce";
constexpr std::size_t maxNameLength = 128;
constexpr std::uint32_t maxSlots = 4096;
constexpr int maxJsonDepth = 4;

HttpResponse errorResponse(int status, const std::string &message)
{
    Object object;
    object.set("error", message);
    std::ostringstream body;
    object.stringify(body);
    return {status, {{"Content-Type", "application/json"}}, body.str()};
}

bool isValidName(const std::string &text)
{
    const auto allowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
                || (character >= '0' && character <= '9') || character == '-' || character == '_'
                || character == '.';
    };
    return !text.empty() && text.size() <= maxNameLength
            && std::all_of(text.begin(), text.end(), allowed);
}

/// Reads a string field that holds a valid name. Throws Poco::DataFormatException otherwise.
std::string readName(const Object &object, const std::string &field)
{
    const Poco::Dynamic::Var value = object.get(field);
    if (!value.isString() || !isValidName(value.extract<std::string>())) {
        throw Poco::DataFormatException(
                field,
                "expected 1 to 128 letters, digits, '.', '_' or '-', found "
                        + (value.isString() ? "'" + value.toString().substr(0, maxNameLength) + "'"
                                            : std::string("no text")));
    }
    return value.extract<std::string>();
}

Poco::UInt64 readInteger(const Object &object, const std::string &field)
{
    const Poco::Dynamic::Var value = object.get(field);
    if (!value.isInteger()) {
        throw Poco::DataFormatException(field, "expected a whole number");
    }
    return value.convert<Poco::UInt64>();
}

/// Reads the IP address and port. Host names are rejected, as each connection would resolve them
/// again. Throws Poco::DataFormatException.
std::string readAddress(const Object &object)
{
    const Poco::Dynamic::Var value = object.get("address");
    const std::string text = value.isString() ? value.extract<std::string>() : std::string();
    const auto colon = text.rfind(':');
    Poco::Net::IPAddress address;
    if (colon == std::string::npos
        || !Poco::Net::IPAddress::tryParse(text.substr(0, colon), address)
        || Poco::Net::SocketAddress(text).port() == 0) {
        throw Poco::DataFormatException(
                "address", "expected IP:port, found '" + text.substr(0, maxNameLength) + "'");
    }
    return text;
}

} // namespace

HttpLimits endpointServerLimits()
{
    HttpLimits limits;
    limits.maxRequestLineBytes = 1024;
    limits.maxHeaderBytes = 8192;
    limits.maxHeaderCount = 40;
    limits.maxBodyBytes = 8192;
    limits.headTimeout = Milliseconds(5000);
    limits.bodyTimeout = Milliseconds(5000);
    limits.responseSendTimeout = Milliseconds(5000);
    limits.keepAliveTimeout = Milliseconds(5000);
    return limits;
}

Result<Announcement, AnnouncementError> parseAnnouncement(const std::string &json)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(maxJsonDepth);
        const auto object = parser.parse(json).extract<Object::Ptr>();
        Announcement announcement;
        announcement.instance = readName(*object, "instance");
        announcement.address = readAddress(*object);
        announcement.service = readName(*object, "service");
        announcement.rack = readName(*object, "rack");
        announcement.availabilityZone = readName(*object, "availability_zone");
        announcement.incarnation = readInteger(*object, "incarnation");
        const Poco::UInt64 slots = readInteger(*object, "slots");
        if (slots < 1 || slots > maxSlots) {
            return AnnouncementError{"slots: expected 1 to " + std::to_string(maxSlots) + ", found "
                                     + std::to_string(slots)};
        }
        announcement.slots = static_cast<std::uint32_t>(slots);
        const std::string state = readName(*object, "state");
        const auto value = endpointStateNames.value(state);
        if (!value || *value == EndpointState::Gone) {
            return AnnouncementError{"state: expected serving or leaving, found '" + state + "'"};
        }
        announcement.state = *value;
        return announcement;
    } catch (const Poco::DataFormatException &exception) {
        return AnnouncementError{exception.message()};
    } catch (const std::exception &) {
        return AnnouncementError{"expected a JSON object with the fields of an announcement"};
    }
}

EndpointServer::EndpointServer(const std::string &address, const HttpLimits &limits,
                               Credentials credentials, AnnouncementHandler &handler)
    : m_credentials(std::move(credentials)), m_handler(handler), m_listener(address, limits, *this)
{ }

Result<std::string, HttpResponse> EndpointServer::authorize(const HttpHead &head)
{
    const auto owner = m_credentials.ownerOf(head.headers);
    if (!owner) {
        HttpResponse response = errorResponse(401, "no valid credential");
        response.headers.emplace_back("WWW-Authenticate", "Bearer");
        return response;
    }
    if (head.path() != announcePath) {
        return errorResponse(404, std::string("expected path ") + announcePath);
    }
    if (head.method != "POST") {
        HttpResponse response = errorResponse(405, "expected method POST");
        response.headers.emplace_back("Allow", "POST");
        return response;
    }
    return *owner;
}

HttpResponse EndpointServer::handle(const std::string &, HttpHead, std::string body)
{
    const Result<Announcement, AnnouncementError> announcement = parseAnnouncement(body);
    if (!isOk(announcement)) {
        return errorResponse(400, errorOf(announcement).message);
    }
    const AnnouncementResponse response = m_handler.announce(valueOf(announcement));
    Object object;
    object.set("verdict", response.verdict);
    object.set("lease_ms", static_cast<Poco::Int64>(response.lease.count()));
    object.set("pool", response.pool);
    std::ostringstream text;
    object.stringify(text);
    return {response.accepted ? 200 : 409, {{"Content-Type", "application/json"}}, text.str()};
}

HttpResponse EndpointServer::makeErrorResponse(const HttpRequestError &error)
{
    return errorResponse(error.status, error.reason);
}

} // namespace dandelionloom
