#include "Soak/Callers.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "Model/Time.h"

namespace dandelionloom::soak {

namespace {

constexpr Milliseconds callTimeout{3000};
constexpr std::int64_t pollMs = 250;
constexpr std::int64_t retryMs = 100;
/// Time after its acceptance from which a job must be known at every gateway.
constexpr std::int64_t visibleMs = 3000;
/// Time after the acknowledgement of a cancellation from which no task of the job may start.
constexpr std::int64_t cancelMs = 3000;
/// Time after the last byte of a request within which a gateway that stops may close its
/// connection unanswered.
constexpr std::int64_t lossSlackMs = 200;
/// Part of the jobs that are cancelled, as one in this number.
constexpr std::int64_t cancelOneIn = 4;
constexpr std::int64_t lastingOneIn = 8;

} // namespace

Callers::Callers(EventLoop &loop, CallersOptions options, WorkerFleet &fleet, Findings &findings)
    : m_loop(loop), m_options(std::move(options)), m_fleet(fleet), m_findings(findings),
      m_random(m_options.seed)
{ }

void Callers::start()
{
    for (std::size_t index = 0; index < m_options.clients; ++index) {
        Client client;
        client.connection = std::make_unique<EventedHttpClient>(
                m_loop, HttpClientLimits{.maxConnectionsPerAddress = 1});
        client.gateway = index % m_options.gateways.size();
        m_clients.push_back(std::move(client));
    }
    for (std::size_t index = 0; index < m_clients.size(); ++index) {
        after(below(500), [this, index] { submitNext(index); });
    }
}

std::int64_t Callers::below(std::int64_t limit)
{
    return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(limit));
}

void Callers::after(std::int64_t milliseconds, std::function<void()> task)
{
    m_loop.startTimer(Milliseconds(milliseconds), std::move(task));
}

void Callers::call(std::size_t client, const std::string &method, const std::string &job,
                   const std::string &body, Answer answer)
{
    const std::string gateway = m_options.gateways.at(m_clients[client].gateway);
    const SteadyTimeMs sentAt = steadyTimeNow();
    HttpCall request{gateway, method, m_options.pathPrefix + job, {}, body, callTimeout};
    request.headers = {{"Host", m_options.host},
                       {"X-Dandelionloom-Deadline-Ms", std::to_string(callTimeout.count())}};
    m_clients[client].connection->call(
            std::move(request),
            [this, client, gateway, sentAt, method, job,
             answer = std::move(answer)](const EventedHttpClient::Result &result) {
                if (isOk(result)) {
                    answer(valueOf(result).status,
                           Json::parse(valueOf(result).body, nullptr, false));
                    return;
                }
                const SteadyTimeMs now = steadyTimeNow();
                const SteadyTimeMs stopSince = plannedStopSince ? plannedStopSince(gateway) : 0;
                const bool cut = errorOf(result).kind == HttpCallErrorKind::NoAnswer
                        && now - sentAt < callTimeout.count();
                if (cut && stopSince != 0 && sentAt >= stopSince && now - sentAt > lossSlackMs) {
                    m_findings.add("LOST",
                                   method + " " + job + " was cut by " + gateway + " "
                                           + std::to_string(now - sentAt)
                                           + " ms after it was sent, during a planned stop");
                }
                m_clients[client].gateway =
                        (m_clients[client].gateway + 1) % m_options.gateways.size();
                answer(0, {});
            });
}

void Callers::submitNext(std::size_t client)
{
    if (!m_submitting) {
        return;
    }
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%08x%08x", static_cast<unsigned>(m_random()),
                  static_cast<unsigned>(++m_jobCount));
    Job job;
    job.id = id.data();
    job.lasts = below(lastingOneIn) == 0;
    const std::int64_t workMs = job.lasts ? 0 : 100 + below(2000);
    Json first = {
            {"count", 1 + below(4)}, {"cpu", taskMilli}, {"mem_mb", 256}, {"estimate_ms", workMs}};
    if (job.lasts) {
        first["long_running"] = true;
    } else if (below(3) == 0) {
        first["required_label"] = "kind-" + std::to_string(below(2));
    }
    Json steps = Json::array({first});
    if (!job.lasts && below(2) == 0) {
        first["depends_on"] = {0};
        steps.push_back(first);
    }
    job.body = Json{{"spec", std::to_string(workMs)}, {"steps", steps}}.dump();
    m_clients[client].job = job.id;
    m_jobs.emplace(job.id, std::move(job));
    submit(client);
}

