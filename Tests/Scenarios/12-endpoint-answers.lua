-- Guards callers against responses to other requests, and settlements against a second run: endpoints
-- respond late, twice, with the response or the attempt id of another request, partially, or not at all.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3}
c:start_all()
c:apply_lists(c:wait_leader())
c:add_endpoints("pricing", 3)
c:wait_endpoints(3)

local modes = {"late", "twice", "wrong-id", "no-id", "swapped", "half", "half-chunk", "no-length", "two-lengths",
               "fail-after-run"}

local function set_mode(endpoint, mode)
    local response = http {address = endpoint.address, path = "/admin/mode?mode=" .. mode, method = "POST"}
    check(response.status == 200, "mode %s of %s: %d %s", mode, endpoint.instance, response.status, response.error)
end

-- With these headers, an endpoint in mode late responds after the deadline of the request.
local function late_response_headers()
    return {["Stand-In-Late-Ms"] = "900", ["Dandelionloom-Deadline-Ms"] = "500"}
end

local function send_request(entry, method, label, key)
    return c:send_request(entry, "caller-secret-quotes", "/pricing/quote", {method = method, key = key, body = label,
        headers = late_response_headers()})
end

-- Checks that the outcome is allowed, and that a response with outcome done is complete and belongs to
-- this request.
local function check_response(response, label, allowed)
    local outcome = response.headers["dandelionloom-outcome"] or "missing"
    check(allowed[outcome], "%s: outcome %s, status %d %s", label, outcome, response.status, response.body)
    if outcome == "done" then
        check(response.body:sub(-#label - 1) == ":" .. label, "%s: got %s", label, response.body)
    end
    return outcome
end

for _, mode in ipairs(modes) do
    section("all endpoints respond in mode " .. mode, function()
        for _, endpoint in ipairs(c.endpoints) do
            set_mode(endpoint, mode)
        end
        for index, entry in ipairs(c.entries) do
            local label = mode .. "-" .. index
            -- The first of two responses is complete and belongs to the request, so it may be returned.
            local allowed = {unknown = true, done = mode == "twice" or nil}
            if index <= 2 then
                check_response(send_request(entry, "GET", "get-" .. label), "get-" .. label, allowed)
            end
            check_response(send_request(entry, "POST", "post-" .. label, "key-" .. label), "post-" .. label, allowed)
        end
    end)
    section("one endpoint in mode " .. mode .. ", under load", function()
        for index, endpoint in ipairs(c.endpoints) do
            set_mode(endpoint, index == seed % 3 + 1 and mode or "ok")
        end
        local gets = c:start_load("caller-secret-quotes", "GET", "/pricing/quote",
            {callers = 6, timeout_ms = 4000, headers = late_response_headers()})
        local posts = c:start_load("caller-secret-quotes", "POST", "/pricing/settle",
            {callers = 6, timeout_ms = 4000, headers = late_response_headers(), key_prefix = "load-" .. mode .. "-"})
        wait_until(15000, "both loads have done 30 requests", function()
            return (cluster.count_outcomes(gets).done or 0) >= 30 and (cluster.count_outcomes(posts).done or 0) >= 30
        end)
        -- From here on endpoints respond at once, so that both loads stop without further late responses.
        for _, endpoint in ipairs(c.endpoints) do
            set_mode(endpoint, "ok")
        end
        gets:stop()
        posts:stop()
        -- A late run occupies its slot beyond the deadline of the request.
        for _, endpoint in ipairs(c.endpoints) do
            wait_until(5000, endpoint.instance .. " is idle", function()
                local state = http {address = endpoint.address, path = "/admin/state"}
                return cluster.json_field(state.body, "in_flight") == "0"
            end)
        end
        check(gets:mismatched_responses() + posts:mismatched_responses() == 0, "mismatched responses in mode %s", mode)
    end)
end

section("every key ran at most once, also when it is resent", function()
    local allowed = {done = true, unknown = true}
    for _, mode in ipairs(modes) do
        for index = 1, #c.entries do
            local entry = c.entries[index % #c.entries + 1]
            local label = mode .. "-" .. index
            check_response(send_request(entry, "POST", "post-" .. label, "key-" .. label), "post-" .. label, allowed)
        end
    end
    c:check_one_run_per_key()
end)
