-- Guards the whole path: two lists become durable, endpoints announce themselves, and a caller is
-- answered through every entry process, keyed work exactly once.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3}
c:start_all()
local leader = c:wait_leader()

section("the lists are accepted and in force at every entry instance", function()
    local plans = c:apply(leader, "plans", cluster.plans)
    check(plans.status == 200, "plans: %d %s", plans.status, plans.body)
    local allowances = c:apply(c.entries[6], "allowances", cluster.allowances)
    check(allowances.status == 200, "allowances through a follower: %d %s", allowances.status, allowances.body)
    c:wait_revision(2)
end)

section("endpoints of every zone are known everywhere", function()
    c:add_endpoints("pricing", 3)
    c:add_endpoints("dues", 3)
    c:wait_endpoints(6)
end)

section("a caller is answered through each entry instance", function()
    for _, entry in ipairs(c.entries) do
        local answer = c:call(entry, "caller-secret-quotes", "/pricing/bundle", {body = "hello " .. entry.name})
        check(answer.status == 200, "%s: %d %s %s", entry.name, answer.status, answer.body, answer.error)
        check(answer.headers["dandelionloom-outcome"] == "done", "outcome %s", answer.headers["dandelionloom-outcome"])
        check(answer.body:find("hello " .. entry.name, 1, true), "foreign answer: %s", answer.body)
    end
end)

section("a keyed settlement runs once, however often and wherever it is sent", function()
    for _, entry in ipairs(c.entries) do
        local answer = c:call(entry, "caller-secret-dues", "/dues/settle",
            {method = "POST", key = "settle-1", body = "settle 100"})
        check(answer.status == 200, "%s: %d %s", entry.name, answer.status, answer.body)
        check(answer.headers["dandelionloom-outcome"] == "done", "outcome %s", answer.headers["dandelionloom-outcome"])
    end
    local total = 0
    for _, runs in pairs(c:runs()) do
        total = total + runs
    end
    check(total == 7, "expected 6 quotes and 1 settlement at the endpoints, found %d", total)
end)
