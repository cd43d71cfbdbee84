#include "Runtime/JobService.h"

// Handlers of the calls of clients, workers and operators. They run on the leader only.

namespace dandelionloom {

namespace {

/// Keeps a mistaken task count from exhausting the memory of all control instances. The largest
/// jobs in use have a hundred tasks.
constexpr std::uint64_t maxTasksPerJob = 20000;

std::string jobKey(const std::string &job)
{
    return "job/" + job;
}

std::string cancelKey(const std::string &job)
{
    return "cancel/" + job;
}

std::string configurationKey(std::uint64_t version)
{
    return "configuration/" + std::to_string(version);
}

std::string workerKey(const std::string &worker)
{
    return "worker/" + worker;
}

std::string waveKey(std::uint64_t wave)
{
    return "wave/" + std::to_string(wave);
}

/// Returns the queue that serves the call's host and path. If there is none, replies with the
/// reason and returns null.
const QueueConfig *findQueueOrReply(const SchedulerState &book, const JobCall &call,
                                    const JobReplyCallback &reply)
{
    if (book.configuration().version == 0) {
        reply(makeAnswer(JobCallOutcome::Busy, "no-configuration"));
        return nullptr;
    }
    const QueueConfig *queue = book.queueFor(call.host, call.path);
    if (queue == nullptr) {
        reply(makeAnswer(JobCallOutcome::NotFound, "no-queue"));
    }
    return queue;
}

/// Reason of an answer to a call without a valid key.
std::string keyReason(KeyCheck check)
{
    return "key-" + std::string(keyCheckNames.name(check));
}

/// Returns why the job is invalid, or an empty string.
std::string jobSpecError(const JobSpec &spec)
{
    std::uint64_t tasks = 0;
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        tasks += spec.steps[step].count;
        for (const std::uint32_t dependency : spec.steps[step].dependsOn) {
            if (dependency >= step) {
                return "step " + std::to_string(step) + " depends on a later step";
            }
        }
    }
    tasks *= spec.occurrences();
    if (tasks == 0 || tasks > maxTasksPerJob) {
        return "expected 1 to " + std::to_string(maxTasksPerJob) + " tasks, found "
                + std::to_string(tasks);
    }
    return {};
}

} // namespace

void JobService::handle(const JobCall &call, JobReplyCallback reply)
{
    if (!leads()) {
        JobCallAnswer answer = makeAnswer(JobCallOutcome::NotLeader, "not-leader");
        answer.leader = m_status.leader == m_options.name ? std::string() : m_status.leader;
        reply(answer);
        return;
    }
    const SteadyTimeMs receivedAt = steadyTimeNow();
    const std::weak_ptr<JobService *> alive = m_alive;
    const JobReplyCallback logAndReply = [alive, receivedAt, kind = call.kind, id = call.requestId,
                                          path = call.path,
                                          reply = std::move(reply)](JobCallAnswer answer) {
        if (const auto service = alive.lock()) {
            const std::int64_t took = steadyTimeNow() - receivedAt;
            // Workers repeat their announcements and clients poll the status, so such calls are
            // logged only if they failed or changed something.
            const bool routine =
                    (kind == JobCallKind::AnnounceWorker || kind == JobCallKind::Status)
                    && answer.outcome == JobCallOutcome::Done && answer.reason.empty();
            if (!routine) {
                (*service)->m_log.line(
                        LogSeverity::Info, jobCallKindNames.name(kind),
                        {{"request", id},
                         {"path", path},
                         {"outcome", jobCallOutcomeNames.name(answer.outcome)},
                         {"reason", answer.reason},
                         {"took_ms", took},
                         {"configuration",
                          static_cast<std::int64_t>(
                                  (*service)->m_schedulerState.configuration().version)}});
            }
            (*service)->m_metrics.observe("dandelionloom_job_call_seconds",
                                          "kind=\"" + std::string(jobCallKindNames.name(kind))
                                                  + "\"",
                                          static_cast<double>(took) / 1000);
        }
        reply(answer);
    };
    switch (call.kind) {
    case JobCallKind::Submit:
        return submit(call, logAndReply);
    case JobCallKind::Status:
        return status(call, logAndReply);
    case JobCallKind::Cancel:
        return cancel(call, logAndReply);
    case JobCallKind::ReadConfiguration:
        return readConfiguration(logAndReply);
    case JobCallKind::ChangeConfiguration:
        return changeConfiguration(call, logAndReply);
    case JobCallKind::AnnounceWorker:
        return announceWorker(call, logAndReply);
    case JobCallKind::DeregisterWorker:
        return deregisterWorker(call, logAndReply);
    case JobCallKind::StartWave:
        return startWave(call, logAndReply);
    case JobCallKind::WaveState:
        return waveState(call, logAndReply);
    }
    logAndReply(makeAnswer(JobCallOutcome::Invalid, "unknown-call"));
}

