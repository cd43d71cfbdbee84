#include "Soak/Operators.h"

#include <algorithm>

#include "Model/Time.h"

namespace dandelionloom::soak {

namespace {

constexpr Milliseconds callTimeout{1000};
/// Time after the acknowledgement of a configuration within which it must be in force everywhere.
constexpr std::int64_t applyMs = 2000;
constexpr std::int64_t changeIntervalMs = 700;
constexpr std::int64_t readIntervalMs = 60;
constexpr std::int64_t probeIntervalMs = 30;
constexpr std::int64_t resendMs = 60;
/// Queues that are added and removed, and one that is never there.
constexpr int changingQueues = 6;
constexpr int unknownQueue = changingQueues;

std::string prefixOf(int queue)
{
    return "/extra-" + std::to_string(queue) + "/";
}

Json routeOf(const std::string &name, const std::string &host, const std::string &prefix,
             const std::string &service)
{
    return {{"name", name},           {"host", host},       {"path_prefix", prefix},
            {"route_type", "unsafe"}, {"timeout_ms", 3000}, {"target_latency_ms", 600},
            {"priority", 0},          {"service", service}, {"max_attempts", 3},
            {"stretch", 2.0}};
}

} // namespace

Operators::Operators(EventLoop &loop, OperatorsOptions options, Findings &findings)
    : m_loop(loop), m_options(std::move(options)), m_findings(findings),
      m_client(loop, {.maxConnectionsPerAddress = 16}), m_random(m_options.seed)
{ }

std::size_t Operators::below(std::size_t limit)
{
    return static_cast<std::size_t>(m_random() % limit);
}

void Operators::start()
{
    send(nextChange());
    changeInTurn();
    readInTurn();
    probeInTurn();
}

Operators::Change Operators::nextChange()
{
    Change change;
    m_version += 1 + below(4);
    change.version = m_version;
    const int queue = static_cast<int>(below(changingQueues));
    if (!m_queues.erase(queue)) {
        m_queues.insert(queue);
    }
    change.queues = m_queues;
    change.control = below(m_options.controls.size());
    Json routes =
            Json::array({routeOf("main", m_options.host, m_options.pathPrefix, m_options.service)});
    for (const int each : change.queues) {
        routes.push_back(routeOf("extra-" + std::to_string(each), m_options.host, prefixOf(each),
                                 m_options.service));
    }
    const Json service = {{"name", m_options.service},
                          {"health_path", "/healthz"},
                          {"max_connections", 64},
                          {"protocol", "h1"},
                          {"tls", false},
                          {"admission_control", true},
                          {"standby", false}};
    change.body = Json{{"version", change.version},
                       {"routes", routes},
                       {"services", Json::array({service})},
                       {"limits",
                        {{"max_header_bytes", 16384},
                         {"max_body_bytes", 262144},
                         {"header_timeout_ms", 3000},
                         {"idle_timeout_ms", 15000}}}}
                          .dump();
    return change;
}

std::string Operators::invalidBody(std::uint64_t version)
{
    Json body = Json::parse(m_sent.rbegin()->second.body);
    body["version"] = version;
    switch (below(7)) {
    case 0:
        return body.dump().substr(0, body.dump().size() - 1 - below(60));
    case 1:
        body["routes"][0]["service"] = "unknown";
        break;
    case 2:
        body["routes"].push_back(body["routes"][0]);
        body["routes"].back()["name"] = "second";
        break;
    case 3:
        body["routes"][0]["timeout_ms"] = 0;
        break;
    case 4:
        body["routes"][0].erase("timeout_ms");
        break;
    case 5:
        body["routes"] = nullptr;
        break;
    default:
        body.erase("services");
        break;
    }
    return body.dump();
}

void Operators::changeInTurn()
{
    m_loop.startTimer(Milliseconds(changeIntervalMs), [this] { changeInTurn(); });
    if (!m_changing || !isConfigured() || m_changesInProgress > 4) {
        return;
    }
    // The versions of two operators that send at the same time.
    for (std::size_t sender = 0; sender < 1 + below(2); ++sender) {
        send(nextChange());
    }
    if (below(3) == 0) {
        sendInvalid(below(m_options.controls.size()), invalidBody(m_version + 100000), 0);
    }
}

void Operators::send(const Change &change)
{
    if (m_sent.emplace(change.version, change).second) {
        ++m_changesInProgress;
    }
    const std::string &to = m_options.controls.at(change.control % m_options.controls.size());
    m_client.call({to, "PUT", "/v1/config", {}, change.body, callTimeout},
                  [this, change](const EventedHttpClient::Result &result) {
                      const int status = isOk(result) ? valueOf(result).status : 0;
                      if (status == 200) {
                          m_acknowledged.try_emplace(change.version, steadyTimeNow());
                          --m_changesInProgress;
                          return;
                      }
                      if (status >= 400 && status < 500 && status != 408 && status != 429) {
                          m_findings.add("CONFIG",
                                         "valid version " + std::to_string(change.version)
                                                 + " was refused with " + std::to_string(status));
                      }
                      m_loop.startTimer(Milliseconds(resendMs), [this, next = change]() mutable {
                          ++next.control;
                          send(next);
                      });
                  });
}

void Operators::sendInvalid(std::size_t control, const std::string &body, std::uint32_t attempts)
{
    const std::string &to = m_options.controls.at(control % m_options.controls.size());
    m_client.call({to, "PUT", "/v1/config", {}, body, callTimeout},
                  [this, control, body, attempts](const EventedHttpClient::Result &result) {
                      const int status = isOk(result) ? valueOf(result).status : 0;
                      if (status / 100 == 2) {
                          m_findings.add("CONFIG",
                                         "an invalid configuration was acknowledged: "
                                                 + body.substr(0, 200));
                      } else if (status / 100 != 4 && attempts < 3) {
                          sendInvalid(control + 1, body, attempts + 1);
                      }
                  });
}

std::uint64_t Operators::newestVersion() const
{
    return m_acknowledged.empty() ? 0 : m_acknowledged.rbegin()->first;
}

std::uint64_t Operators::versionInForce(SteadyTimeMs sentAt) const
{
    std::uint64_t newest = 0;
    for (const auto &[version, at] : m_acknowledged) {
        if (at + applyMs <= sentAt) {
            newest = version;
        }
    }
    return newest;
}

void Operators::readInTurn()
{
    m_loop.startTimer(Milliseconds(readIntervalMs), [this] { readInTurn(); });
    const std::string control = m_options.controls.at(below(m_options.controls.size()));
    const SteadyTimeMs sentAt = steadyTimeNow();
    m_client.call({control, "GET", "/v1/config", {}, {}, callTimeout},
                  [this, control, sentAt](const EventedHttpClient::Result &result) {
                      if (isOk(result) && valueOf(result).status == 200) {
                          checkRead(control, sentAt, valueOf(result).body);
                      }
                  });
}

void Operators::checkRead(const std::string &control, SteadyTimeMs sentAt, const std::string &body)
{
    ++m_reads;
    const Json document = Json::parse(body, nullptr, false);
    const std::uint64_t version =
            document.is_object() ? document.value("version", std::uint64_t{0}) : 0;
    m_lastRead = m_changing ? 0 : std::max(m_lastRead, version);
    const auto sent = m_sent.find(version);
    if (sent == m_sent.end() || sent->second.body != body) {
        m_findings.add("CONFIG",
                       control + " gives a configuration that was not sent so: version "
                               + std::to_string(version));
    }
    if (version < versionInForce(sentAt)) {
        m_findings.add("CONFIG",
                       control + " gives version " + std::to_string(version) + ", in force is "
                               + std::to_string(versionInForce(sentAt)));
    }
}

void Operators::probeInTurn()
{
    m_loop.startTimer(Milliseconds(probeIntervalMs), [this] { probeInTurn(); });
    const std::string gateway = m_options.gateways.at(below(m_options.gateways.size()));
    const int queue = static_cast<int>(below(changingQueues + 1));
    const SteadyTimeMs sentAt = steadyTimeNow();
    m_client.call({gateway, "GET", prefixOf(queue), {{"Host", m_options.host}}, {}, callTimeout},
                  [this, gateway, queue, sentAt](const EventedHttpClient::Result &result) {
                      if (isOk(result)) {
                          checkProbe(gateway, queue, sentAt, valueOf(result).status);
                      }
                  });
}

void Operators::checkProbe(const std::string &gateway, int queue, SteadyTimeMs sentAt, int status)
{
    ++m_probes;
    const std::uint64_t inForce = versionInForce(sentAt);
    if ((status != 200 && status != 404) || inForce == 0) {
        return;
    }
    // Any version from the one in force on may have answered.
    bool possible = false;
    for (auto sent = m_sent.find(inForce); sent != m_sent.end(); ++sent) {
        possible = possible || sent->second.queues.contains(queue) == (status == 200);
    }
    if (!possible) {
        m_findings.add("CONFIG",
                       gateway + " answers " + std::to_string(status) + " for " + prefixOf(queue)
                               + (queue == unknownQueue ? ", never there" : "")
                               + ", in force is version " + std::to_string(inForce));
    }
}

} // namespace dandelionloom::soak
