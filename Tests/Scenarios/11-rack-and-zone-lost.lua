-- Guards the budget ledger against a wave that spends what failures have spent already: endpoints of a
-- rack and then of an availability zone are killed during a wave, repaired, and one is lost again.

local cluster = require "cluster"
local budget = 2
local c = cluster.new {zones = 3, entries = 6, voters = 3, platform = true, reboot_ms = 200,
                       timing = "proving_ms = 600\nendpoint_lease_ms = 1500"}
c:start_all()
local leader = c:wait_leader()
c:apply_lists(leader, (cluster.plans:gsub("max_unavailable_instances = 1", "max_unavailable_instances = " .. budget)))
c:add_endpoints("pricing", 9, {run_ms = 5, per_rack = 2})
c:start_platform()
c:wait_endpoints(9)
c:wait_in_service(leader, 9)

local busy = {draining = true, drained = true, rebooting = true}
local before = {}

-- Between two looks, no drain may start while the failures alone have spent the budget in both.
local function look()
    local instances = c:instances(leader)
    if not instances then
        return {}
    end
    local failed = math.min(cluster.count_phases(before, {failed = true}), cluster.count_phases(instances, {failed = true}))
    for id, instance in pairs(instances) do
        local started = busy[instance.phase] and before[id] and before[id].phase == "in-service"
        check(not (started and failed >= budget), "%s is drained while %d instances have failed", id, failed)
    end
    local drains = cluster.count_phases(instances, busy)
    check(drains <= budget, "%d instances are under maintenance at once, the budget is %d", drains, budget)
    c:check_one_pool({leader})
    before = instances
    return instances
end

local function endpoints_where(field, value)
    local list = {}
    for _, endpoint in ipairs(c.endpoints) do
        if endpoint[field] == value then
            table.insert(list, endpoint)
        end
    end
    return list
end

local function wait_failed(count)
    wait_until(20000, count .. " instances are seen as failed or under maintenance", function()
        local instances = look()
        return cluster.out_of_service(instances) >= count
            and cluster.count_phases(instances, {failed = true}) >= math.min(count, budget)
    end)
end

local rack = endpoints_where("rack", c.endpoints[seed % 3 + 1].rack)
local zone = endpoints_where("zone", c.endpoints[(seed + 1) % 3 + 1].zone)

section("a rack is lost while the wave drains", function()
    c:start_wave(leader, "wave-1", "pricing")
    wait_until(20000, "a drain has started", function()
        return cluster.count_phases(look(), busy) > 0
    end)
    c:kill(rack)
    wait_failed(1)
end)

section("a zone is lost too: the wave takes no further drain", function()
    c:kill(zone)
    wait_failed(#zone)
    -- The work in flight ends; then only failures are left and nothing may start.
    wait_until(20000, "no maintenance is in flight on running instances", function()
        local instances, running = look(), 0
        for _, endpoint in ipairs(c.endpoints) do
            local instance = instances[endpoint.instance]
            if instance and endpoint.process:running() and instance.phase ~= "in-service" then
                running = running + 1
            end
        end
        return next(instances) and running == 0
    end)
    local answer = c:operator_call(leader, "GET", "/v1/waves")
    check(answer.body:find("budget", 1, true), "the wave does not say what it waits for: %s", answer.body)
end)

section("repaired, and one lost again right after", function()
    c:repair(rack)
    c:repair(zone)
    local again = zone[1]
    wait_until(20000, again.instance .. " is back and proves itself", function()
        local instance = look()[again.instance]
        return instance and instance.phase ~= "failed"
    end)
    c:kill {again}
    c:repair {again}
end)

section("the wave ends after the repair", function()
    wait_until(50000, "wave-1 is finished", function()
        look()
        return c:wave_finished(leader)
    end)
    c:wait_in_service(leader, 9)
end)
