-- Tests all four listeners with invalid input: truncated, oversized, wrongly typed or random bytes, wrong
-- credentials and processes of another cluster get an error response or a close, and change no state.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3}
c:start_all()
local leader = c:wait_leader()
c:apply_lists(leader)
c:add_endpoints("pricing", 3)
c:wait_endpoints(3)
c:wait_in_service(leader, 3)

math.randomseed(seed)
local target = c.entries[seed % #c.entries + 1]

local function random_bytes(count)
    local bytes = {}
    for index = 1, count do
        bytes[index] = string.char(math.random(0, 255))
    end
    return table.concat(bytes)
end

local function address_of(listener)
    return "127.0.0.1:" .. target.ports[listener]
end

local credentials = {callers = "caller-secret-quotes", endpoints = "endpoint-secret-0001", operators = "operator-secret-1"}

-- Serializes an HTTP request. `headers.Authorization` defaults to the credential of the listener; false
-- leaves the header out.
local function request_bytes(listener, method, path, headers, body)
    headers = headers or {}
    local lines = {method .. " " .. path .. " HTTP/1.1", "Host: test"}
    if headers.Authorization == nil then
        headers.Authorization = "Bearer " .. credentials[listener]
    end
    if body and not headers["Content-Length"] and not headers["Transfer-Encoding"] then
        headers["Content-Length"] = tostring(#body)
    end
    for name, value in pairs(headers) do
        if value then
            table.insert(lines, name .. ": " .. value)
        end
    end
    return table.concat(lines, "\r\n") .. "\r\nConnection: close\r\n\r\n" .. (body or "")
end

local function status_of(bytes)
    return tonumber(bytes:match("^HTTP/1%.1 (%d+)")) or 0
end

-- Sends bytes and checks that the status is one of those given; 0 stands for a close or a timeout
-- without a response.
local function expect_status(listener, description, bytes, ...)
    local response = send_raw(address_of(listener), bytes, 1500)
    local status = status_of(response)
    for _, wanted in ipairs {...} do
        if status == wanted then
            return
        end
    end
    check(false, "%s, %s: expected status %s, found %d: %s", listener, description, table.concat({...}, " or "), status, response:sub(1, 300))
end

local function capture_state()
    c:check_one_pool_per_instance()
    local endpoints = c:operator_request(target, "GET", "/v1/endpoints").body
    local instances = c:operator_request(target, "GET", "/v1/instances").body
    return table.concat({c:status(target).revision, (endpoints:gsub('"lease_remaining_ms":%d+', "")), instances}, "\n")
end
local before = capture_state()
local plans = cluster.plans:gsub("= 3000", "= 3100")

section("HTTP framing and credentials, on every HTTP listener", function()
    local paths = {callers = "/pricing/quote", endpoints = "/v1/endpoints/announce", operators = "/v1/plans"}
    for listener, path in pairs(paths) do
        local method = listener == "endpoints" and "POST" or "PUT"
        expect_status(listener, "no credential", request_bytes(listener, method, path, {Authorization = false}, "x"), 401)
        expect_status(listener, "unknown credential", request_bytes(listener, method, path, {Authorization = "Bearer nobody-knows-this"}, "x"), 401)
        expect_status(listener, "another scheme", request_bytes(listener, method, path, {Authorization = "Basic " .. credentials[listener]}, "x"), 401)
        for other, secret in pairs(credentials) do
            if other ~= listener then
                expect_status(listener, "a credential of " .. other, request_bytes(listener, method, path, {Authorization = "Bearer " .. secret}, "x"), 401)
            end
        end
        expect_status(listener, "long request line", request_bytes(listener, method, "/" .. ("a"):rep(100000)), 414, 400, 0)
        expect_status(listener, "long header", request_bytes(listener, method, path, {["X-Long"] = ("a"):rep(200000)}, "x"), 431, 400, 0)
        expect_status(listener, "huge length", request_bytes(listener, method, path, {["Content-Length"] = "99999999999"}), 413)
        expect_status(listener, "negative length", request_bytes(listener, method, path, {["Content-Length"] = "-5"}, "x"), 400)
        expect_status(listener, "a length that is not a number", request_bytes(listener, method, path, {["Content-Length"] = "five"}, "x"), 400, 0)
        expect_status(listener, "a length and a chunked body", request_bytes(listener, method, path, {["Content-Length"] = "1", ["Transfer-Encoding"] = "chunked"}, "x"), 400)
        expect_status(listener, "truncated head", request_bytes(listener, method, path):sub(1, 30), 0, 408)
        expect_status(listener, "truncated body", request_bytes(listener, method, path, {["Content-Length"] = "100"}, "short"), 0, 408, 400)
        for round = 1, 20 do
            expect_status(listener, "random bytes, round " .. round, random_bytes(math.random(1, 3000)) .. "\r\n\r\n", 400, 414, 431, 0)
        end
    end
end)

section("values, on the callers' listener", function()
    local function post(description, headers, ...)
        expect_status("callers", description, request_bytes("callers", "POST", "/pricing/settle", headers, "x"), ...)
    end
    post("a key of 5000 bytes", {["Idempotency-Key"] = ("k"):rep(5000)}, 400)
    post("a deadline that is not a number", {["Dandelionloom-Deadline-Ms"] = "soon"}, 400)
    post("a negative deadline", {["Dandelionloom-Deadline-Ms"] = "-1"}, 400)
    expect_status("callers", "another plan's service", request_bytes("callers", "GET", "/dues/quote"), 403)
    expect_status("callers", "an unknown method", request_bytes("callers", "BREW", "/pricing/quote"), 405)
end)

section("values, on the endpoints' listener", function()
    local function announce(description, body, ...)
        expect_status("endpoints", description, request_bytes("endpoints", "POST", "/v1/endpoints/announce", {}, body), ...)
    end
    local function announcement_with(changed)
        local all = {instance = '"stranger"', address = '"127.0.0.1:9"', service = '"pricing"', slots = "8", rack = '"r"',
                     availability_zone = '"zone-1"', incarnation = "1", state = '"serving"'}
        local parts = {}
        for name, value in pairs(all) do
            if changed[name] ~= false then
                table.insert(parts, '"' .. name .. '":' .. (changed[name] or value))
            end
        end
        return "{" .. table.concat(parts, ",") .. "}"
    end
    announce("not JSON", "not json", 400)
    announce("an array", "[1,2]", 400)
    announce("deeply nested arrays", ("["):rep(4000), 400)
    announce("a body of 100 kB", ("x"):rep(100000), 413)
    for name, values in pairs {instance = {"7", "null", '""', '"a b"', "{}"}, address = {"1", '"localhost:1"', '"127.0.0.1:0"', '"127.0.0.1"'},
                               slots = {'"8"', "0", "-1", "1.5", "99999999999999999999"}, incarnation = {'"1"', "-1", "1.5"},
                               state = {'"gone"', '"asleep"', "1"}, rack = {"1"}, service = {"[]"}, availability_zone = {"true"}} do
        announce("no " .. name, announcement_with {[name] = false}, 400)
        for _, value in ipairs(values) do
            announce(name .. " = " .. value, announcement_with {[name] = value}, 400)
        end
    end
    expect_status("endpoints", "another path", request_bytes("endpoints", "POST", "/v1/plans", {}, "x"), 404)
    expect_status("endpoints", "another method", request_bytes("endpoints", "GET", "/v1/endpoints/announce"), 405)
end)

section("values, on the operators' listener", function()
    local function put(description, headers, body, ...)
        expect_status("operators", description, request_bytes("operators", "PUT", "/v1/plans", headers, body), ...)
    end
    local function headers_with(changed)
        local headers = {["If-Match"] = '"1"', ["Dandelionloom-Change-Id"] = "bad-input", ["Content-Type"] = "application/toml"}
        for name, value in pairs(changed) do
            headers[name] = value
        end
        return headers
    end
    put("no expected revision", headers_with {["If-Match"] = false}, plans, 428)
    put("no change id", headers_with {["Dandelionloom-Change-Id"] = false}, plans, 428)
    put("a revision that is not a number", headers_with {["If-Match"] = '"last"'}, plans, 400, 412)
    put("an old revision", headers_with {["If-Match"] = '"0"'}, plans, 412)
    put("not TOML", headers_with {}, "[[plan]\nid = ", 400)
    put("wrong types", headers_with {}, (plans:gsub('urgency = "urgent"', "urgency = 7")), 400)
    put("a negative number", headers_with {}, (plans:gsub("= 3100", "= -3100")), 400)
    put("the same plan twice", headers_with {}, plans .. plans, 400)
    put("random bytes", headers_with {}, random_bytes(3000), 400)
    expect_status("operators", "a wave without content", request_bytes("operators", "POST", "/v1/waves", headers_with {["Content-Type"] = "application/json"}, "{}"), 400)
    expect_status("operators", "an unknown path", request_bytes("operators", "GET", "/v1/nothing"), 404)
    expect_status("operators", "an unknown method", request_bytes("operators", "BREW", "/v1/plans", {}, ""), 405)
    expect_status("operators", "an unknown method without a length", request_bytes("operators", "BREW", "/v1/plans"), 411)
end)

section("random bytes, on the peers' listener", function()
    local preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
    for round = 1, 30 do
        send_raw(address_of("peers"), (round % 2 == 0 and preface or "") .. random_bytes(math.random(1, 3000)), 50)
    end
    wait_until(10000, "the connections are refused with a reason", function()
        return read_file(target.log):find("connection without hello at 127.0.0.1", 1, true)
    end)
end)

-- Starts a process with modified settings of an entry instance and waits until both sides log the refusal.
local function check_peer_refused(name, change, refusal)
    local from = c.entries[6] ~= target and c.entries[6] or c.entries[5]
    local folder = work_folder .. "/" .. name
    make_folder(folder)
    local settings = read_file(from.settings)
    local listen = "[listen]\n"
    for _, listener in ipairs {"callers", "operators", "endpoints", "peers"} do
        listen = listen .. listener .. ' = "127.0.0.1:' .. free_port() .. '"\n'
    end
    settings = settings:gsub("%[listen%].-%f[%[]", function() return listen end, 1)
    write_file(folder .. "/settings.toml", change(settings))
    local process = spawn {program = "dandelionloom", arguments = {"serve", "--settings", folder .. "/settings.toml"},
                           output = folder .. "/log"}
    wait_until(10000, target.name .. " refuses " .. name, function()
        check(process:running(), "%s ended: %s", name, read_file(folder .. "/log"):sub(1, 500))
        return read_file(target.log):find(refusal, 1, true)
    end)
    wait_until(10000, name .. " logs the refusal", function()
        return read_file(folder .. "/log"):find(refusal, 1, true)
    end)
    process:signal("kill")
    process:wait()
end

section("processes of another cluster or with another credential, on the peers' listener", function()
    check_peer_refused("other-cluster", function(settings)
        return (settings:gsub('id = "scenario"', 'id = "other"'))
    end, [[expected cluster \"scenario\", found \"other\"]])
    check_peer_refused("other-credential", function(settings)
        write_file(work_folder .. "/other-peers", "peers another-secret-0001\n")
        return (settings:gsub('peers_file = "[^"]*"', 'peers_file = "' .. work_folder .. '/other-peers"'))
    end, [[expected the peer credential of cluster \"scenario\"]])
end)

section("all processes are running and the state is unchanged", function()
    for _, entry in ipairs(c.entries) do
        check(entry.process:running(), "%s has ended", entry.name)
    end
    local now = capture_state()
    check(now == before, "expected the state\n%s\nfound\n%s", before, now)
    local response = c:send_request(target, "caller-secret-quotes", "/pricing/quote", {body = "after"})
    check(response.headers["dandelionloom-outcome"] == "done", "%d %s", response.status, response.body)
end)