void JobService::replyWhenApplied(const std::string &key, JobCallAnswer answer,
                                  const JobReplyCallback &reply)
{
    m_pendingReplies.emplace(key, PendingReply{std::move(answer), reply});
}

void JobService::sendPendingReplies(const std::string &key)
{
    const auto [first, last] = m_pendingReplies.equal_range(key);
    std::vector<PendingReply> ready;
    for (auto pending = first; pending != last; ++pending) {
        ready.push_back(std::move(pending->second));
    }
    m_pendingReplies.erase(first, last);
    for (const PendingReply &pending : ready) {
        pending.reply(pending.answer);
    }
}

void JobService::sendPendingReplies(const JobChange &change)
{
    if (const auto *accepted = std::get_if<JobAccepted>(&change)) {
        m_teamsOfProposedJobs.erase(accepted->spec.id);
        sendPendingReplies(jobKey(accepted->spec.id));
    } else if (const auto *cancelled = std::get_if<JobCancelled>(&change)) {
        sendPendingReplies(cancelKey(cancelled->job));
    } else if (const auto *configured = std::get_if<ConfigurationAccepted>(&change)) {
        sendPendingReplies(configurationKey(configured->configuration.version));
    } else if (const auto *joined = std::get_if<WorkerJoined>(&change)) {
        sendPendingReplies(workerKey(joined->worker.id));
    } else if (const auto *left = std::get_if<WorkerLeft>(&change)) {
        sendPendingReplies(workerKey(left->worker));
    } else if (const auto *wave = std::get_if<WaveStarted>(&change)) {
        sendPendingReplies(waveKey(wave->wave.id));
    }
}

const TeamConfig *JobService::team(const std::string &name) const
{
    return findTeam(m_teams, m_schedulerState.configuration(), name);
}

std::optional<std::string> JobService::findTeamOrReply(const QueueConfig &queue,
                                                       const JobCall &call,
                                                       const JobReplyCallback &reply)
{
    const KeyDecision decision = checkKey(m_teams, queue, call.apiKey);
    if (decision.isAllowed()) {
        return decision.team;
    }
    // Without the key, which may be a valid one of another deployment.
    m_log.line(LogSeverity::Info, "key-refused",
               {{"request", call.requestId},
                {"queue", queue.name},
                {"check", keyCheckNames.name(decision.check)},
                {"configuration",
                 static_cast<std::int64_t>(m_schedulerState.configuration().version)}});
    m_metrics.count("dandelionloom_keys_refused_total",
                    "check=\"" + std::string(keyCheckNames.name(decision.check)) + "\"", 1);
    reply(makeAnswer(JobCallOutcome::Unauthenticated, keyReason(decision.check)));
    return std::nullopt;
}

