#include <cxxopts.hpp>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <thread>

#include "Announcer.h"
#include "EndpointHttp.h"

namespace {

using namespace dandelionloom::standIn;

constexpr std::chrono::milliseconds leaveTimeout{5000};
constexpr std::chrono::milliseconds drainTimeout{60000};

/// How long a leaving endpoint accepts requests of gateways that do not know yet that it leaves.
constexpr std::chrono::milliseconds lateRequestTime{1000};

std::string readCredential(const std::string &path)
{
    std::ifstream file(path);
    std::string name;
    std::string credential;
    file >> name >> credential;
    return credential;
}

/// A stand-in endpoint with its announcements. The stand-in platform controls it over the admin
/// paths leave, stay, restart and state.
class StandInEndpoint
{
public:
    StandInEndpoint(const EndpointSettings &settings, const std::vector<std::string> &urls,
                    const std::string &credential)
        : m_http(settings, [this](const std::string &path, int downMs) {
              return handleAdminRequest(path, downMs);
          })
    {
        EndpointSettings boundSettings = settings;
        boundSettings.address = m_http.address();
        m_announcer = std::make_unique<Announcer>(boundSettings, urls, credential);
    }

    ~StandInEndpoint()
    {
        if (m_restartThread.joinable()) {
            m_restartThread.join();
        }
    }

    const std::string &address() const { return m_http.address(); }

    void stopGracefully()
    {
        m_announcer->leave();
        if (m_announcer->waitUntilAccepted(leaveTimeout)) {
            std::this_thread::sleep_for(lateRequestTime);
        }
        m_http.endpointRuns().waitUntilIdle(drainTimeout);
    }

private:
    std::string handleAdminRequest(const std::string &path, int downMs)
    {
        if (path == "/admin/leave") {
            m_http.endpointRuns().setLeaving(true);
            m_announcer->leave();
        } else if (path == "/admin/stay") {
            m_http.endpointRuns().setLeaving(false);
            m_announcer->resumeServing();
        } else if (path == "/admin/restart") {
            restart(std::chrono::milliseconds(downMs));
        }
        Poco::JSON::Object object;
        object.set("in_flight", m_http.endpointRuns().inFlight());
        object.set("leaving", m_announcer->isLeaving());
        object.set("incarnation", m_announcer->incarnation());
        std::ostringstream text;
        object.stringify(text);
        return text.str();
    }

    /// Stops serving for the down time, then serves under the next incarnation.
    void restart(std::chrono::milliseconds downTime)
    {
        if (m_restarting.exchange(true)) {
            return;
        }
        if (m_restartThread.joinable()) {
            m_restartThread.join();
        }
        m_announcer->pause();
        m_restartThread = std::thread([this, downTime] {
            m_http.stop();
            std::this_thread::sleep_for(downTime);
            m_http.endpointRuns().setLeaving(false);
            m_http.start();
            m_announcer->resumeServing();
            m_restarting = false;
        });
    }

    EndpointHttp m_http;
    std::unique_ptr<Announcer> m_announcer;
    std::atomic<bool> m_restarting = false;
    std::thread m_restartThread;
};

std::uint64_t incarnationFromTime()
{
    using namespace std::chrono;
    const auto now = duration_cast<milliseconds>(system_clock::now().time_since_epoch());
    return static_cast<std::uint64_t>(now.count());
}

} // namespace

int main(int argumentCount, char **arguments)
{
    cxxopts::Options options("standInEndpoint", "Stand-in for an endpoint");
    options.add_options()("address", "IP:port to listen on", cxxopts::value<std::string>())(
            "announce", "URL of an entry instance's endpoint listener; repeatable",
            cxxopts::value<std::vector<std::string>>()->default_value({}))(
            "credential-file", "file with 'name credential'",
            cxxopts::value<std::string>()->default_value(""))(
            "instance", "name", cxxopts::value<std::string>())("service", "service",
                                                               cxxopts::value<std::string>())(
            "slots", "slots", cxxopts::value<int>()->default_value("8"))(
            "rack", "rack", cxxopts::value<std::string>()->default_value("rack-1"))(
            "zone", "availability zone", cxxopts::value<std::string>()->default_value("zone-a"))(
            "incarnation", "incarnation; the wall time by default",
            cxxopts::value<std::uint64_t>()->default_value("0"))(
            "key-log", "file that gets the key of each keyed run",
            cxxopts::value<std::string>()->default_value(""))(
            "run-ms", "run time of a request", cxxopts::value<int>()->default_value("0"));
    const auto parsed = options.parse(argumentCount, arguments);

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A write to a connection that the peer has closed must fail the call, not end the process.
    std::signal(SIGPIPE, SIG_IGN);

    EndpointSettings settings;
    settings.address = parsed["address"].as<std::string>();
    settings.instance = parsed["instance"].as<std::string>();
    settings.service = parsed["service"].as<std::string>();
    settings.slots = parsed["slots"].as<int>();
    settings.rack = parsed["rack"].as<std::string>();
    settings.availabilityZone = parsed["zone"].as<std::string>();
    settings.keyLog = parsed["key-log"].as<std::string>();
    settings.runMs = parsed["run-ms"].as<int>();
    settings.incarnation = parsed["incarnation"].as<std::uint64_t>();
    if (settings.incarnation == 0) {
        settings.incarnation = incarnationFromTime();
    }
    StandInEndpoint endpoint(settings, parsed["announce"].as<std::vector<std::string>>(),
                             readCredential(parsed["credential-file"].as<std::string>()));
    std::cout << "{\"ready\":\"" << endpoint.address() << "\",\"instance\":\"" << settings.instance
              << "\",\"incarnation\":" << settings.incarnation << "}" << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    endpoint.stopGracefully();
    return 0;
}
