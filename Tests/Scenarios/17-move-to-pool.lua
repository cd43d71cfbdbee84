-- Tests a move between pools: a pool below the minimum of its plan gets a spare instance, which then
-- serves callers of the new pool. Every listing shows each instance in exactly one pool.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3, platform = true, reboot_ms = 300,
                       timing = "proving_ms = 1000\nendpoint_lease_ms = 5000"}
c:start_all()
local leader = c:wait_leader()
check(c:apply_list(leader, "plans", cluster.plans).status == 200, "plans")
check(c:apply_list(leader, "allowances", cluster.allowances).status == 200, "allowances")
c:add_endpoints("pricing", 2)
c:add_endpoints("spare", 3)
c:start_platform()
c:wait_endpoints(5)

local function pool_by_instance()
    local members = {}
    local body = c:operator_request(leader, "GET", "/v1/instances").body
    for id, pool in body:gmatch('"id"%s*:%s*"([^"]+)"%s*,%s*"pool"%s*:%s*"([^"]+)"') do
        check(not members[id], "%s is listed twice", id)
        members[id] = pool
    end
    return members
end

wait_until(15000, "all instances are registered", function()
    local members = pool_by_instance()
    local count = 0
    for _ in pairs(members) do
        count = count + 1
    end
    return count == 5
end)

section("a pool below its minimum gets instances of the spare pool", function()
    c.endpoints[1].process:signal("kill")
    c.endpoints[1].process:wait()
    wait_until(50000, "a spare instance is in pool pricing", function()
        local members = pool_by_instance()
        for number = 1, 3 do
            if members["spare-" .. number] == "pricing" then
                return true
            end
        end
    end)
end)

section("the moved instance serves callers of its new pool", function()
    wait_until(20000, "a request runs at a moved instance", function()
        c:send_request(c.entries[1], "caller-secret-quotes", "/pricing/quote")
        for number = 3, 5 do
            local response = http {address = c.endpoints[number].address, path = "/runs"}
            if response.body:match('"total"%s*:%s*([1-9]%d*)') then
                return true
            end
        end
    end)
end)
