-- Guards against a maintenance wave that uses the availability budget which failed instances already
-- take up: the endpoints of a rack and then of an availability zone are killed during a wave and
-- restarted, and one of them is killed again.

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

local maintenance_phases = {draining = true, drained = true, rebooting = true}
local previous = {}

-- Compares two consecutive listings: no drain may start between them if the failed instances alone
-- take up the budget in both.
local function check_budget()
    local instances = c:instances(leader)
    if not instances then
        return {}
    end
    local failed = math.min(cluster.count_phases(previous, {failed = true}), cluster.count_phases(instances, {failed = true}))
    for id, instance in pairs(instances) do
        local started = maintenance_phases[instance.phase] and previous[id] and previous[id].phase == "in-service"
        check(not (started and failed >= budget), "%s is drained while %d instances have failed", id, failed)
    end
    local drains = cluster.count_phases(instances, maintenance_phases)
    check(drains <= budget, "%d instances are under maintenance at once, the budget is %d", drains, budget)
    c:check_one_pool_per_instance({leader})
    previous = instances
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
        local instances = check_budget()
        return cluster.count_out_of_service(instances) >= count
            and cluster.count_phases(instances, {failed = true}) >= math.min(count, budget)
    end)
end

local rack = endpoints_where("rack", c.endpoints[seed % 3 + 1].rack)
local zone = endpoints_where("zone", c.endpoints[(seed + 1) % 3 + 1].zone)

section("a rack fails while the wave drains", function()
    c:start_wave(leader, "wave-1", "pricing")
    wait_until(20000, "a drain has started", function()
        return cluster.count_phases(check_budget(), maintenance_phases) > 0
    end)
    c:kill(rack)
    wait_failed(1)
end)

section("a zone fails too: the wave starts no further drain", function()
    c:kill(zone)
    wait_failed(#zone)
    -- Maintenance in flight completes; after that only failed instances are out of service and no drain may start.
    wait_until(20000, "no maintenance is in flight on running instances", function()
        local instances, running = check_budget(), 0
        for _, endpoint in ipairs(c.endpoints) do
            local instance = instances[endpoint.instance]
            if instance and endpoint.process:running() and instance.phase ~= "in-service" then
                running = running + 1
            end
        end
        return next(instances) and running == 0
    end)
    local response = c:operator_request(leader, "GET", "/v1/waves")
    check(response.body:find("budget", 1, true), "the wave does not report what it waits for: %s", response.body)
end)

section("the endpoints restart and one of them fails again at once", function()
    c:restart_endpoints(rack)
    c:restart_endpoints(zone)
    local endpoint = zone[1]
    wait_until(20000, endpoint.instance .. " has restarted and is not listed as failed", function()
        local instance = check_budget()[endpoint.instance]
        return instance and instance.phase ~= "failed"
    end)
    c:kill {endpoint}
    c:restart_endpoints {endpoint}
end)

section("the wave finishes after the restart", function()
    wait_until(50000, "wave-1 is finished", function()
        check_budget()
        return c:is_wave_finished(leader)
    end)
    c:wait_in_service(leader, 9)
end)
