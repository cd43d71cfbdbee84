// The scripted cases of the review: standIns CASE RECORD. Exits with 1 if the rule was broken, with
// 0 if it held, and with 2 if the case could not run. TROUBLE=0 leaves the disruption out.
#include "Support.h"

namespace review {

struct Outcome
{
    /// How the rule was broken; empty if it held.
    std::string broken;
};

/// Waits until the task has a run that has begun after the time, and returns it.
RunEvent waitForRun(Runs &runs, const std::string &job, std::int64_t limitMs)
{
    const std::int64_t deadline = nowMs() + limitMs;
    while (nowMs() < deadline) {
        for (const RunEvent &event : runs.all()) {
            if (event.task.starts_with(job + ".")) {
                return event;
            }
        }
        sleepMs(5);
    }
    throw NotRun("no task of " + job + " began");
}

/// LOST: 14 s (finish_s) after the job was handed in, it still has nothing running for 3 s, while a
/// worker that fits has at least twice its need free and the service is idle.
std::string neverRuns(Deployment &deployment, Worker &fits, const std::string &job,
                      std::int64_t cpu, std::int64_t capacity, Record &record)
{
    const std::int64_t begin = nowMs();
    std::int64_t idleSince = -1;
    while (nowMs() - begin < 14000 + 3500) {
        sleepMs(50);
        for (const RunEvent &event : deployment.runs().all()) {
            if (event.task.starts_with(job + ".")) {
                return {};
            }
        }
        const bool room = capacity - fits.usedCpu() >= 2 * cpu;
        if (nowMs() - begin < 14000 || !room) {
            idleSince = -1;
        } else if (idleSince < 0) {
            idleSince = nowMs();
            record.line(job + " has nothing running, and " + fits.id() + " has "
                        + std::to_string(capacity - fits.usedCpu()) + " of "
                        + std::to_string(capacity) + " free");
        }
    }
    const std::string state = deployment.state(job);
    record.line("client is told that " + job + " is " + state);
    return idleSince >= 0 && nowMs() - idleSince >= 3000
            ? "LOST: " + job + " was accepted and has nothing running for 3 s, with room for it "
                      "twice over; it is said to be " + state
            : std::string();
}

/// A start gets no answer and is carried out 2 s later; its repetition gets 429.
Outcome lateStart(Deployment &deployment, Record &, bool trouble)
{
    std::vector<Worker *> workers;
    for (int number = 1; number <= 7; ++number) {
        workers.push_back(&deployment.addWorker("i-0000000" + std::to_string(number), "a"));
    }
    deployment.start();
    for (Worker *worker : workers) {
        worker->startFault = [trouble](const std::string &, std::uint64_t run, int before) {
            StartFault fault;
            if (trouble && run == 1 && before == 0) {
                fault.lateByMs = 2000;
            } else if (trouble && run == 1) {
                fault.refuseWith = 429;
            }
            return fault;
        };
    }
    const std::string job = deployment.submit(1, 2000, 4000);
    deployment.waitFor(job, "completed", 12000);
    sleepMs(1000);
    const std::string twice = ranTwice(deployment.runs().all());
    return {twice.empty() ? std::string() : "TWICE: " + twice};
}

/// A worker's DELETE reaches a control instance that is frozen. The worker repeats it elsewhere,
/// ends, and starts again under its id. Then the instance wakes.
Outcome lateDelete(Deployment &deployment, Record &record, bool trouble)
{
    std::vector<Worker *> workers;
    for (int number = 1; number <= 4; ++number) {
        workers.push_back(&deployment.addWorker("i-0000000" + std::to_string(number), "a"));
    }
    deployment.start();
    const std::size_t frozen = (deployment.leader() + 1) % 3;
    Worker &leaving = *workers.front();
    leaving.preferControl(frozen);
    leaving.report("draining");
    sleepMs(2500);
    const std::int64_t frozenAt = nowMs();
    if (trouble) {
        record.line(deployment.control(frozen).name() + " is frozen");
        deployment.control(frozen).signal(SIGSTOP);
    }
    leaving.preferControl(frozen);
    if (!leaving.deregister()) {
        throw NotRun("no control instance acknowledged the DELETE");
    }
    leaving.crash();
    sleepMs(1000);
    leaving.start();
    sleepMs(700);
    const std::string job = deployment.submit(3, 9000, 7000);
    sleepMs(std::max<std::int64_t>(frozenAt + 5000 - nowMs(), 0));
    if (trouble) {
        record.line(deployment.control(frozen).name() + " wakes");
        deployment.control(frozen).signal(SIGCONT);
    }
    deployment.waitFor(job, "completed", 25000);
    sleepMs(500);
    const std::string twice = ranTwice(deployment.runs().all());
    return {twice.empty() ? std::string() : "TWICE: " + twice};
}

/// A worker is cut off for 2 s while a start is on its way to it, and the client cancels the job.
Outcome cancelInCut(Deployment &deployment, Record &record, bool trouble)
{
    Worker &special = deployment.addWorker("i-00000001", "b");
    for (int number = 2; number <= 5; ++number) {
        deployment.addWorker("i-0000000" + std::to_string(number), "a");
    }
    deployment.start();
    if (trouble) {
        special.cut(true);
    }
    const std::string cancelled = deployment.submit(1, 9000, 5000, "b");
    sleepMs(150);
    if (deployment.cancel(cancelled) != 200) {
        throw NotRun("the cancelling was not acknowledged");
    }
    sleepMs(1800);
    if (trouble) {
        special.cut(false);
    }
    // Longer than contact_ms, so that no disruption is near.
    sleepMs(6000);
    const std::string job = deployment.submit(1, 8000, 1000, "b");
    return {neverRuns(deployment, special, job, 8000, 16000, record)};
}

/// A worker crashes while it drains, and starts again under its id. Its first heartbeat comes
/// 0.5 s after it has opened its port.
Outcome crashWhileDraining(Deployment &deployment, Record &record, bool trouble)
{
    Worker &special = deployment.addWorker("i-00000001", "b");
    for (int number = 2; number <= 7; ++number) {
        deployment.addWorker("i-0000000" + std::to_string(number), "a");
    }
    deployment.start();
    if (!special.report("draining")) {
        throw NotRun("the draining was not acknowledged");
    }
    if (trouble) {
        sleepMs(1000);
    } else {
        sleepMs(2500);
        special.deregister();
    }
    special.crash();
    sleepMs(2000);
    special.start(500);
    sleepMs(6000);
    const std::string job = deployment.submit(1, 8000, 1000, "b");
    return {neverRuns(deployment, special, job, 8000, 16000, record)};
}

/// The queue's policy allows two workers of 34, the second and the last. The second is lost.
Outcome adviceStarved(Deployment &deployment, Record &record, bool trouble)
{
    std::vector<Worker *> workers;
    for (int number = 1; number <= 34; ++number) {
        const std::string digits = std::to_string(100 + number).substr(1);
        workers.push_back(&deployment.addWorker("i-000000" + digits, "a"));
    }
    deployment.permitted = {workers[1]->id(), workers.back()->id()};
    deployment.start();
    if (trouble) {
        workers[1]->crash();
    }
    // The lease of the lost worker ends, and no disruption is near.
    sleepMs(9000);
    const std::string job = deployment.submit(1, 1000, 1000);
    return {neverRuns(deployment, *workers.back(), job, 1000, 16000, record)};
}

/// The only worker that fits is lost just before five jobs are handed in.
Outcome pendingAfterLoss(Deployment &deployment, Record &record, bool trouble)
{
    Worker &special = deployment.addWorker("i-00000001", "b");
    for (int number = 2; number <= 7; ++number) {
        deployment.addWorker("i-0000000" + std::to_string(number), "a");
    }
    deployment.start();
    if (trouble) {
        special.cut(true);
    } else {
        // The queue has to wait without the disruption too.
        deployment.submit(1, 16000, 11000, "b");
        sleepMs(500);
    }
    std::vector<std::string> jobs;
    for (int number = 0; number < 5; ++number) {
        jobs.push_back(deployment.submit(1, 3000, 1000, "b"));
    }
    sleepMs(8000);
    std::size_t begun = 0;
    for (const RunEvent &event : deployment.runs().all()) {
        begun += static_cast<std::size_t>(
                std::count(jobs.begin(), jobs.end(), event.task.substr(0, 16)));
    }
    const int pending = deployment.pending();
    record.line("5 jobs were accepted 8 s ago, " + std::to_string(begun)
                + " have begun; the queue says pending " + std::to_string(pending));
    for (const std::string &job : jobs) {
        record.line("client is told that " + job + " is " + deployment.state(job));
    }
    const bool broken = static_cast<std::size_t>(pending) * 2 < jobs.size() - begun;
    return {broken ? "MIXED: " + std::to_string(jobs.size() - begun)
                                + " jobs have waited over 5 s and none has begun; pending says "
                                + std::to_string(pending)
                   : std::string()};
}

/// 24 lasting jobs run on the only worker of their kind, which is lost for good. Then an ordinary
/// job is handed in, for which six idle workers fit.
Outcome blockedQueue(Deployment &deployment, Record &record, bool trouble)
{
    Worker &special = deployment.addWorker("i-00000001", "b");
    std::vector<Worker *> others;
    for (int number = 2; number <= 7; ++number) {
        others.push_back(&deployment.addWorker("i-0000000" + std::to_string(number), "a"));
    }
    deployment.start();
    std::string lasting;
    for (int number = 0; number < 24; ++number) {
        lasting = deployment.submit(1, 500, 1000000, "b", true);
    }
    waitForRun(deployment.runs(), lasting, 5000);
    if (trouble) {
        special.crash();
    }
    // The leases of the lost worker end, and no disruption is near.
    sleepMs(9000);
    const std::string job = deployment.submit(1, 1000, 1000);
    return {neverRuns(deployment, *others.front(), job, 1000, 16000, record)};
}

const std::map<std::string, Outcome (*)(Deployment &, Record &, bool)> cases{
        {"late-start", lateStart},
        {"late-delete", lateDelete},
        {"cancel-in-cut", cancelInCut},
        {"crash-while-draining", crashWhileDraining},
        {"blocked-queue", blockedQueue},
        {"advice-starved", adviceStarved},
        {"pending-after-loss", pendingAfterLoss},
};

int run(const std::string &name, const std::string &recordPath)
{
    Record record(recordPath);
    const char *const trouble = std::getenv("TROUBLE");
    const bool withTrouble = trouble == nullptr || std::string(trouble) != "0";
    record.line(name + (withTrouble ? ", with the disruption" : ", without the disruption"));
    try {
        Deployment deployment(record);
        Outcome outcome = cases.at(name)(deployment, record, withTrouble);
        const std::string ended = deployment.ended();
        if (outcome.broken.empty() && !ended.empty()) {
            outcome.broken = "Fault: ended by themselves: " + ended;
        }
        const std::string verdict = outcome.broken.empty() ? "held" : "BROKEN: " + outcome.broken;
        record.line(verdict);
        std::cout << verdict << std::endl;
        return outcome.broken.empty() ? 0 : 1;
    } catch (const std::exception &error) {
        record.line(std::string("not run: ") + error.what());
        std::cout << "not run: " << error.what() << std::endl;
        return 2;
    }
}

} // namespace review

int main(int count, char **arguments)
{
    if (count != 3 || !review::cases.contains(arguments[1])) {
        std::cerr << "usage: standIns CASE RECORD\n";
        return 2;
    }
    return review::run(arguments[1], arguments[2]);
}
