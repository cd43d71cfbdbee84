#include "Adapters/Http/OperatorViews.h"

#include <algorithm>

#include "Adapters/Json/JsonWriter.h"

namespace dandelionloom {

namespace {

void writeWave(JsonWriter &json, const Wave &wave, const ExplainWave &explain)
{
    json.beginObject();
    json.member("id", wave.id);
    json.member("state", waveStateNames.name(wave.state));
    json.member("targets", wave.targets);
    json.member("finished", wave.finished);
    json.member("started_at_ms", wave.startedAtMs);
    json.member("ended_at_ms", wave.endedAtMs);
    json.member("drain_limit_ms", wave.drainLimitMs);
    json.key("explanations").beginArray();
    for (const WaveExplanation &explanation : explain(wave.id)) {
        json.beginObject()
                .member("instance", explanation.instance)
                .member("phase", explanation.phase)
                .member("reason", explanation.reason)
                .endObject();
    }
    json.endArray().endObject();
}

bool matches(const std::map<std::string, std::string> &filters, const std::string &key,
             const std::string &value)
{
    const auto filter = filters.find(key);
    return filter == filters.end() || filter->second == value;
}

} // namespace

std::string plansView(const Lists &lists)
{
    JsonWriter json;
    json.beginObject().member("revision", lists.plansRevision);
    json.member("lists_revision", lists.revision);
    json.key("plans").beginArray();
    for (const auto &[id, plan] : lists.plans) {
        json.beginObject()
                .member("id", plan.id)
                .member("customer", plan.customer)
                .member("service", plan.service)
                .member("urgency", urgencyNames.name(plan.urgency))
                .member("min_healthy_instances", plan.minHealthyInstances)
                .member("max_unavailable_instances", plan.maxUnavailableInstances)
                .member("default_deadline_ms", plan.defaultDeadlineMs)
                .endObject();
    }
    json.endArray().endObject();
    return json.text();
}

std::string allowancesView(const Lists &lists)
{
    JsonWriter json;
    json.beginObject().member("revision", lists.allowancesRevision);
    json.member("lists_revision", lists.revision);
    json.key("allowances").beginArray();
    for (const auto &[plan, allowance] : lists.allowances) {
        json.beginObject()
                .member("plan", allowance.plan)
                .member("max_instances", allowance.maxInstances)
                .member("slots", allowance.slots)
                .member("requests_per_second", allowance.requestsPerSecond)
                .member("weight", allowance.weight)
                .member("accelerators", allowance.accelerators)
                .endObject();
    }
    json.endArray().endObject();
    return json.text();
}

std::string historyView(const std::vector<ListChange> &history)
{
    JsonWriter json;
    json.beginObject().key("changes").beginArray();
    for (const ListChange &change : history) {
        json.beginObject()
                .member("revision", change.revision)
                .member("list", listKindNames.name(change.kind))
                .member("change_id", change.changeId)
                .member("operator", change.operatorName)
                .member("accepted_at_ms", change.acceptedAtMs)
                .member("entries", change.entries)
                .endObject();
    }
    json.endArray().endObject();
    return json.text();
}

std::string instancesView(const std::vector<InstanceRecord> &instances)
{
    JsonWriter json;
    json.beginObject().key("instances").beginArray();
    for (const InstanceRecord &record : instances) {
        json.beginObject()
                .member("id", record.id)
                .member("pool", record.pool)
                .member("availability_zone", record.availabilityZone)
                .member("rack", record.rack)
                .member("epoch", record.epoch)
                .member("phase", instancePhaseNames.name(record.phase))
                .memberIfNotEmpty("grant_holder", record.grantHolder)
                .memberIfNotEmpty("moving_to", record.movingTo)
                .member("phase_since_ms", record.phaseSinceMs)
                .member("last_maintained_ms", record.lastMaintainedMs)
                .endObject();
    }
    json.endArray().endObject();
    return json.text();
}

std::string endpointsView(const std::vector<EndpointRecord> &endpoints, SteadyTimeMs now)
{
    JsonWriter json;
    json.beginObject().key("endpoints").beginArray();
    for (const EndpointRecord &record : endpoints) {
        const Announcement &announcement = record.announcement;
        json.beginObject()
                .member("instance", announcement.instance)
                .member("address", announcement.address)
                .member("service", announcement.service)
                .member("slots", announcement.slots)
                .member("rack", announcement.rack)
                .member("availability_zone", announcement.availabilityZone)
                .member("incarnation", announcement.incarnation)
                .member("state", endpointStateNames.name(announcement.state))
                .member("owner", record.owner)
                .member("lease_remaining_ms", std::max<SteadyTimeMs>(0, record.leaseEndsAt - now))
                .endObject();
    }
    json.endArray().endObject();
    return json.text();
}

std::string wavesView(const std::map<std::string, Wave> &waves, const ExplainWave &explain)
{
    JsonWriter json;
    json.beginObject().key("waves").beginArray();
    for (const auto &[id, wave] : waves) {
        writeWave(json, wave, explain);
    }
    json.endArray().endObject();
    return json.text();
}

std::string waveView(const Wave &wave, const ExplainWave &explain)
{
    JsonWriter json;
    writeWave(json, wave, explain);
    return json.text();
}

std::string statusView(const std::string &instanceName, const LogStatus &status, const Lists &lists,
                       const Result<std::vector<ReplicaProgress>, LogError> &replicas)
{
    JsonWriter json;
    json.beginObject()
            .member("instance", instanceName)
            .member("version", DANDELIONLOOM_VERSION)
            .member("role", logRoleNames.name(status.role))
            .member("term", status.term)
            .member("leader", status.leader)
            .member("commit_index", status.commitIndex)
            .member("applied_index", status.appliedIndex)
            .member("lists_revision", lists.revision)
            .member("plans_revision", lists.plansRevision)
            .member("allowances_revision", lists.allowancesRevision)
            .member("ready", status.ready)
            .member("quorum_contact_age_ms", status.quorumContactAgeMs);
    json.key("replicas").beginArray();
    if (isOk(replicas)) {
        for (const ReplicaProgress &replica : valueOf(replicas)) {
            json.beginObject()
                    .member("name", replica.name)
                    .member("availability_zone", replica.availabilityZone)
                    .member("voter", replica.voter)
                    .member("applied_index", replica.appliedIndex)
                    .member("lists_revision", replica.listsRevision)
                    .member("heard_age_ms", replica.heardAgeMs)
                    .endObject();
        }
    }
    json.endArray();
    if (!isOk(replicas)) {
        json.member("replicas_error", errorOf(replicas).message);
    }
    json.endObject();
    return json.text();
}

std::vector<InstanceRecord> matchingInstances(const Fleet &fleet,
                                              const std::map<std::string, std::string> &filters)
{
    std::vector<InstanceRecord> found;
    for (const auto &[id, record] : fleet.instances) {
        if (matches(filters, "pool", record.pool) && matches(filters, "rack", record.rack)
            && matches(filters, "availability_zone", record.availabilityZone)) {
            found.push_back(record);
        }
    }
    return found;
}

} // namespace dandelionloom