SubmissionDecision JobService::decide(const JobRecord &job, const TeamConfig *owner,
                                      const std::string &requestId, SteadyTimeMs now)
{
    if (!m_teams.requiresKeys) {
        return {};
    }
    const auto [decision, load] = reviewSubmission(
            job, owner, {m_shares, m_dispatcher.durations(), m_loads}, m_options.submissions, now);
    if (!load) {
        return decision;
    }
    const bool accepted = decision.verdict == SubmissionVerdict::Accepted;
    if (accepted) {
        m_predictedStarts[job.spec.id] = now + decision.predictedWaitMs;
    } else {
        m_metrics.count(
                "dandelionloom_submissions_refused_total",
                "reason=\"" + std::string(submissionVerdictNames.name(decision.verdict)) + "\"", 1);
    }
    // Accepted jobs come by the hundred a second and must not use the lines of rarer events.
    m_log.line(accepted ? LogSeverity::Debug : LogSeverity::Info, "forecast",
               {{"request", requestId},
                {"job", job.spec.id},
                {"queue", job.queue.name},
                {"team", job.spec.team},
                {"verdict", submissionVerdictNames.name(decision.verdict)},
                {"wait_ms", decision.predictedWaitMs},
                {"retry_after_ms", decision.retryAfterMs},
                {"ahead_core_ms", static_cast<std::int64_t>(load->aheadCoreMs)},
                {"capacity_milli", load->capacityMilli},
                {"reachable_milli", load->reachableMilli},
                {"input_age_ms", m_loads.ageMs(now)}});
    return decision;
}

bool JobService::findsJob(const std::string &caller, const std::string &job, const JobCall &call)
{
    if (mayAccess(caller, teamOfJob(job))) {
        return true;
    }
    // Logged here only, as the answer must not show that the job exists.
    m_log.line(LogSeverity::Info, "job-of-other-team",
               {{"request", call.requestId}, {"job", job}, {"team", caller}});
    return false;
}

std::string JobService::teamOfJob(const std::string &job) const
{
    if (const JobRecord *record = m_schedulerState.job(job)) {
        return record->spec.team;
    }
    const auto proposed = m_teamsOfProposedJobs.find(job);
    return proposed == m_teamsOfProposedJobs.end() ? std::string() : proposed->second;
}

bool JobService::acknowledgeKnownJob(const JobCall &call, const JobReplyCallback &reply)
{
    const std::string id = call.path.substr(call.path.rfind('/') + 1);
    const JobRecord *job = m_schedulerState.job(id);
    if (job == nullptr || m_schedulerState.queueFor(call.host, call.path) != nullptr
        || job->queue.host != call.host || job->queue.pathPrefix + id != call.path) {
        return false;
    }
    const std::optional<std::string> caller = findTeamOrReply(job->queue, call, reply);
    if (caller) {
        reply(findsJob(*caller, id, call) ? makeAnswer(JobCallOutcome::Done, "known-job")
                                          : makeAnswer(JobCallOutcome::NotFound, "no-queue"));
    }
    return true;
}

void JobService::submit(const JobCall &call, const JobReplyCallback &reply)
{
    if (acknowledgeKnownJob(call, reply)) {
        return;
    }
    const QueueConfig *queue = findQueueOrReply(m_schedulerState, call, reply);
    if (queue == nullptr) {
        return;
    }
    const std::optional<std::string> caller = findTeamOrReply(*queue, call, reply);
    if (!caller) {
        return;
    }
    JobSpec spec = call.spec;
    spec.id = call.path.substr(queue->pathPrefix.size());
    spec.queue = queue->name;
    spec.team = *caller;
    if (!findsJob(*caller, spec.id, call)) {
        reply(makeAnswer(JobCallOutcome::Invalid,
                         "expected a job id that is not in use, found \"" + spec.id + "\""));
        return;
    }
    if (m_schedulerState.job(spec.id) != nullptr) {
        reply(makeAnswer(JobCallOutcome::Done, "known-job"));
        return;
    }
    const std::string key = jobKey(spec.id);
    if (m_pendingReplies.contains(key)) {
        replyWhenApplied(key, makeAnswer(JobCallOutcome::Done, "accepted"), reply);
        return;
    }
    std::string fault = JobId::isValid(spec.id)
            ? jobSpecError(spec)
            : "expected a job id of 1 to " + std::to_string(JobId::maxLength)
                    + " characters, found " + std::to_string(spec.id.size());
    if (!fault.empty()) {
        reply(makeAnswer(JobCallOutcome::Invalid, std::move(fault)));
        return;
    }
    const TeamConfig *owner = team(spec.team);
    const SteadyTimeMs now = steadyTimeNow();
    JobRecord job;
    job.spec = std::move(spec);
    job.spec.beyondShare = liesBeyondShare(job.spec, owner, m_shares, now);
    job.queue = *queue;
    job.acceptedAtMs = wallTimeNow();
    const SubmissionDecision decision = decide(job, owner, call.requestId, now);
    if (decision.verdict != SubmissionVerdict::Accepted) {
        JobCallAnswer refusal = makeAnswer(
                JobCallOutcome::Busy, std::string(submissionVerdictNames.name(decision.verdict)));
        refusal.retryAfterMs = decision.retryAfterMs;
        reply(refusal);
        return;
    }
    recordInShare(job.spec, owner, m_shares, now);
    replyWhenApplied(key, makeAnswer(JobCallOutcome::Done, "accepted"), reply);
    m_teamsOfProposedJobs[job.spec.id] = job.spec.team;
    // Not by propose(), whose list would copy the job with its payload.
    m_unproposedChanges.emplace_back(
            JobAccepted{std::move(job.spec), std::move(job.queue), job.acceptedAtMs});
    scheduleFlush();
}

