-- Guards against a second run of a settlement: a gateway is killed while its callers' keyed requests
-- run, and all of them resend through another gateway at that moment.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3}
c:start_all()
c:apply_lists(c:wait_leader())
c:add_endpoints("pricing", 3, {run_ms = 150})
c:wait_endpoints(3)

local callers = 12
local dying = c.entries[seed % #c.entries + 1]
local other = c.entries[(seed + 1) % #c.entries + 1]
local allowed = {done = true, ["in-progress"] = true, unknown = true, ["not-run"] = true}

local function keyed_load(entry)
    return c:load("caller-secret-quotes", "POST", "/pricing/settle",
        {callers = callers, key_prefix = "settle-", addresses = {"127.0.0.1:" .. entry.ports.callers}})
end

local first, second
section("the gateway dies with requests in flight and its callers resend", function()
    first = keyed_load(dying)
    wait_until(15000, "the callers have work done", function()
        return (cluster.outcomes(first).done or 0) >= callers * 2
    end)
    dying.process:signal("kill")
    second = keyed_load(other)
    dying.process:wait()
    first:stop()
end)

local sent = {}
section("each key ends as done, in progress, unknown, or not run where nothing ran", function()
    local lost = 0
    for _, request in ipairs(first:requests()) do
        -- Keys that were first sent after the death never reached the gateway.
        sent[request.key] = sent[request.key] or request.outcome
        lost = lost + (request.outcome == "no-answer" and 1 or 0)
    end
    check(lost >= callers, "expected all callers to lose a request, found %d", lost)
    local answered
    wait_until(20000, "every caller has resent what was in flight", function()
        c:check_keys_once()
        answered = {}
        local unknown = 0
        for _, request in ipairs(second:requests()) do
            answered[request.key] = request.outcome
            unknown = unknown + ((request.outcome == "unknown" or request.outcome == "in-progress") and 1 or 0)
        end
        for key, outcome in pairs(sent) do
            if outcome == "done" and not answered[key] then
                return false
            end
        end
        return unknown > 0
    end)
    second:stop()
    local runs = c:key_runs()
    for _, request in ipairs(second:requests()) do
        check(allowed[request.outcome], "%s: outcome %s", request.key, request.outcome)
        check(request.outcome ~= "not-run" or not runs[request.key], "%s: not run, but an endpoint ran it", request.key)
        check(sent[request.key] ~= "done" or request.outcome == "done", "%s: done before, now %s", request.key, request.outcome)
    end
    check(second:foreign_answers() == 0 and first:foreign_answers() == 0, "foreign answers")
    c:check_keys_once()
end)

section("what was in progress becomes unknown and is not run again", function()
    for _, request in ipairs(second:requests()) do
        if request.outcome == "in-progress" then
            local outcome = wait_until(8000, request.key .. " is settled", function()
                local answer = c:call(other, "caller-secret-quotes", "/pricing/settle",
                    {method = "POST", key = request.key, body = "request " .. request.key})
                local now = answer.headers["dandelionloom-outcome"]
                return now ~= "in-progress" and now
            end)
            check(outcome == "unknown", "%s: %s", request.key, outcome)
        end
    end
    c:check_keys_once()
    local outcomes = cluster.outcomes(second)
    print(string.format("  resent: %d done, %d unknown, %d in progress, %d not run", outcomes.done or 0,
        outcomes.unknown or 0, outcomes["in-progress"] or 0, outcomes["not-run"] or 0))
end)
