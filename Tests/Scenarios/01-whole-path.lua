-- Tests the request path end to end: two lists become durable, endpoints announce themselves, and
-- every entry instance answers requests; a keyed request runs exactly once.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3}
c:start_all()
local leader = c:wait_leader()

section("the lists are accepted and in force at every entry instance", function()
    local plans = c:apply_list(leader, "plans", cluster.plans)
    check(plans.status == 200, "plans: %d %s", plans.status, plans.body)
    local allowances = c:apply_list(c.entries[6], "allowances", cluster.allowances)
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
        local response = c:send_request(entry, "caller-secret-quotes", "/pricing/bundle", {body = "hello " .. entry.name})
        check(response.status == 200, "%s: %d %s %s", entry.name, response.status, response.body, response.error)
        check(response.headers["dandelionloom-outcome"] == "done", "outcome %s", response.headers["dandelionloom-outcome"])
        check(response.body:find("hello " .. entry.name, 1, true), "response to another request: %s", response.body)
    end
end)

section("a keyed settlement that is resent through every entry instance runs once", function()
    for _, entry in ipairs(c.entries) do
        local response = c:send_request(entry, "caller-secret-dues", "/dues/settle",
            {method = "POST", key = "settle-1", body = "settle 100"})
        check(response.status == 200, "%s: %d %s", entry.name, response.status, response.body)
        check(response.headers["dandelionloom-outcome"] == "done", "outcome %s", response.headers["dandelionloom-outcome"])
    end
    local total = 0
    for _, runs in pairs(c:runs_by_request()) do
        total = total + runs
    end
    check(total == 7, "expected 6 quotes and 1 settlement at the endpoints, found %d", total)
end)