void JobService::status(const JobCall &call, const JobReplyCallback &reply)
{
    const QueueConfig *queue = findQueueOrReply(m_schedulerState, call, reply);
    if (queue == nullptr) {
        return;
    }
    const std::optional<std::string> caller = findTeamOrReply(*queue, call, reply);
    if (!caller) {
        return;
    }
    JobCallAnswer answer;
    answer.outcome = JobCallOutcome::Done;
    const std::string id = call.path.substr(queue->pathPrefix.size());
    if (id.empty()) {
        answer.isQueue = true;
        answer.pendingJobs = m_dispatcher.pendingJobs(queue->name, steadyTimeNow());
        reply(answer);
        return;
    }
    const JobRecord *job = m_schedulerState.job(id);
    if (job == nullptr || !findsJob(*caller, id, call)) {
        reply(makeAnswer(JobCallOutcome::Gone, "no-job"));
        return;
    }
    answer.phase = job->phase;
    answer.started = m_dispatcher.hasStarted(*job);
    reply(answer);
}

void JobService::cancel(const JobCall &call, const JobReplyCallback &reply)
{
    if (m_schedulerState.configuration().version == 0) {
        reply(makeAnswer(JobCallOutcome::Busy, "no-configuration"));
        return;
    }
    const QueueConfig *queue = m_schedulerState.queueFor(call.host, call.path);
    // A client can still cancel a job after its queue was removed from the configuration.
    const std::string id = queue != nullptr ? call.path.substr(queue->pathPrefix.size())
                                            : call.path.substr(call.path.rfind('/') + 1);
    const JobRecord *job = m_schedulerState.job(id);
    // The submission may be proposed but not applied yet.
    const bool isProposed = job == nullptr && m_pendingReplies.contains(jobKey(id));
    if (queue == nullptr && job == nullptr && !isProposed) {
        reply(makeAnswer(JobCallOutcome::NotFound, "no-job"));
        return;
    }
    // The rules of a removed queue are those of the job's acceptance.
    const QueueConfig rules = queue != nullptr ? *queue
            : job != nullptr                   ? job->queue
                                               : QueueConfig();
    const std::optional<std::string> caller = findTeamOrReply(rules, call, reply);
    if (!caller) {
        return;
    }
    if (!findsJob(*caller, id, call)) {
        reply(makeAnswer(queue == nullptr ? JobCallOutcome::NotFound : JobCallOutcome::Gone,
                         "no-job"));
        return;
    }
    if (job == nullptr) {
        if (isProposed) {
            // The cancellation follows the submission in the journal.
            replyWhenApplied(cancelKey(id), makeAnswer(JobCallOutcome::Done, "cancelled"), reply);
            propose({JobCancelled{id, wallTimeNow()}});
            return;
        }
        reply(makeAnswer(JobCallOutcome::Gone, "no-job"));
        return;
    }
    if (job->phase != JobPhase::Active) {
        reply(makeAnswer(JobCallOutcome::Done, "ended-before"));
        return;
    }
    replyWhenApplied(cancelKey(id), makeAnswer(JobCallOutcome::Done, "cancelled"), reply);
    propose({JobCancelled{id, wallTimeNow()}});
}

