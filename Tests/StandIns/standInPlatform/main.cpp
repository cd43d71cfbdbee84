#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/StringTokenizer.h>
#include <Poco/Timespan.h>
#include <cxxopts.hpp>

#include <chrono>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace {

using Poco::JSON::Object;

constexpr int endpointTimeoutMs = 1000;

std::int64_t nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

/// One machine of the stand-in platform. Its endpoint process is controlled over HTTP.
struct Machine
{
    std::string endpointAddress;
    std::string state = "running";
    std::uint64_t highestEpoch = 0;
    std::int64_t drainEndsAt = 0;
    std::int64_t rebootEndsAt = 0;
    int reboots = 0;
    /// Requests that ran when the machine was rebooted. The caller has to drain the machine first,
    /// so any such request is a fault of the caller.
    int workLostByReboots = 0;
};

struct PlatformResponse
{
    int status = 200;
    std::string body = "{}";
};

class StandInPlatform
{
public:
    StandInPlatform(std::map<std::string, Machine> machines, int rebootMs)
        : m_machines(std::move(machines)), m_rebootMs(rebootMs)
    { }

    PlatformResponse handle(const std::string &method, const std::string &path,
                            const std::string &body)
    {
        const std::lock_guard lock(m_mutex);
        const Poco::StringTokenizer parts(path, "/", Poco::StringTokenizer::TOK_IGNORE_EMPTY);
        if (path == "/v1/usage") {
            return usage();
        }
        if (parts.count() < 3 || parts[0] != "v1" || parts[1] != "instances") {
            return {404, R"({"error":"unknown path"})"};
        }
        const auto machine = m_machines.find(parts[2]);
        if (machine == m_machines.end()) {
            return {404, R"({"error":"unknown instance"})"};
        }
        updateState(machine->second);
        if (method == "GET") {
            return describe(machine->second);
        }
        return execute(machine->second, parts.count() > 3 ? parts[3] : "", body);
    }

private:
    PlatformResponse execute(Machine &machine, const std::string &verb, const std::string &body)
    {
        const auto object = Poco::JSON::Parser().parse(body).extract<Object::Ptr>();
        const auto id = object->getValue<std::string>("command_id");
        const auto epoch = object->getValue<Poco::UInt64>("epoch");
        if (m_executedCommands.contains(id)) {
            return {};
        }
        if (epoch < machine.highestEpoch) {
            return {409, R"({"error":"epoch is lower than the highest seen"})"};
        }
        machine.highestEpoch = epoch;
        m_executedCommands.insert(id);
        if (verb == "drain") {
            machine.state = "draining";
            machine.drainEndsAt = nowMs() + object->getValue<Poco::Int64>("limit_ms");
            postToEndpoint(machine, "/admin/leave");
        } else if (verb == "undrain") {
            machine.state = "running";
            postToEndpoint(machine, "/admin/stay");
        } else if (verb == "reboot") {
            machine.workLostByReboots += inFlight(machine);
            machine.state = "rebooting";
            ++machine.reboots;
            machine.rebootEndsAt = nowMs() + m_rebootMs;
            postToEndpoint(machine, "/admin/restart?down_ms=" + std::to_string(m_rebootMs));
        } else {
            return {404, R"({"error":"unknown command"})"};
        }
        return {};
    }

    void updateState(Machine &machine)
    {
        const bool drainEnded = machine.state == "draining"
                && (inFlight(machine) == 0 || nowMs() >= machine.drainEndsAt);
        if (drainEnded) {
            machine.state = "drained";
        }
        if (machine.state == "rebooting" && nowMs() >= machine.rebootEndsAt) {
            machine.state = "running";
        }
    }

    PlatformResponse describe(const Machine &machine) const
    {
        Object object;
        object.set("state", machine.state);
        object.set("reboots", machine.reboots);
        object.set("work_lost_by_reboots", machine.workLostByReboots);
        std::ostringstream text;
        object.stringify(text);
        return {200, text.str()};
    }

    PlatformResponse usage()
    {
        Poco::JSON::Array reports;
        for (const auto &[name, machine] : m_machines) {
            Object object;
            object.set("instance", name);
            object.set("processors", 0.0);
            object.set("memory_bytes", 0);
            object.set("running_tasks", 0);
            object.set("lag_ms", 0);
            reports.add(object);
        }
        std::ostringstream text;
        reports.stringify(text);
        return {200, text.str()};
    }

    /// Calls an admin path of the endpoint. Returns an empty text if the endpoint is down, which
    /// counts as idle.
    static std::string postToEndpoint(const Machine &machine, const std::string &path)
    {
        using namespace Poco::Net;
        try {
            HTTPClientSession session{SocketAddress(machine.endpointAddress)};
            session.setTimeout(Poco::Timespan(endpointTimeoutMs * Poco::Timespan::MILLISECONDS));
            HTTPRequest request(HTTPRequest::HTTP_POST, path, HTTPMessage::HTTP_1_1);
            request.setContentLength(0);
            session.sendRequest(request);
            HTTPResponse response;
            std::string body;
            Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
            return body;
        } catch (const Poco::Exception &) {
            return {};
        }
    }

    static int inFlight(const Machine &machine)
    {
        const std::string body = postToEndpoint(machine, "/admin/state");
        if (body.empty()) {
            return 0;
        }
        try {
            return Poco::JSON::Parser().parse(body).extract<Object::Ptr>()->getValue<int>(
                    "in_flight");
        } catch (const Poco::Exception &) {
            return 0;
        }
    }

    std::mutex m_mutex;
    std::map<std::string, Machine> m_machines;
    std::set<std::string> m_executedCommands;
    const int m_rebootMs;
};

class Handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit Handler(StandInPlatform &platform) : m_platform(platform) { }

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override
    {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        PlatformResponse result;
        try {
            result = m_platform.handle(request.getMethod(), request.getURI(), body);
        } catch (const Poco::Exception &exception) {
            result = {400, std::string("{\"error\":\"") + exception.className() + "\"}"};
        }
        response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(result.status));
        response.setContentType("application/json");
        response.sendBuffer(result.body.data(), result.body.size());
    }

private:
    StandInPlatform &m_platform;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit HandlerFactory(StandInPlatform &platform) : m_platform(platform) { }

    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new Handler(m_platform);
    }

private:
    StandInPlatform &m_platform;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    cxxopts::Options options("standInPlatform", "Stand-in for the platform's HTTP interface");
    options.add_options()("address", "IP:port to listen on", cxxopts::value<std::string>())(
            "instance", "NAME=IP:port of its endpoint; repeatable",
            cxxopts::value<std::vector<std::string>>())(
            "reboot-ms", "duration of a reboot", cxxopts::value<int>()->default_value("500"));
    const auto parsed = options.parse(argumentCount, arguments);

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    std::map<std::string, Machine> machines;
    for (const std::string &item : parsed["instance"].as<std::vector<std::string>>()) {
        const auto separator = item.find('=');
        machines[item.substr(0, separator)].endpointAddress = item.substr(separator + 1);
    }
    StandInPlatform platform(std::move(machines), parsed["reboot-ms"].as<int>());
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(parsed["address"].as<std::string>()));
    auto *parameters = new Poco::Net::HTTPServerParams;
    parameters->setKeepAlive(false);
    Poco::Net::HTTPServer server(new HandlerFactory(platform), socket, parameters);
    server.start();
    std::cout << "{\"ready\":\"" << socket.address().toString() << "\"}" << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    server.stopAll(true);
    return 0;
}
