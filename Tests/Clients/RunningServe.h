#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "Adapters/Http/EventedHttpServer.h"
#include "Adapters/Peers/EventLoop.h"
#include "Clients/ProcessChecks.h"
#include "Soak/LoopbackNetwork.h"
#include "Support/TemporaryFolder.h"

namespace dandelionloom::test {

/// Three entry instances (`dandelionloom serve`) on loopback addresses, and one endpoint that
/// answers their requests. The crowds of tests connect to the first one.
class RunningServe
{
public:
    /// Credential of a plan that no list names, so that its requests are refused.
    static constexpr const char *refusedCredential = "caller-secret-dues";
    static constexpr const char *clusterId = "clients";
    static constexpr const char *group = "region-1";
    static constexpr const char *peerCredential = "peer-secret-0001";
    static constexpr const char *operatorCredential = "operator-secret-1";

    /// `limits` are lines of the section [limits] of the settings. Returns when a caller's request
    /// is answered.
    explicit RunningServe(const std::string &limits);
    ~RunningServe();
    RunningServe(const RunningServe &) = delete;
    RunningServe &operator=(const RunningServe &) = delete;

    std::string callerAddress() const;
    std::string operatorAddress() const;
    std::string endpointAddress() const;
    std::string peerAddress() const;

    /// Statuses of one request of a caller, of an operator and of an endpoint; 0 if there is no
    /// response.
    int callerStatus() const;
    int operatorStatus() const;
    int announcementStatus() const;

    /// Checks each process: it lives, and its memory and descriptors are within the bounds.
    void checkProcesses(const ProcessBounds &bounds) const;

private:
    std::string writeSettings(std::size_t index, const std::string &limits) const;
    void startEndpoint();
    bool applyLists() const;
    std::vector<scenario::ChildProcess *> processes() const;

    TemporaryFolder m_folder;
    soak::LoopbackNetwork m_network;
    EventLoop m_loop;
    std::unique_ptr<EventedHttpServer> m_endpoint;
    std::vector<std::unique_ptr<scenario::ChildProcess>> m_processes;
};

} // namespace dandelionloom::test
