-- Guards the availability budget and the rules of a cut-off availability zone: the zone is cut off
-- during a maintenance wave while a drain is in flight there. Neither side may take more instances out
-- of service than the budget, and the cut-off zone must not run work that another gateway may run too.

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
local most = 0

-- One look at both sides. A pool may not exceed its budget in any of them.
local function look()
    for _, entry in ipairs {inside[1], outside[1]} do
        local instances = c:instances(entry)
        if instances then
            local out = cluster.out_of_service(instances)
            most = math.max(most, out)
            check(out <= budget, "%s sees %d instances out of service, the budget is %d", entry.name, out, budget)
        end
    end
    c:check_one_pool()
end

local load = c:load("caller-secret-quotes", "GET", "/pricing/quote", {callers = 2})

section("the zone is cut off with a drain in flight in it", function()
    c:start_wave(leader, "wave-1", "pricing")
    wait_until(40000, "an instance of " .. zone .. " is being drained", function()
        look()
        for _, instance in pairs(c:instances(leader) or {}) do
            if instance.zone == zone and instance.phase ~= "in-service" then
                return true
            end
        end
    end)
    c:cut(inside, outside)
end)

section("the cut-off zone serves idempotent work and reports the ended lease", function()
    for _, entry in ipairs(inside) do
        local answer = wait_until(8000, entry.name .. " reports stale lists", function()
            look()
            local got = c:call(entry, "caller-secret-quotes", "/pricing/quote", {body = "of " .. entry.name})
            check(got.headers["dandelionloom-outcome"] == "done", "%s: %d %s", entry.name, got.status, got.body)
            return got.headers["dandelionloom-lists"] == "stale" and got
        end)
        check(answer.body:find("of " .. entry.name, 1, true), "foreign answer: %s", answer.body)
        local served_by = answer.body:match("^(pricing%-%d+):")
        check(c:instances(entry)[served_by].zone == zone, "%s was served by %s", entry.name, served_by)
    end
end)

section("the cut-off zone runs no keyed or unkeyed settlement and accepts no change", function()
    for _, entry in ipairs(inside) do
        for _, key in ipairs {"cut-" .. entry.name, false} do
            local answer = c:call(entry, "caller-secret-quotes", "/pricing/settle",
                {method = "POST", key = key or nil, body = "settle"})
            check(answer.headers["dandelionloom-outcome"] == "not-run", "%s: %d %s", entry.name, answer.status, answer.body)
            check(answer.headers["dandelionloom-reason"] == "lists-stale", "%s: %s", entry.name, answer.body)
        end
        local change = c:apply(entry, "plans", cluster.plans, {expected = 1})
        check(change.status == 503, "%s: %d %s", entry.name, change.status, change.body)
    end
    check(next(c:key_runs()) == nil, "a keyed request ran in the cut-off zone")
    look()
end)

section("the wave ends after healing, within the budget", function()
    c:heal()
    wait_until(50000, "wave-1 is finished", function()
        look()
        return c:wave_finished(outside[1]) and c:wave_finished(inside[1])
    end)
    c:wait_in_service(outside[1], 6)
    check(most == budget, "most instances out of service was %d", most)
end)

section("callers got their own answers throughout", function()
    load:stop()
    check(load:foreign_answers() == 0, "%d foreign answers", load:foreign_answers())
    check((cluster.outcomes(load)["done"] or 0) > 100, "only %d requests were done", cluster.outcomes(load)["done"] or 0)
end)
