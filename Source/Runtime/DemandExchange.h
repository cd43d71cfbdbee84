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
    /// Fraction of the region's entry instances that are in the own availability zone. Upper bound
    /// of this gateway's share of an allowance while the lists lease has ended.
    double zoneShare = 1;
    /// Interval of reports while the gateway has demand. An idle gateway sends nothing.
    Milliseconds interval{250};
    /// A report is dropped after this time; covers the loss of two successive reports.
    Milliseconds reportLifetime{1000};
    std::function<bool()> listsAreStale;
};

/// Reports the demand of this gateway to the others, and divides allowances and slots in proportion
/// to the demand of all. A gateway without a current report counts as idle.
class DemandExchange
{
public:
    /// `currentDemand` returns the current demand of this gateway. Registers the handler of
    /// GatewayDemand messages; the transport must be stopped before this object is destroyed.
    DemandExchange(DemandExchangeOptions options, PeerTransport &transport,
                   std::function<DemandReport()> currentDemand);
    ~DemandExchange();
    DemandExchange(const DemandExchange &) = delete;
    DemandExchange &operator=(const DemandExchange &) = delete;

    void start();
    void stop();
    /// Reads the own demand, drops expired reports and sends a report if there is demand or the
    /// last report had some.
    void tick(SteadyTimeMs now);

    /// This gateway's fraction of a plan's allowance, above 0 and at most 1.
    double allowanceShare(const std::string &plan) const;
    /// Number of slots of an endpoint that are this gateway's share by demand.
    std::uint32_t slotShare(const Announcement &announcement) const;

    /// Demand of all gateways by service.
    std::map<std::string, double> regionDemand() const;

private:
    struct Report
    {
        DemandReport demand;
        SteadyTimeMs receivedAt = 0;
    };

    void run();
    void receive(const std::string &from, const std::string &body);

    const DemandExchangeOptions m_options;
    PeerTransport &m_transport;
    const std::function<DemandReport()> m_currentDemand;

    mutable std::mutex m_mutex;
    DemandReport m_ownDemand;
    std::map<std::string, Report> m_reports;
    bool m_sentDemand = false;

    std::mutex m_threadMutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace dandelionloom
