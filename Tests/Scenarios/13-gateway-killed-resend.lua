-- Guards against a second run of a settlement: a gateway is killed while keyed requests of its callers
-- run, and all callers resend through another gateway at the same moment.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3}
c:start_all()
c:apply_lists(c:wait_leader())
local run_ms = 150
c:add_endpoints("pricing", 3, {run_ms = run_ms})
c:wait_endpoints(3)

local callers = 12
local victim = c.entries[seed % #c.entries + 1]
local survivor = c.entries[(seed + 1) % #c.entries + 1]
local allowed = {done = true, ["in-progress"] = true, unknown = true, ["not-run"] = true}

local function keyed_load(entry)
    return c:start_load("caller-secret-quotes", "POST", "/pricing/settle",
        {callers = callers, key_prefix = "settle-", addresses = {"127.0.0.1:" .. entry.ports.callers}})
end

--- Freezes the gateway at a moment at which endpoints run requests of its callers. A run that began
--- less than run_ms before has not ended, so its key is claimed and has no outcome.
local function freeze_during_runs(entry)
    local known_at, known = now_ms(), c:runs_by_key()
    wait_until(15000, "runs have begun just before the gateway is frozen", function()
        entry.process:signal("stop")
        local frozen_at, runs = now_ms(), c:runs_by_key()
        local begun = 0
        for key in pairs(runs) do
            begun = begun + (known[key] and 0 or 1)
        end
        if begun > 0 and frozen_at - known_at < run_ms then
            return true
        end
        known_at, known = frozen_at, runs
        entry.process:signal("cont")
        return false
    end)
end

local first, second
section("the gateway is killed with requests in flight and its callers resend", function()
    first = keyed_load(victim)
    wait_until(15000, "the callers have completed requests", function()
        return (cluster.count_outcomes(first).done or 0) >= callers * 2
    end)
    -- The callers run in step, so a kill between two of their requests would leave no claim without an
    -- outcome.
    freeze_during_runs(victim)
    victim.process:signal("kill")
    second = keyed_load(survivor)
    victim.process:wait()
    -- A caller between two requests at the kill loses its next one.
    wait_until(5000, "every caller has lost a request", function()
        return (cluster.count_outcomes(first)["no-answer"] or 0) >= callers
    end)
    first:stop()
end)

local first_outcomes = {}
section("each key ends as done, in progress, unknown, or not run where nothing ran", function()
    local lost = 0
    for _, request in ipairs(first:requests()) do
        -- A key that was sent only after the kill has never reached the gateway.
        first_outcomes[request.key] = first_outcomes[request.key] or request.outcome
        lost = lost + (request.outcome == "no-answer" and 1 or 0)
    end
    check(lost >= callers, "expected all callers to lose a request, found %d", lost)
    local resend_outcomes
    wait_until(20000, "every caller has resent what was in flight", function()
        c:check_one_run_per_key()
        resend_outcomes = {}
        local unknown = 0
        for _, request in ipairs(second:requests()) do
            resend_outcomes[request.key] = request.outcome
            unknown = unknown + ((request.outcome == "unknown" or request.outcome == "in-progress") and 1 or 0)
        end
        for key, outcome in pairs(first_outcomes) do
            if outcome == "done" and not resend_outcomes[key] then
                return false
            end
        end
        return unknown > 0
    end)
    second:stop()
    local runs = c:runs_by_key()
    for _, request in ipairs(second:requests()) do
        check(allowed[request.outcome], "%s: outcome %s", request.key, request.outcome)
        check(request.outcome ~= "not-run" or not runs[request.key], "%s: not run, but an endpoint ran it", request.key)
        check(first_outcomes[request.key] ~= "done" or request.outcome == "done", "%s: done before the resend, now %s", request.key, request.outcome)
    end
    check(second:mismatched_responses() == 0 and first:mismatched_responses() == 0, "mismatched responses")
    c:check_one_run_per_key()
end)

section("what was in progress becomes unknown and is not run again", function()
    for _, request in ipairs(second:requests()) do
        if request.outcome == "in-progress" then
            local outcome = wait_until(8000, request.key .. " is no longer in progress", function()
                local response = c:send_request(survivor, "caller-secret-quotes", "/pricing/settle",
                    {method = "POST", key = request.key, body = "request " .. request.key})
                local current = response.headers["dandelionloom-outcome"]
                return current ~= "in-progress" and current
            end)
            check(outcome == "unknown", "%s: %s", request.key, outcome)
        end
    end
    c:check_one_run_per_key()
    local outcomes = cluster.count_outcomes(second)
    print(string.format("  resent: %d done, %d unknown, %d in progress, %d not run", outcomes.done or 0,
        outcomes.unknown or 0, outcomes["in-progress"] or 0, outcomes["not-run"] or 0))
end)
