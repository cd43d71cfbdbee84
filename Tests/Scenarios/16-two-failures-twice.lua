-- Tests the invariants under load with two concurrent faults, injected twice in a row. The seed selects
-- two of: crash, suspended process, zone partition, one-way partition, disk loss, rack loss, and two
-- operators who edit the same revision.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3, relays = true,
                       timing = "proving_ms = 300\nlists_lease_ms = 2000\nendpoint_lease_ms = 3000"}
c:start_all()
c:apply_lists(c:wait_leader())
c:add_endpoints("pricing", 6, {run_ms = 5, per_rack = 1})
c:wait_endpoints(6)
c:wait_in_service(c:wait_leader(), 6)

math.randomseed(seed)

local gets = c:start_load("caller-secret-quotes", "GET", "/pricing/quote", {callers = 4, timeout_ms = 4000})
local posts = c:start_load("caller-secret-quotes", "POST", "/pricing/settle",
    {callers = 4, timeout_ms = 4000, key_prefix = "settle-"})

-- Ids of the accepted changes; the highest revision of the plans that any entry instance has reported.
local accepted, latest_plans_revision, edits = {}, 1, 0
local last_revisions = {}

local function plans_with(deadline)
    return (cluster.plans:gsub("default_deadline_ms = 3000", "default_deadline_ms = " .. deadline))
end

-- Edits the plans at the expected revision; records the change id only if the edit was accepted.
-- Returns the status, or nil if the entry instance is down or suspended.
local function apply_edit(entry, operator, change, expected)
    if not entry.process:running() or entry.suspended then
        return nil
    end
    edits = edits + 1
    local response = c:apply_list(entry, "plans", plans_with(3000 + edits),
        {expected = expected, change = change, operator = operator})
    if response.status == 200 then
        table.insert(accepted, change)
    end
    return response.status
end

-- Checks each entry instance that responds: its revision never decreases, and each instance is in one pool.
local function check_invariants()
    for _, entry in ipairs(c.entries) do
        if entry.process:running() and not entry.suspended then
            local status = c:status(entry)
            if status and status.ready then
                check(status.revision >= (last_revisions[entry] or 0), "%s went from revision %d to %d",
                    entry.name, last_revisions[entry] or 0, status.revision)
                last_revisions[entry] = status.revision
                latest_plans_revision = math.max(latest_plans_revision,
                    tonumber(cluster.json_field(status.text, "plans_revision")))
            end
            c:check_one_pool_per_instance({entry})
        end
    end
end

local function random_entry(first, last)
    return c.entries[math.random(first, last)]
end

local function restart(entry)
    if not entry.process:running() then
        c:start(entry)
    end
end

local races = 0
local last_status
-- Each function injects a fault and returns a function that ends it.
local fault_injectors = {
    crash = function()
        local entry = random_entry(1, 6)
        c:kill {entry}
        return function() restart(entry) end
    end,
    suspend = function()
        local entry = random_entry(1, 6)
        entry.process:signal("stop")
        entry.suspended = true
        return function()
            entry.process:signal("cont")
            entry.suspended = false
        end
    end,
    ["zone partition"] = function()
        local inside, outside = c:split_zone("zone-" .. math.random(1, 3))
        c:partition(inside, outside)
        return function() c:heal() end
    end,
    ["one-way partition"] = function()
        local inside, outside = c:split_zone("zone-" .. math.random(1, 3))
        c:partition(inside, outside, math.random(1, 2) == 1 and "to" or "from")
        return function() c:heal() end
    end,
    ["disk loss"] = function()
        local entry = random_entry(1, 3)
        c:kill {entry}
        remove_folder(entry.folder .. "/data")
        return function() restart(entry) end
    end,
    ["rack loss"] = function()
        local rack, lost = c.endpoints[math.random(1, 6)].rack, {}
        for _, endpoint in ipairs(c.endpoints) do
            if endpoint.rack == rack then
                table.insert(lost, endpoint)
            end
        end
        c:kill(lost)
        return function() c:restart_endpoints(lost) end
    end,
    ["racing operators"] = function()
        races = races + 1
        check_invariants()
        local expected = latest_plans_revision
        local first = apply_edit(random_entry(1, 6), 1, "race-" .. races .. "-a", expected)
        local second = apply_edit(random_entry(1, 6), 2, "race-" .. races .. "-b", expected)
        check(not (first == 200 and second == 200), "two edits of revision %d were accepted", expected)
        return function() end
    end,
}

