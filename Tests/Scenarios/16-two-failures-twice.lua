-- Guards the invariants against two failures at once, each twice in a row: the seed draws two of a crash,
-- a freeze, a cut zone, a cut in one direction, a lost disk, a lost rack and racing operators, under load.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3, relays = true,
                       timing = "proving_ms = 300\nlists_lease_ms = 2000\nendpoint_lease_ms = 3000"}
c:start_all()
c:apply_lists(c:wait_leader())
c:add_endpoints("pricing", 6, {run_ms = 5, per_rack = 1})
c:wait_endpoints(6)
c:wait_in_service(c:wait_leader(), 6)

math.randomseed(seed)

local gets = c:load("caller-secret-quotes", "GET", "/pricing/quote", {callers = 4, timeout_ms = 4000})
local posts = c:load("caller-secret-quotes", "POST", "/pricing/settle",
    {callers = 4, timeout_ms = 4000, key_prefix = "settle-"})

-- Ids of the accepted changes; the highest revision of the plans that any entry instance has shown.
local accepted, latest, edits = {}, 1, 0
local shown = {}

local function plans_with(deadline)
    return (cluster.plans:gsub("default_deadline_ms = 3000", "default_deadline_ms = " .. deadline))
end

-- Edits the revision that was accepted last. A refused or unanswered edit changes nothing here.
local function edit(entry, operator, change, expected)
    if not entry.process:running() or entry.frozen then
        return nil
    end
    edits = edits + 1
    local answer = c:apply(entry, "plans", plans_with(3000 + edits), {expected = expected, change = change, operator = operator})
    if answer.status == 200 then
        table.insert(accepted, change)
    end
    return answer.status
end

-- One look at each entry instance that answers: no revision goes down, each instance is in one pool.
local function look()
    for _, entry in ipairs(c.entries) do
        if entry.process:running() and not entry.frozen then
            local status = c:status(entry)
            if status and status.ready then
                check(status.revision >= (shown[entry] or 0), "%s went from revision %d to %d", entry.name, shown[entry] or 0, status.revision)
                shown[entry] = status.revision
                latest = math.max(latest, tonumber(cluster.json_field(status.text, "plans_revision")))
            end
            c:check_one_pool({entry})
        end
    end
end

local function victim(first, last)
    return c.entries[math.random(first, last)]
end

local function restart(entry)
    if not entry.process:running() then
        c:start(entry)
    end
end

local races = 0
local last_status
-- Each failure begins with `start`, which gives a function that ends it.
local failures = {
    crash = function()
        local entry = victim(1, 6)
        c:kill {entry}
        return function() restart(entry) end
    end,
    freeze = function()
        local entry = victim(1, 6)
        entry.process:signal("stop")
        entry.frozen = true
        return function()
            entry.process:signal("cont")
            entry.frozen = false
        end
    end,
    ["zone cut"] = function()
        local inside, outside = c:split_zone("zone-" .. math.random(1, 3))
        c:cut(inside, outside)
        return function() c:heal() end
    end,
    ["one-way cut"] = function()
        local inside, outside = c:split_zone("zone-" .. math.random(1, 3))
        c:cut(inside, outside, math.random(1, 2) == 1 and "to" or "from")
        return function() c:heal() end
    end,
    ["disk loss"] = function()
        local entry = victim(1, 3)
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
        return function() c:repair(lost) end
    end,
    ["racing operators"] = function()
        races = races + 1
        look()
        local expected = latest
        local first = edit(victim(1, 6), 1, "race-" .. races .. "-a", expected)
        local second = edit(victim(1, 6), 2, "race-" .. races .. "-b", expected)
        check(not (first == 200 and second == 200), "two edits of revision %d were accepted", expected)
        return function() end
    end,
}

local names = {"crash", "freeze", "zone cut", "one-way cut", "disk loss", "rack loss", "racing operators"}
local first = math.random(1, #names)
local second = (first - 1 + math.random(1, #names - 1)) % #names + 1
local drawn = {names[first], names[second]}
print("  drawn: " .. drawn[1] .. " and " .. drawn[2])

local function wait_progress(count)
    local before = #gets:requests()
    wait_until(15000, "callers have had " .. count .. " further answers", function()
        look()
        return #gets:requests() >= before + count
    end)
end

local function wait_healed()
    for _, entry in ipairs(c.entries) do
        c:wait_ready(entry, 20000)
    end
    c:wait_endpoints(6, 20000)
    look()
end

for round = 1, 2 do
    section("round " .. round .. " of " .. drawn[1] .. " and " .. drawn[2], function()
        local ends = {failures[drawn[1]](), failures[drawn[2]]()}
        wait_progress(40)
        edit(c.entries[math.random(1, 6)], 1, "during-" .. round, latest)
        wait_progress(40)
        for _, finish in ipairs(ends) do
            finish()
        end
        wait_healed()
        wait_until(20000, "a change is accepted after round " .. round, function()
            look()
            -- A new id each time: the same id with other content would be refused.
            last_status = edit(c:wait_leader(), 1, "after-" .. round .. "-" .. edits, latest)
            return last_status == 200
        end)
    end)
end

section("after a restart of everything, every accepted change is in force everywhere", function()
    gets:stop()
    posts:stop()
    c:kill(c.entries)
    for _, entry in ipairs(c.entries) do
        c:start(entry)
    end
    wait_healed()
    local revision = 0
    for _, entry in ipairs(c.entries) do
        revision = math.max(revision, shown[entry] or 0)
    end
    c:wait_revision(revision)
    for _, entry in ipairs(c.entries) do
        local history = c:operator_call(entry, "GET", "/v1/plans/history").body
        for _, change in ipairs(accepted) do
            check(history:find('"' .. change .. '"', 1, true), "%s lost the accepted change %s", entry.name, change)
        end
        check(c:status(entry).revision == revision, "%s has another revision", entry.name)
    end
    look()
end)

section("no foreign answer and one run per key, also after a resend", function()
    check(gets:foreign_answers() + posts:foreign_answers() == 0, "foreign answers")
    local runs = c:key_runs()
    local resent = 0
    local function resend(request)
        resent = resent + 1
        local answer = c:call(c.entries[resent % 6 + 1], "caller-secret-quotes", "/pricing/settle",
            {method = "POST", key = request.key, body = "request " .. request.key})
        local outcome = answer.headers["dandelionloom-outcome"]
        check(outcome == "done" or outcome == "unknown", "%s: outcome %s of the resend: %s", request.key,
            tostring(outcome), answer.body)
    end
    -- Requests that may have run come first: only their resend could run a second time.
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
    c:check_keys_once()
    local outcomes = cluster.outcomes(posts)
    print(string.format("  keyed: %d done, %d unknown, %d not run, %d no answer; %d changes accepted, %d resent", outcomes.done or 0,
        outcomes.unknown or 0, outcomes["not-run"] or 0, outcomes["no-answer"] or 0, #accepted, resent))
end)
