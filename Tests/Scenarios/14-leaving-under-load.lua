-- Tests that no gateway sends new requests to a leaving endpoint later than 5 s after its announcement.
-- The endpoint announces to one entry instance only, under full load through all six.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3}
local bound_ms = 5000
c:start_all()
c:apply_lists(c:wait_leader())
-- An endpoint has fewer slots than a gateway has callers, so every gateway also uses other zones.
c:add_endpoints("pricing", 3, {run_ms = 10, slots = 4})
c:wait_endpoints(3)

local loads = {}
for _, entry in ipairs(c.entries) do
    table.insert(loads, c:start_load("caller-secret-quotes", "GET", "/pricing/quote",
        {callers = 6, pause_ms = 1, addresses = {"127.0.0.1:" .. entry.ports.callers}}))
end

local function done_by_gateway()
    local counts = {}
    for index, load in ipairs(loads) do
        counts[index] = cluster.count_outcomes(load).done or 0
    end
    return counts
end

local leaving = c.endpoints[seed % 3 + 1]
local function leaving_endpoint_runs()
    return http {address = leaving.address, path = "/runs"}.body
end

section("every gateway sends requests to the endpoint", function()
    wait_until(15000, "requests of all six gateways have run at the endpoint", function()
        local body, gateway_count = leaving_endpoint_runs(), 0
        for _, entry in ipairs(c.entries) do
            gateway_count = gateway_count + (body:find('"' .. entry.name .. '-', 1, true) and 1 or 0)
        end
        return gateway_count == #c.entries
    end)
end)

section("no gateway sends a new request after the bound", function()
    local before = done_by_gateway()
    http {address = leaving.address, path = "/admin/leave", method = "POST"}
    -- Waits past the bound while every gateway stays under load.
    wait_until(bound_ms + 10000, "the bound has passed under load", function()
        local now = done_by_gateway()
        for index, count in ipairs(before) do
            if now[index] < count + 200 then
                return false
            end
        end
        return tonumber(cluster.json_field(leaving_endpoint_runs(), "leaving_for_ms")) > bound_ms + 500
    end)
    local worst_ms, worst_gateway, late_starts = 0, "none", 0
    local starts = leaving_endpoint_runs():match('"starts_after_leaving_ms"%s*:%s*(%b{})')
    for gateway, ms in starts:gmatch('"(entry%-%d+)%-%d+%-%d+"%s*:%s*(%d+)') do
        late_starts = late_starts + 1
        if tonumber(ms) > worst_ms then
            worst_ms, worst_gateway = tonumber(ms), gateway
        end
    end
    print(string.format("  last new request %d ms after leaving, from %s; %d requests after leaving",
        worst_ms, worst_gateway, late_starts))
    check(worst_ms <= bound_ms, "%s sent a new request %d ms after leaving", worst_gateway, worst_ms)
end)

section("no caller received the response to another request", function()
    for _, load in ipairs(loads) do
        load:stop()
        check(load:mismatched_responses() == 0, "%d mismatched responses", load:mismatched_responses())
        local outcomes = cluster.count_outcomes(load)
        check(not outcomes.unknown and not outcomes["no-answer"] and not outcomes.missing,
            "requests with an unknown outcome or without a response")
    end
end)