void Callers::submit(std::size_t client)
{
    const std::string id = m_clients[client].job;
    call(client, "POST", id, m_jobs.at(id).body, [this, client, id](int status, const Json &) {
        Job &job = m_jobs.at(id);
        if (status / 100 == 2) {
            job.state = JobState::Accepted;
            job.acceptedAt = steadyTimeNow();
            const bool cancels = job.lasts || below(cancelOneIn) == 0;
            after(cancels ? 50 + below(3000) : pollMs,
                  [this, client, cancels] { cancels ? cancel(client) : follow(client); });
            return;
        }
        const bool refused = status == 429 || status == 503;
        job.inDoubt = job.inDoubt || !refused;
        if (status == 404 || status == 400) {
            m_findings.add("CONFIG", "job " + id + " was refused with " + std::to_string(status));
        }
        if (refused && !job.inDoubt) {
            job.state = JobState::Refused;
            m_fleet.forbidJob(id, 0);
            after(retryMs, [this, client] { submitNext(client); });
            return;
        }
        after(retryMs, [this, client] { submit(client); });
    });
}

void Callers::follow(std::size_t client)
{
    call(client, "GET", m_clients[client].job, {},
         [this, client](int status, const Json &body) { onState(client, status, body); });
}

void Callers::onState(std::size_t client, int status, const Json &body)
{
    Job &job = m_jobs.at(m_clients[client].job);
    const std::string state =
            status == 200 && body.is_object() ? body.value("state", std::string()) : std::string();
    const bool visible = steadyTimeNow() - job.acceptedAt > visibleMs;
    if ((status == 410 || status == 404) && visible) {
        m_findings.add("LOST",
                       "accepted job " + job.id + " is answered with " + std::to_string(status));
    }
    if (state == "failed" || state == "cancelled") {
        m_findings.add("LOST", "accepted job " + job.id + " is shown as " + state);
    }
    if (state == "completed") {
        job.state = JobState::Completed;
        m_fleet.forbidJob(job.id, steadyTimeNow());
        submitNext(client);
        return;
    }
    after(pollMs, [this, client] { follow(client); });
}

void Callers::cancel(std::size_t client)
{
    Job &job = m_jobs.at(m_clients[client].job);
    job.state = JobState::Cancelling;
    call(client, "DELETE", job.id, {}, [this, client](int status, const Json &) {
        Job &cancelled = m_jobs.at(m_clients[client].job);
        if (status / 100 != 2) {
            if (status == 410) {
                m_findings.add("LOST", "accepted job " + cancelled.id + " is gone at its cancel");
            }
            after(retryMs, [this, client] { cancel(client); });
            return;
        }
        cancelled.state = JobState::Cancelled;
        m_fleet.forbidJob(cancelled.id, steadyTimeNow() + cancelMs);
        submitNext(client);
    });
}

std::vector<std::string> Callers::unfinishedJobs() const
{
    std::vector<std::string> ids;
    for (const auto &[id, job] : m_jobs) {
        if (job.state == JobState::Accepted || job.state == JobState::Cancelling) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::set<std::string> Callers::cancelledJobs() const
{
    std::set<std::string> ids;
    for (const auto &[id, job] : m_jobs) {
        if (job.state == JobState::Cancelled) {
            ids.insert(id);
        }
    }
    return ids;
}

std::size_t Callers::acceptedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &item) {
                return item.second.state != JobState::Submitting
                        && item.second.state != JobState::Refused;
            }));
}

std::size_t Callers::completedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &item) {
                return item.second.state == JobState::Completed;
            }));
}

} // namespace dandelionloom::soak
