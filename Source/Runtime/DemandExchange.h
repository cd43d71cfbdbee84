#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Model/Endpoint.h"
#include "Model/Time.h"
#include "Ports/PeerTransport.h"
#include "Runtime/FairQueue.h"

namespace dandelionloom {

struct DemandExchangeOptions
{
    std::string self;
    /// All other entry instances of the region.
    std::vector<std::string> peers;
    /// Part of the region's entry instances that are in the own availability zone. Bounds what
    /// this gateway takes of an allowance while the lists lease has ended.
    double zonePart = 1;
    /// Interval of reports while the gateway has demand. An idle gateway sends nothing.
    Milliseconds interval{250};
    /// How long a report counts: two may be lost.
    Milliseconds lifetime{1000};
    std::function<bool()> listsAreStale;
};

/// Tells the other gateways the demand of this one, and divides allowances and slots by the demand
/// of all. A gateway that is not heard counts as idle.
class DemandExchange
{
public:
    /// `load` gives the present demand of this gateway. Sets the handler of GatewayDemand; the
    /// transport must be stopped before the destruction.
    DemandExchange(DemandExchangeOptions options, PeerTransport &transport,
                   std::function<GatewayLoad()> load);
    ~DemandExchange();
    DemandExchange(const DemandExchange &) = delete;
    DemandExchange &operator=(const DemandExchange &) = delete;

    void start();
    void stop();
    /// One round: reads the own demand and sends it if there is any or has just been.
    void tick(SteadyTimeMs now);

    /// This gateway's part of a plan's allowance, above 0 and at most 1.
    double allowanceShare(const std::string &plan) const;
    /// Slots of an endpoint that are this gateway's by demand.
    std::uint32_t slotShare(const Announcement &announcement) const;

    /// Demand of all gateways by service.
    std::map<std::string, double> regionDemand() const;

private:
    struct Report
    {
        GatewayLoad load;
        SteadyTimeMs receivedAt = 0;
    };

    void run();
    void receive(const std::string &from, const std::string &body);

    const DemandExchangeOptions m_options;
    PeerTransport &m_transport;
    const std::function<GatewayLoad()> m_load;

    mutable std::mutex m_mutex;
    GatewayLoad m_own;
    std::map<std::string, Report> m_reports;
    bool m_sentDemand = false;

    std::mutex m_threadMutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace dandelionloom