local names = {"crash", "suspend", "zone partition", "one-way partition", "disk loss", "rack loss", "racing operators"}
local first = math.random(1, #names)
local second = (first - 1 + math.random(1, #names - 1)) % #names + 1
local chosen = {names[first], names[second]}
print("  selected faults: " .. chosen[1] .. " and " .. chosen[2])

local function wait_requests(count)
    local before = #gets:requests()
    wait_until(15000, "callers have completed " .. count .. " further requests", function()
        check_invariants()
        return #gets:requests() >= before + count
    end)
end

local function wait_recovered()
    for _, entry in ipairs(c.entries) do
        c:wait_ready(entry, 20000)
    end
    c:wait_endpoints(6, 20000)
    check_invariants()
end

for round = 1, 2 do
    section("round " .. round .. " of " .. chosen[1] .. " and " .. chosen[2], function()
        local recoveries = {fault_injectors[chosen[1]](), fault_injectors[chosen[2]]()}
        wait_requests(40)
        apply_edit(c.entries[math.random(1, 6)], 1, "during-" .. round, latest_plans_revision)
        wait_requests(40)
        for _, recover in ipairs(recoveries) do
            recover()
        end
        wait_recovered()
        wait_until(20000, "a change is accepted after round " .. round, function()
            check_invariants()
            -- Each attempt needs a new change id: the same id with other content is refused.
            last_status = apply_edit(c:wait_leader(), 1, "after-" .. round .. "-" .. edits, latest_plans_revision)
            return last_status == 200
        end)
    end)
end

section("after a restart of all entry instances, every accepted change is in force everywhere", function()
    gets:stop()
    posts:stop()
    c:kill(c.entries)
    for _, entry in ipairs(c.entries) do
        c:start(entry)
    end
    wait_recovered()
    local revision = 0
    for _, entry in ipairs(c.entries) do
        revision = math.max(revision, last_revisions[entry] or 0)
    end
    c:wait_revision(revision)
    for _, entry in ipairs(c.entries) do
        local history = c:operator_request(entry, "GET", "/v1/plans/history").body
        for _, change in ipairs(accepted) do
            check(history:find('"' .. change .. '"', 1, true), "%s lost the accepted change %s", entry.name, change)
        end
        check(c:status(entry).revision == revision, "%s does not have the latest revision", entry.name)
    end
    check_invariants()
end)

section("no mismatched response and at most one run per key, also after a resend", function()
    check(gets:mismatched_responses() + posts:mismatched_responses() == 0, "mismatched responses")
    local runs = c:runs_by_key()
    local resent = 0
    local function resend(request)
        resent = resent + 1
        local response = c:send_request(c.entries[resent % 6 + 1], "caller-secret-quotes", "/pricing/settle",
            {method = "POST", key = request.key, body = "request " .. request.key})
        local outcome = response.headers["dandelionloom-outcome"]
        check(outcome == "done" or outcome == "unknown", "%s: outcome %s of the resend: %s", request.key,
            tostring(outcome), response.body)
    end
    -- All requests that may have run are resent, and first: only they could run a second time.
    local maybe_run, not_run = {}, {}
    for _, request in ipairs(posts:requests()) do
        local key = request.key
        check(request.outcome ~= "done" or runs[key] == 1, "%s: done, but %d runs", key, runs[key] or 0)
        check(request.outcome ~= "not-run" or not runs[key], "%s: not run, but an endpoint ran it", key)
        if request.outcome == "not-run" then
            table.insert(not_run, request)
        elseif request.outcome ~= "done" then
            table.insert(maybe_run, request)
        end
    end
    for _, request in ipairs(maybe_run) do
        resend(request)
    end
    for position = 1, math.min(60, #not_run) do
        resend(not_run[position])
    end
    c:check_one_run_per_key()
    local outcomes = cluster.count_outcomes(posts)
    print(string.format("  keyed: %d done, %d unknown, %d not run, %d without a response; %d changes accepted, %d resent",
        outcomes.done or 0, outcomes.unknown or 0, outcomes["not-run"] or 0, outcomes["no-answer"] or 0, #accepted, resent))
end)
