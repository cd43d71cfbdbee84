-- Guards callers against answers of other requests and settlements against a second run: endpoints
-- answer late, twice, with the answer or the id of another request, in part, or not at all.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3}
c:start_all()
c:apply_lists(c:wait_leader())
c:add_endpoints("pricing", 3)
c:wait_endpoints(3)

local modes = {"late", "twice", "wrong-id", "no-id", "swapped", "half", "half-chunk", "no-length", "two-lengths",
               "fail-after-run"}

local function set_mode(endpoint, mode)
    local answer = http {address = endpoint.address, path = "/admin/mode?mode=" .. mode, method = "POST"}
    check(answer.status == 200, "mode %s of %s: %d %s", mode, endpoint.instance, answer.status, answer.error)
end

-- A late answer comes after the request's deadline.
local function late()
    return {["Stand-In-Late-Ms"] = "900", ["Dandelionloom-Deadline-Ms"] = "500"}
end

local function call(entry, method, label, key)
    return c:call(entry, "caller-secret-quotes", "/pricing/quote", {method = method, key = key, body = label,
        headers = late()})
end

-- An answer is whole and the caller's own, or it is not done.
local function check_own(answer, label, allowed)
    local outcome = answer.headers["dandelionloom-outcome"] or "missing"
    check(allowed[outcome], "%s: outcome %s, status %d %s", label, outcome, answer.status, answer.body)
    if outcome == "done" then
        check(answer.body:sub(-#label - 1) == ":" .. label, "%s: got %s", label, answer.body)
    end
    return outcome
end

for _, mode in ipairs(modes) do
    section("all endpoints answer in mode " .. mode, function()
        for _, endpoint in ipairs(c.endpoints) do
            set_mode(endpoint, mode)
        end
        for index, entry in ipairs(c.entries) do
            local label = mode .. "-" .. index
            -- The first of two answers is whole and the caller's own, so it may be given.
            local allowed = {unknown = true, done = mode == "twice" or nil}
            if index <= 2 then
                check_own(call(entry, "GET", "get-" .. label), "get-" .. label, allowed)
            end
            check_own(call(entry, "POST", "post-" .. label, "key-" .. label), "post-" .. label, allowed)
        end
    end)
    section("one endpoint in mode " .. mode .. ", under load", function()
        for index, endpoint in ipairs(c.endpoints) do
            set_mode(endpoint, index == seed % 3 + 1 and mode or "ok")
        end
        local gets = c:load("caller-secret-quotes", "GET", "/pricing/quote", {callers = 6, timeout_ms = 4000, headers = late()})
        local posts = c:load("caller-secret-quotes", "POST", "/pricing/settle",
            {callers = 6, timeout_ms = 4000, headers = late(), key_prefix = "load-" .. mode .. "-"})
        wait_until(15000, "both loads have done 30 requests", function()
            return (cluster.outcomes(gets).done or 0) >= 30 and (cluster.outcomes(posts).done or 0) >= 30
        end)
        -- Ends requests that wait for a late answer.
        for _, endpoint in ipairs(c.endpoints) do
            set_mode(endpoint, "ok")
        end
        gets:stop()
        posts:stop()
        -- A late run holds its slot after the request's deadline.
        for _, endpoint in ipairs(c.endpoints) do
            wait_until(5000, endpoint.instance .. " is idle", function()
                local state = http {address = endpoint.address, path = "/admin/state"}
                return cluster.json_field(state.body, "in_flight") == "0"
            end)
        end
        check(gets:foreign_answers() + posts:foreign_answers() == 0, "foreign answers in mode %s", mode)
    end)
end

section("every key ran at most once, also when it is sent again", function()
    local wanted = {done = true, unknown = true}
    for _, mode in ipairs(modes) do
        for index = 1, #c.entries do
            local entry = c.entries[index % #c.entries + 1]
            local label = mode .. "-" .. index
            check_own(call(entry, "POST", "post-" .. label, "key-" .. label), "post-" .. label, wanted)
        end
    end
    c:check_keys_once()
end)
