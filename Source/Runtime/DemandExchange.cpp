#include "Runtime/DemandExchange.h"

#include <algorithm>
#include <utility>

#include <msgpack.hpp>

#include "Decisions/SlotShares.h"

namespace dandelionloom {

namespace {

constexpr Milliseconds sendTimeout{1000};

/// Added to the demand of every gateway, so that an idle one has a share of each allowance and can
/// start its first request without waiting for a report.
constexpr double idleDemand = 0.5;

double demandFor(const std::map<std::string, double> &values, const std::string &name)
{
    const auto found = values.find(name);
    return found == values.end() ? 0 : found->second;
}

} // namespace

DemandExchange::DemandExchange(DemandExchangeOptions options, PeerTransport &transport,
                               std::function<DemandReport()> currentDemand)
    : m_options(std::move(options)), m_transport(transport),
      m_currentDemand(std::move(currentDemand))
{
    m_transport.setHandler(
            PeerMessageKind::GatewayDemand,
            [this](const std::string &from, const std::string &body,
                   const PeerTransport::Reply &reply) {
                try {
                    receive(from, body);
                    reply(std::string());
                } catch (const std::exception &exception) {
                    reply(PeerError{PeerErrorKind::Refused,
                                    std::string("cannot decode the gateway demand report: ")
                                            + exception.what()});
                }
            });
}

DemandExchange::~DemandExchange()
{
    stop();
}

void DemandExchange::start()
{
    m_thread = std::thread([this] { run(); });
}

void DemandExchange::stop()
{
    {
        const std::lock_guard lock(m_threadMutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void DemandExchange::run()
{
    std::unique_lock lock(m_threadMutex);
    while (!m_wake.wait_for(lock, m_options.interval, [this] { return m_stopping; })) {
        lock.unlock();
        tick(steadyTimeNow());
        lock.lock();
    }
}

void DemandExchange::tick(SteadyTimeMs now)
{
    DemandReport demand = m_currentDemand();
    const bool hasDemand = !demand.byPlan.empty();
    bool send = false;
    {
        const std::lock_guard lock(m_mutex);
        m_ownDemand = demand;
        std::erase_if(m_reports, [&](const auto &item) {
            return now - item.second.receivedAt > m_options.reportLifetime.count();
        });
        // A last report without demand lets the other gateways use this share at once.
        send = hasDemand || m_sentDemand;
        m_sentDemand = hasDemand;
    }
    if (!send) {
        return;
    }
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(demand.byPlan);
    packer.pack(demand.byService);
    for (const std::string &peer : m_options.peers) {
        m_transport.call(peer, PeerMessageKind::GatewayDemand, {buffer.data(), buffer.size()},
                         sendTimeout, [](const PeerResult &) {});
    }
}

void DemandExchange::receive(const std::string &from, const std::string &body)
{
    const auto unpacked = msgpack::unpack(body.data(), body.size());
    std::vector<std::map<std::string, double>> demandMaps;
    unpacked.get().convert(demandMaps);
    Report report;
    report.demand.byPlan = std::move(demandMaps.at(0));
    report.demand.byService = std::move(demandMaps.at(1));
    report.receivedAt = steadyTimeNow();
    const std::lock_guard lock(m_mutex);
    m_reports[from] = std::move(report);
}

double DemandExchange::allowanceShare(const std::string &plan) const
{
    const std::lock_guard lock(m_mutex);
    const double own = demandFor(m_ownDemand.byPlan, plan) + idleDemand;
    double total = own + idleDemand * static_cast<double>(m_options.peers.size());
    for (const auto &[gateway, report] : m_reports) {
        total += demandFor(report.demand.byPlan, plan);
    }
    const double share = own / total;
    const bool stale = m_options.listsAreStale && m_options.listsAreStale();
    return stale ? std::min(share, m_options.zoneShare) : share;
}

std::map<std::string, double> DemandExchange::regionDemand() const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, double> demand = m_ownDemand.byService;
    for (const auto &[gateway, report] : m_reports) {
        for (const auto &[service, slots] : report.demand.byService) {
            demand[service] += slots;
        }
    }
    return demand;
}

std::uint32_t DemandExchange::slotShare(const Announcement &announcement) const
{
    std::vector<GatewayDemand> demands;
    {
        const std::lock_guard lock(m_mutex);
        demands.push_back({m_options.self, demandFor(m_ownDemand.byService, announcement.service)});
        for (const std::string &peer : m_options.peers) {
            const auto report = m_reports.find(peer);
            const double demand = report == m_reports.end()
                    ? 0
                    : demandFor(report->second.demand.byService, announcement.service);
            demands.push_back({peer, demand});
        }
    }
    return allocateSlots(announcement.instance, announcement.slots, demands).at(m_options.self);
}

} // namespace dandelionloom