void JobService::readConfiguration(const JobReplyCallback &reply)
{
    if (m_schedulerState.configuration().version == 0) {
        reply(makeAnswer(JobCallOutcome::NotFound, "no-configuration"));
        return;
    }
    JobCallAnswer answer = makeAnswer(JobCallOutcome::Done, "read");
    answer.document = m_schedulerState.configuration().document;
    reply(answer);
}

void JobService::changeConfiguration(const JobCall &call, const JobReplyCallback &reply)
{
    const std::uint64_t version = call.configuration.version;
    if (version <= m_schedulerState.configuration().version) {
        reply(makeAnswer(JobCallOutcome::Done, "older-version"));
        return;
    }
    const bool alreadyProposed = m_pendingReplies.contains(configurationKey(version));
    replyWhenApplied(configurationKey(version), makeAnswer(JobCallOutcome::Done, "in-force"),
                     reply);
    if (!alreadyProposed) {
        propose({ConfigurationAccepted{call.configuration}});
    }
}

void JobService::announceWorker(const JobCall &call, const JobReplyCallback &reply)
{
    std::vector<JobChange> changes =
            m_dispatcher.announced({call.worker, call.sequence, call.clockMs}, steadyTimeNow());
    if (changes.empty()) {
        // That a worker drains is acknowledged once it is recorded.
        const bool isUnrecordedDrain =
                call.worker.draining && m_dispatcher.isRestartPending(call.worker.id);
        reply(isUnrecordedDrain ? makeAnswer(JobCallOutcome::Busy, "restart-pending")
                                : makeAnswer(JobCallOutcome::Done, {}));
        return;
    }
    replyWhenApplied(workerKey(call.worker.id),
                     makeAnswer(JobCallOutcome::Done, call.worker.draining ? "draining" : "joined"),
                     reply);
    propose(std::move(changes));
}

void JobService::deregisterWorker(const JobCall &call, const JobReplyCallback &reply)
{
    if (!m_dispatcher.deregistered(call.worker.id)) {
        const bool known = m_schedulerState.worker(call.worker.id) != nullptr;
        reply(makeAnswer(JobCallOutcome::Done, known ? "not-draining" : "unknown-worker"));
        return;
    }
    replyWhenApplied(workerKey(call.worker.id), makeAnswer(JobCallOutcome::Done, "left"), reply);
    scheduleFlush();
}

void JobService::startWave(const JobCall &call, const JobReplyCallback &reply)
{
    if (m_schedulerState.waves().contains(call.wave.id)) {
        reply(makeAnswer(JobCallOutcome::Done, "known-wave"));
        return;
    }
    const bool alreadyProposed = m_pendingReplies.contains(waveKey(call.wave.id));
    replyWhenApplied(waveKey(call.wave.id), makeAnswer(JobCallOutcome::Done, "started"), reply);
    if (!alreadyProposed) {
        MaintenanceWave wave = call.wave;
        wave.acceptedAtMs = wallTimeNow();
        propose({WaveStarted{std::move(wave)}});
    }
}

void JobService::waveState(const JobCall &call, const JobReplyCallback &reply)
{
    const auto wave = m_schedulerState.waves().find(call.wave.id);
    if (wave == m_schedulerState.waves().end()) {
        reply(makeAnswer(JobCallOutcome::NotFound, "no-wave"));
        return;
    }
    JobCallAnswer answer = makeAnswer(JobCallOutcome::Done, "read");
    answer.waveCompleted = wave->second.isCompleted();
    reply(answer);
}

} // namespace dandelionloom
