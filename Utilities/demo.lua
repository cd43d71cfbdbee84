-- Demonstrates the system in two minutes: lists, endpoints, requests, a maintenance wave over one rack
-- under load while the leader is killed, and a summary.

package.path = "Tests/Scenarios/Support/?.lua;" .. package.path
local cluster = require "cluster"

local function print_step(format, ...)
    print(string.format("  " .. format, ...))
end

local c = cluster.new {zones = 3, entries = 6, voters = 3, platform = true, reboot_ms = 500,
                       timing = "proving_ms = 1000"}
c:start_all()
local leader = c:wait_leader()
print_step("six entry instances run in three availability zones; %s leads", leader.name)

check(c:apply_list(leader, "plans", cluster.plans).status == 200, "plans")
check(c:apply_list(c.entries[6], "allowances", cluster.allowances).status == 200, "allowances")
c:wait_revision(2)
print_step("both lists are accepted and in force at all six, revision 2")

c:add_endpoints("pricing", 6, {run_ms = 10})
c:add_endpoints("dues", 6, {run_ms = 10})
c:start_platform()
c:wait_endpoints(12)
print_step("12 endpoints in three availability zones are known to all six")
wait_until(15000, "all instances are registered", function()
    local _, count = c:operator_request(leader, "GET", "/v1/instances").body:gsub('"in%-service"', "")
    return count == 12
end)

local function start_callers(path, secret, method, prefix)
    return start_load {addresses = c:caller_addresses(), callers = 3, pause_ms = 10, seed = seed,
        key_prefix = prefix, request = {method = method, path = path,
        headers = {["Authorization"] = "Bearer " .. secret}}}
end
local quotes = start_callers("/pricing/quote", "caller-secret-quotes", "GET", "")
local settlements = start_callers("/dues/settle", "caller-secret-dues", "POST", "demo-")
print_step("callers ask for quotes and send settlements through all six")

local rack = c.endpoints[1].rack
local started = c:operator_request(c.entries[5], "POST", "/v1/waves",
    '{"id": "demo-wave", "rack": "' .. rack .. '", "drain_limit_ms": 5000}',
    {["Content-Type"] = "application/json", ["Dandelionloom-Change-Id"] = "demo-wave-" .. seed})
check(started.status < 300, "wave: %d %s", started.status, started.body)
print_step("a maintenance wave for %s is accepted", rack)

-- DEMO_KILL=N kills entry instance N in place of the leader.
local killed = c.entries[tonumber(os.getenv("DEMO_KILL") or "")] or leader
killed.process:signal("kill")
killed.process:wait()
print_step("%s%s is killed with SIGKILL", killed.name, killed == leader and ", the leader," or "")
leader = c:wait_leader(15000, c:entries_except(killed))
print_step("%s leads now", leader.name)
c:start(killed)
c:wait_ready(killed)
c:wait_revision(2, 11000, {killed})
print_step("%s is back and has revision 2 in force", killed.name)

local max_unavailable = 0
wait_until(90000, "the wave is finished", function()
    local body = c:operator_request(leader, "GET", "/v1/instances").body
    local _, all = body:gsub('"phase"', "")
    local _, serving = body:gsub('"in%-service"', "")
    max_unavailable = math.max(max_unavailable, all - serving)
    return c:operator_request(leader, "GET", "/v1/waves").body:find('"state"%s*:%s*"finished"')
end)
print_step("the wave is finished; most instances out of service at once: %d, allowed 1 a pool", max_unavailable)

quotes:stop()
settlements:stop()
local function summary(name, load)
    local counts = {}
    for _, request in ipairs(load:requests()) do
        counts[request.outcome] = (counts[request.outcome] or 0) + 1
    end
    local parts = {}
    for outcome, count in pairs(counts) do
        table.insert(parts, outcome .. " " .. count)
    end
    table.sort(parts)
    print_step("%s: %s; mismatched responses: %d", name, table.concat(parts, ", "), load:mismatched_responses())
    check(load:mismatched_responses() == 0, "mismatched responses")
    check(not counts["missing"], "responses without an outcome")
end
summary("quotes", quotes)
summary("settlements", settlements)
c:wait_revision(2)

local repeated_keys, run_keys = 0, 0
for _, runs in pairs(c:runs_by_key()) do
    run_keys = run_keys + 1
    repeated_keys = repeated_keys + (runs > 1 and 1 or 0)
end
print_step("settlements that ran at an endpoint: %d; more than once: %d", run_keys, repeated_keys)
check(repeated_keys == 0, "a settlement ran twice")
