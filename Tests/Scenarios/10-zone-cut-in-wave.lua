-- Tests the availability budget and the requests that a partitioned availability zone may serve: the
-- zone is partitioned during a maintenance wave while one of its instances drains. Neither side may take
-- more instances out of service than the budget, and the partitioned zone must not run work that another
-- gateway may run too.

local cluster = require "cluster"
local budget = 1
local c = cluster.new {zones = 3, entries = 6, voters = 3, relays = true, platform = true, reboot_ms = 200,
                       timing = "proving_ms = 300\nlists_lease_ms = 1500\nendpoint_lease_ms = 6000"}
c:start_all()
local leader = c:wait_leader()
c:apply_lists(leader)
c:add_endpoints("pricing", 6, {run_ms = 5})
c:start_platform()
c:wait_endpoints(6)
c:wait_in_service(leader, 6)

local zone = "zone-" .. (seed % 3 + 1)
local inside, outside = c:split_zone(zone)
local max_out_of_service = 0

-- Checks on both sides of the partition that the pool does not exceed its availability budget.
local function check_budget()
    for _, entry in ipairs {inside[1], outside[1]} do
        local instances = c:instances(entry)
        if instances then
            local out_of_service = cluster.count_out_of_service(instances)
            max_out_of_service = math.max(max_out_of_service, out_of_service)
            check(out_of_service <= budget, "%s sees %d instances out of service, the budget is %d",
                entry.name, out_of_service, budget)
        end
    end
    c:check_one_pool_per_instance()
end

local load = c:start_load("caller-secret-quotes", "GET", "/pricing/quote", {callers = 2})

section("the zone is partitioned while one of its instances drains", function()
    c:start_wave(leader, "wave-1", "pricing")
    wait_until(40000, "an instance of " .. zone .. " is being drained", function()
        check_budget()
        for _, instance in pairs(c:instances(leader) or {}) do
            if instance.zone == zone and instance.phase ~= "in-service" then
                return true
            end
        end
    end)
    c:partition(inside, outside)
end)

section("the partitioned zone serves idempotent work and reports the ended lease", function()
    for _, entry in ipairs(inside) do
        local response = wait_until(8000, entry.name .. " reports stale lists", function()
            check_budget()
            local candidate = c:send_request(entry, "caller-secret-quotes", "/pricing/quote", {body = "of " .. entry.name})
            check(candidate.headers["dandelionloom-outcome"] == "done", "%s: %d %s", entry.name, candidate.status, candidate.body)
            return candidate.headers["dandelionloom-lists"] == "stale" and candidate
        end)
        check(response.body:find("of " .. entry.name, 1, true), "response to another request: %s", response.body)
        local served_by = response.body:match("^(pricing%-%d+):")
        check(c:instances(entry)[served_by].zone == zone, "%s was served by %s", entry.name, served_by)
    end
end)

section("the partitioned zone runs no keyed or unkeyed settlement and accepts no change", function()
    for _, entry in ipairs(inside) do
        for _, key in ipairs {"cut-" .. entry.name, false} do
            local response = c:send_request(entry, "caller-secret-quotes", "/pricing/settle",
                {method = "POST", key = key or nil, body = "settle"})
            check(response.headers["dandelionloom-outcome"] == "not-run", "%s: %d %s", entry.name, response.status, response.body)
            check(response.headers["dandelionloom-reason"] == "lists-stale", "%s: %s", entry.name, response.body)
        end
        local change = c:apply_list(entry, "plans", cluster.plans, {expected = 1})
        check(change.status == 503, "%s: %d %s", entry.name, change.status, change.body)
    end
    check(next(c:runs_by_key()) == nil, "a keyed request ran in the partitioned zone")
    check_budget()
end)

section("the wave finishes within the budget after the partition heals", function()
    c:heal()
    wait_until(50000, "wave-1 is finished", function()
        check_budget()
        return c:is_wave_finished(outside[1]) and c:is_wave_finished(inside[1])
    end)
    c:wait_in_service(outside[1], 6)
    check(max_out_of_service == budget, "the maximum number of instances out of service was %d", max_out_of_service)
end)

section("no caller received the response to another request", function()
    load:stop()
    check(load:mismatched_responses() == 0, "%d mismatched responses", load:mismatched_responses())
    check((cluster.count_outcomes(load)["done"] or 0) > 100, "only %d requests were done",
        cluster.count_outcomes(load)["done"] or 0)
end)
