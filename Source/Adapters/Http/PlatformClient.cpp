#include "Adapters/Http/PlatformClient.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

#include <sstream>

namespace dandelionloom {

namespace {

using Poco::JSON::Object;

struct PlatformResponse
{
    int status = 0;
    std::string body;
};

std::string pathSegment(const std::string &name)
{
    std::string encoded;
    Poco::URI::encode(name, "/?#%", encoded);
    return encoded;
}

Result<PlatformResponse, PlatformError> exchange(const PlatformClientOptions &options,
                                                 const std::string &method, const std::string &path,
                                                 const std::string &body)
{
    using namespace Poco::Net;
    try {
        HTTPClientSession session{SocketAddress(options.address)};
        session.setTimeout(Poco::Timespan(options.timeout.count() * Poco::Timespan::MILLISECONDS));
        HTTPRequest request(method, path, HTTPMessage::HTTP_1_1);
        request.setKeepAlive(false);
        if (!options.credential.empty()) {
            request.setCredentials("Bearer", options.credential);
        }
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body;
        HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        PlatformResponse result;
        result.status = response.getStatus();
        Poco::StreamCopier::copyToString(stream, result.body);
        return result;
    } catch (const Poco::Exception &exception) {
        return PlatformError{PlatformErrorKind::NoAnswer,
                             "platform " + options.address + " " + method + " " + path + ": "
                                     + exception.displayText()};
    }
}

PlatformError errorForStatus(const PlatformResponse &response, const std::string &path)
{
    const std::string message = "platform answered " + std::to_string(response.status) + " to "
            + path + ": " + response.body.substr(0, 200);
    if (response.status == Poco::Net::HTTPResponse::HTTP_CONFLICT) {
        return {PlatformErrorKind::Fenced, message};
    }
    if (response.status >= 500) {
        return {PlatformErrorKind::NoAnswer, message};
    }
    return {PlatformErrorKind::Refused, message};
}

Result<Done, PlatformError> post(const PlatformClientOptions &options,
                                 const PlatformCommandId &command, const std::string &path,
                                 Object fields)
{
    fields.set("command_id", command.id);
    fields.set("epoch", command.epoch);
    std::ostringstream body;
    fields.stringify(body);
    const auto result = exchange(options, "POST", path, body.str());
    if (!isOk(result)) {
        return errorOf(result);
    }
    if (valueOf(result).status != Poco::Net::HTTPResponse::HTTP_OK) {
        return errorForStatus(valueOf(result), path);
    }
    return Done{};
}

Result<Poco::Dynamic::Var, PlatformError> fetch(const PlatformClientOptions &options,
                                                const std::string &path)
{
    const auto result = exchange(options, "GET", path, {});
    if (!isOk(result)) {
        return errorOf(result);
    }
    if (valueOf(result).status != Poco::Net::HTTPResponse::HTTP_OK) {
        return errorForStatus(valueOf(result), path);
    }
    try {
        return Poco::JSON::Parser().parse(valueOf(result).body);
    } catch (const Poco::Exception &exception) {
        return PlatformError{PlatformErrorKind::NoAnswer,
                             "platform answer to " + path
                                     + " is not JSON: " + exception.displayText()};
    }
}

PlatformUsage parseUsage(const Object &object)
{
    PlatformUsage usage;
    usage.instance = object.getValue<std::string>("instance");
    usage.processors = object.getValue<double>("processors");
    usage.memoryBytes = object.getValue<Poco::UInt64>("memory_bytes");
    usage.runningTasks = object.getValue<Poco::UInt32>("running_tasks");
    usage.lag = Milliseconds(object.getValue<Poco::Int64>("lag_ms"));
    return usage;
}

std::string instancePath(const std::string &instance, const std::string &suffix)
{
    return "/v1/instances/" + pathSegment(instance) + suffix;
}

std::string taskPath(const std::string &task, const std::string &suffix)
{
    return "/v1/tasks/" + pathSegment(task) + suffix;
}

} // namespace

PlatformClient::PlatformClient(PlatformClientOptions options) : m_options(std::move(options)) { }

Result<Done, PlatformError> PlatformClient::drain(const PlatformCommandId &command,
                                                  const std::string &instance, Milliseconds limit)
{
    Object fields;
    fields.set("limit_ms", static_cast<Poco::Int64>(limit.count()));
    return post(m_options, command, instancePath(instance, "/drain"), fields);
}

Result<Done, PlatformError> PlatformClient::undrain(const PlatformCommandId &command,
                                                    const std::string &instance)
{
    return post(m_options, command, instancePath(instance, "/undrain"), Object());
}

Result<Done, PlatformError> PlatformClient::reboot(const PlatformCommandId &command,
                                                   const std::string &instance)
{
    return post(m_options, command, instancePath(instance, "/reboot"), Object());
}

Result<PlatformInstanceState, PlatformError> PlatformClient::state(const std::string &instance)
{
    const auto result = fetch(m_options, instancePath(instance, ""));
    if (!isOk(result)) {
        return errorOf(result);
    }
    try {
        const auto object = valueOf(result).extract<Object::Ptr>();
        const auto name = object->getValue<std::string>("state");
        if (const auto state = platformInstanceStateNames.value(name)) {
            return *state;
        }
        return PlatformError{PlatformErrorKind::NoAnswer,
                             "expected a state of instance '" + instance + "', found '" + name
                                     + "'"};
    } catch (const Poco::Exception &exception) {
        return PlatformError{PlatformErrorKind::NoAnswer,
                             "platform answer for instance '" + instance
                                     + "' is incomplete: " + exception.displayText()};
    }
}

Result<Done, PlatformError> PlatformClient::runTask(const PlatformCommandId &command,
                                                    const PlatformTask &task)
{
    Object fields;
    fields.set("id", task.id);
    fields.set("instance", task.instance);
    fields.set("processors", task.processors);
    fields.set("memory_bytes", task.memoryBytes);
    fields.set("accelerators", task.accelerators);
    fields.set("lease_ms", static_cast<Poco::Int64>(task.lease.count()));
    return post(m_options, command, "/v1/tasks", fields);
}

Result<Done, PlatformError> PlatformClient::checkpointTask(const PlatformCommandId &command,
                                                           const std::string &task)
{
    return post(m_options, command, taskPath(task, "/checkpoint"), Object());
}

Result<Done, PlatformError> PlatformClient::throttleTask(const PlatformCommandId &command,
                                                         const std::string &task, double share)
{
    Object fields;
    fields.set("share", share);
    return post(m_options, command, taskPath(task, "/throttle"), fields);
}

Result<Done, PlatformError> PlatformClient::stopTask(const PlatformCommandId &command,
                                                     const std::string &task)
{
    return post(m_options, command, taskPath(task, "/stop"), Object());
}

Result<std::vector<PlatformUsage>, PlatformError> PlatformClient::usage()
{
    const auto result = fetch(m_options, "/v1/usage");
    if (!isOk(result)) {
        return errorOf(result);
    }
    try {
        std::vector<PlatformUsage> reports;
        const auto array = valueOf(result).extract<Poco::JSON::Array::Ptr>();
        for (std::size_t index = 0; index < array->size(); ++index) {
            reports.push_back(parseUsage(*array->getObject(static_cast<unsigned>(index))));
        }
        return reports;
    } catch (const Poco::Exception &exception) {
        return PlatformError{PlatformErrorKind::NoAnswer,
                             "platform usage report is incomplete: " + exception.displayText()};
    }
}

} // namespace dandelionloom
