#include "Samples.h"

#include <map>

namespace dandelionloom::measure {

namespace {

constexpr std::size_t poolAvailability = 64;
constexpr std::size_t zoneCount = 15;
constexpr std::size_t instancesPerRack = 4;

std::string randomHex(std::size_t digits, std::mt19937_64 &random)
{
    static constexpr const char *alphabet = "0123456789abcdef";
    std::string text;
    for (std::size_t index = 0; index < digits; ++index) {
        text += alphabet[random() % 16];
    }
    return text;
}

std::string poolName(std::size_t number)
{
    return "service-" + std::to_string(number % poolAvailability);
}

std::string zoneName(std::size_t number)
{
    return "region-" + std::to_string(number % zoneCount / 3) + "-zone-"
            + std::to_string(number % 3);
}

} // namespace

Fleet sampleFleet(std::size_t instances, std::mt19937_64 &random)
{
    Fleet fleet;
    for (std::size_t number = 0; number < instances; ++number) {
        InstanceRecord record;
        const std::size_t rack = number / instancesPerRack;
        record.id = "worker-" + std::to_string(100000 + number);
        record.pool = poolName(number);
        record.availabilityZone = zoneName(rack);
        record.rack = record.availabilityZone + "-rack-" + std::to_string(rack);
        record.epoch = 1 + random() % 100;
        record.phaseSinceMs = sampleTimeMs;
        record.lastMaintainedMs = sampleTimeMs;
        fleet.instances[record.id] = record;
    }
    return fleet;
}

Lists sampleLists(std::size_t plans, std::mt19937_64 &random)
{
    Lists lists;
    lists.revision = 2;
    lists.plansRevision = 1;
    lists.allowancesRevision = 2;
    for (std::size_t number = 0; number < plans; ++number) {
        Plan plan;
        plan.id = "team-" + std::to_string(1000 + number);
        plan.customer = "saddlepoint";
        plan.service = poolName(number);
        plan.maxUnavailableInstances = 3;
        plan.defaultDeadlineMs = static_cast<std::uint32_t>(1000 + random() % 10000);
        Allowance allowance;
        allowance.plan = plan.id;
        allowance.maxInstances = static_cast<std::uint32_t>(1 + random() % 300);
        allowance.slots = static_cast<std::uint32_t>(8 + random() % 2400);
        allowance.requestsPerSecond = static_cast<std::uint32_t>(100 + random() % 5000);
        lists.plans[plan.id] = plan;
        lists.allowances[allowance.plan] = allowance;
    }
    return lists;
}

ApplyList sampleAllowancesChange(const Lists &lists, std::uint64_t number, std::mt19937_64 &random)
{
    ApplyList change;
    change.change = {"change-" + randomHex(24, random) + std::to_string(number), "operator-1"};
    change.kind = ListKind::Allowances;
    change.expectedRevision = lists.allowancesRevision;
    for (const auto &[id, allowance] : lists.allowances) {
        change.allowances.push_back(allowance);
    }
    if (!change.allowances.empty()) {
        change.allowances[random() % change.allowances.size()].slots =
                static_cast<std::uint32_t>(8 + random() % 2400);
    }
    return change;
}

ClaimRequests sampleClaims(std::size_t claims, std::uint64_t firstNumber, std::mt19937_64 &random)
{
    ClaimRequests batch;
    for (std::size_t position = 0; position < claims; ++position) {
        RequestClaim claim;
        claim.plan = "team-" + std::to_string(1000 + random() % 690);
        claim.key = randomHex(24, random) + std::to_string(firstNumber + position);
        claim.digest = randomHex(32, random);
        claim.gateway = "entry-" + std::to_string(random() % 46);
        claim.gatewayIncarnation = sampleTimeMs;
        claim.deadlineAtMs = sampleTimeMs + 5000;
        claim.requestId = randomHex(16, random);
        batch.claims.push_back(claim);
    }
    return batch;
}

SettleRequests sampleSettlements(const ClaimRequests &batch, std::size_t bodyBytes)
{
    SettleRequests settled;
    settled.claims = batch.claims;
    for (RequestClaim &claim : settled.claims) {
        claim.state = ClaimState::Done;
        claim.status = 200;
        claim.contentType = "application/json";
        claim.body = std::string(bodyBytes, 'x');
        claim.bodyKept = true;
    }
    return settled;
}

std::string sampleSnapshot(const Lists &lists, const Fleet &fleet)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(8);
    packer.pack(recordFormatVersion);
    packer.pack(std::string(sampleGroup));
    packer.pack(std::uint64_t{1});
    packer.pack(lists);
    packer.pack(std::vector<ListChange>{});
    packer.pack(fleet);
    packer.pack(std::map<std::string, int>{});
    packer.pack(std::vector<RequestClaim>{});
    return {buffer.data(), buffer.size()};
}

Command commandOf(CommandBody body)
{
    return {sampleGroup, sampleTimeMs, std::move(body)};
}

} // namespace dandelionloom::measure
