-- Guards the bound of 5 s after which a leaving endpoint gets no new work at any gateway: it announces
-- that it leaves to one entry instance only, under full load through all six.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3}
local bound_ms = 5000
c:start_all()
c:apply_lists(c:wait_leader())
-- Fewer slots than callers of a gateway, so that every gateway also uses endpoints of other zones.
c:add_endpoints("pricing", 3, {run_ms = 10, slots = 4})
c:wait_endpoints(3)

local loads = {}
for _, entry in ipairs(c.entries) do
    table.insert(loads, c:load("caller-secret-quotes", "GET", "/pricing/quote",
        {callers = 6, pause_ms = 1, addresses = {"127.0.0.1:" .. entry.ports.callers}}))
end

local function done_by_gateway()
    local counts = {}
    for index, load in ipairs(loads) do
        counts[index] = cluster.outcomes(load).done or 0
    end
    return counts
end

local leaving = c.endpoints[seed % 3 + 1]
local function runs()
    return http {address = leaving.address, path = "/runs"}.body
end

section("every gateway has work at the endpoint", function()
    wait_until(15000, "requests of all six gateways have run at the endpoint", function()
        local body, seen = runs(), 0
        for _, entry in ipairs(c.entries) do
            seen = seen + (body:find('"' .. entry.name .. '-', 1, true) and 1 or 0)
        end
        return seen == #c.entries
    end)
end)

section("no gateway sends new work later than the bound", function()
    local before = done_by_gateway()
    http {address = leaving.address, path = "/admin/leave", method = "POST"}
    -- Waits past the bound, with every gateway under load all the time.
    wait_until(bound_ms + 10000, "the bound has passed under load", function()
        local now = done_by_gateway()
        for index, count in ipairs(before) do
            if now[index] < count + 200 then
                return false
            end
        end
        return tonumber(cluster.json_field(runs(), "leaving_for_ms")) > bound_ms + 500
    end)
    local worst, worst_gateway, started = 0, "none", 0
    local starts = runs():match('"starts_after_leaving_ms"%s*:%s*(%b{})')
    for gateway, ms in starts:gmatch('"(entry%-%d+)%-%d+%-%d+"%s*:%s*(%d+)') do
        started = started + 1
        if tonumber(ms) > worst then
            worst, worst_gateway = tonumber(ms), gateway
        end
    end
    print(string.format("  last new request %d ms after leaving, from %s; %d requests after leaving", worst, worst_gateway, started))
    check(worst <= bound_ms, "%s sent a new request %d ms after leaving", worst_gateway, worst)
end)

section("callers got their own answers throughout", function()
    for _, load in ipairs(loads) do
        load:stop()
        check(load:foreign_answers() == 0, "%d foreign answers", load:foreign_answers())
        local outcomes = cluster.outcomes(load)
        check(not outcomes.unknown and not outcomes["no-answer"] and not outcomes.missing, "unknown or no answers")
    end
end)
