// Measures the traffic that synchronizes the endpoint tables of 6 entry instances:
// measureEndpointSync ENDPOINTS BASE_PORT [SECONDS]
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Adapters/Peers/Http2PeerTransport.h"
#include "Runtime/EndpointSync.h"

using namespace dandelionloom;

namespace {

constexpr std::size_t instanceCount = 6;
constexpr int singleChanges = 20;
constexpr int burstChanges = 50;
/// Longer than the batch delay, so that each change is sent in a message of its own.
constexpr Milliseconds changeInterval{300};

/// Sums the bytes sent to peers.
class SentByteCounter : public MetricSink
{
public:
    void count(const std::string &name, const std::string &labels, double amount) override
    {
        if (name == "dandelionloom_peer_wire_bytes_total" && labels == "direction=\"sent\"") {
            m_bytes += static_cast<std::uint64_t>(amount);
        }
    }
    void gauge(const std::string &, const std::string &, double) override { }
    void observe(const std::string &, const std::string &, double) override { }
    std::uint64_t bytes() const { return m_bytes; }

private:
    std::atomic<std::uint64_t> m_bytes = 0;
};

/// Writes errors to standard error and drops all other events.
class ErrorLog : public DecisionLog
{
public:
    void write(const Decision &) override { }
    void event(LogSeverity severity, const std::string &, const std::string &message) override
    {
        if (severity == LogSeverity::Error) {
            std::cerr << message << "\n";
        }
    }
};

std::string nameOf(std::size_t index)
{
    return "entry-" + std::to_string(index);
}

PeerIdentity identityOf(std::size_t index)
{
    return {"measure", "region-1", nameOf(index), "", 1, "measure"};
}

struct Instance : AnnouncementHandler
{
    Instance(std::size_t index, const std::vector<PeerAddress> &peers, SentByteCounter &bytes)
        : name(nameOf(index)), table(EndpointTableOptions{.self = name}),
          transport(identityOf(index), peers[index].address, peers, {}, log, bytes),
          endpointSync(optionsOf(index), *this, table, transport, bytes, [](const std::string &) {})
    { }
    ~Instance() override
    {
        endpointSync.stop();
        transport.stop();
    }

    static EndpointSyncOptions optionsOf(std::size_t index)
    {
        EndpointSyncOptions options;
        options.self = nameOf(index);
        options.incarnation = 1;
        for (std::size_t other = 0; other < instanceCount; ++other) {
            if (other != index) {
                options.peers.push_back(nameOf(other));
            }
        }
        return options;
    }

    AnnouncementResponse announce(const Announcement &announcement) override
    {
        AnnouncementResponse response;
        response.accepted = isAccepted(table.announce(announcement, name, steadyTimeNow()));
        return response;
    }

    std::string name;
    ErrorLog log;
    EndpointTable table;
    Http2PeerTransport transport;
    EndpointSync endpointSync;
};

Announcement makeAnnouncement(std::size_t index, int version)
{
    Announcement announcement;
    announcement.instance = "worker-" + std::to_string(index);
    announcement.address = "10.0." + std::to_string(index % 250) + ".17:" + std::to_string(version);
    announcement.service = "service-" + std::to_string(index % 5);
    announcement.rack = "rack-" + std::to_string(index / 4);
    announcement.availabilityZone = "zone-" + std::to_string(index % 3);
    announcement.incarnation = 1790000000000ULL + index;
    return announcement;
}

using Instances = std::vector<std::unique_ptr<Instance>>;

void announceAll(Instances &instances, std::size_t endpoints, int version)
{
    for (std::size_t index = 0; index < endpoints; ++index) {
        instances[index % instanceCount]->endpointSync.announce(makeAnnouncement(index, version));
    }
}

/// Waits until every table holds all endpoints; returns false after 30 s.
bool waitForConvergence(const Instances &instances, std::size_t endpoints)
{
    const SteadyTimeMs deadline = steadyTimeNow() + 30000;
    for (const auto &instance : instances) {
        while (instance->table.all().size() < endpoints) {
            if (steadyTimeNow() > deadline) {
                return false;
            }
            std::this_thread::sleep_for(Milliseconds(50));
        }
    }
    return true;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount < 3) {
        std::cerr << "expected measureEndpointSync ENDPOINTS BASE_PORT [SECONDS]\n";
        return 2;
    }
    const std::size_t endpoints = std::strtoull(arguments[1], nullptr, 10);
    const int basePort = std::atoi(arguments[2]);
    const int seconds = argumentCount > 3 ? std::atoi(arguments[3]) : 25;
    std::vector<PeerAddress> peers;
    for (std::size_t index = 0; index < instanceCount; ++index) {
        peers.push_back({nameOf(index), "zone-1",
                         "127.0.0.1:" + std::to_string(basePort + static_cast<int>(index))});
    }
    SentByteCounter bytes;
    Instances instances;
    for (std::size_t index = 0; index < instanceCount; ++index) {
        instances.push_back(std::make_unique<Instance>(index, peers, bytes));
        const auto started = instances.back()->transport.start();
        if (!isOk(started)) {
            std::cerr << errorOf(started).message << "\n";
            return 1;
        }
    }
    for (const auto &instance : instances) {
        instance->endpointSync.start();
    }
    announceAll(instances, endpoints, 9000);
    if (!waitForConvergence(instances, endpoints)) {
        std::cerr << "the endpoint tables did not converge within 30 s\n";
        return 1;
    }
    std::this_thread::sleep_for(std::chrono::seconds(6));

    const auto measureSentBytes = [&](const auto &body) {
        const std::uint64_t before = bytes.bytes();
        const SteadyTimeMs start = steadyTimeNow();
        body();
        const double elapsed = static_cast<double>(steadyTimeNow() - start) / 1000;
        return std::pair(static_cast<double>(bytes.bytes() - before), elapsed);
    };
    const auto [idleBytes, idleSeconds] = measureSentBytes([&] {
        for (int second = 0; second < seconds; ++second) {
            if (second % 10 == 0) {
                announceAll(instances, endpoints, 9000);
            }
            std::this_thread::sleep_for(std::chrono::seconds(1));
        }
    });
    const double idleRate = idleBytes / idleSeconds;
    std::cout << endpoints << " endpoints: at rest " << idleRate / instanceCount
              << " B/s sent by each instance";
    const auto [singleBytes, singleSeconds] = measureSentBytes([&] {
        for (int change = 0; change < singleChanges; ++change) {
            instances[0]->endpointSync.announce(makeAnnouncement(0, 10000 + change));
            std::this_thread::sleep_for(changeInterval);
        }
    });
    std::cout << "; single change " << (singleBytes - idleRate * singleSeconds) / singleChanges
              << " B in all";
    const auto [burstBytes, burstSeconds] = measureSentBytes([&] {
        for (int change = 0; change < burstChanges; ++change) {
            const auto index = static_cast<std::size_t>(change);
            instances[index % instanceCount]->endpointSync.announce(
                    makeAnnouncement(index % endpoints, 20000));
        }
        std::this_thread::sleep_for(std::chrono::seconds(5));
    });
    std::cout << "; in a burst of " << burstChanges << " "
              << (burstBytes - idleRate * burstSeconds) / burstChanges << " B each\n";
    return 0;
}
