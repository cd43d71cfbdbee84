-- Starts and controls a cluster of entry instances with stand-in endpoints and a stand-in platform.

local cluster = {}
cluster.__index = cluster

local function address(port)
    return "127.0.0.1:" .. port
end

--- Fails the scenario with a message unless the condition holds.
function check(condition, message, ...)
    if not condition then
        error(string.format(message or "check failed", ...), 2)
    end
    return condition
end

--- Waits until the condition holds and returns its value. Fails with the description after the limit.
function wait_until(limit_ms, description, condition)
    local deadline = now_ms() + limit_ms
    while true do
        local value = condition()
        if value then
            return value
        end
        if now_ms() > deadline then
            error("not within " .. limit_ms .. " ms: " .. description, 2)
        end
        sleep_poll_interval()
    end
end

--- Runs one step of a scenario and adds its name to the message of a failure.
function section(name, body)
    local ok, failure = xpcall(body, function(message)
        return debug.traceback(message, 2)
    end)
    if not ok then
        error("in section '" .. name .. "': " .. failure, 0)
    end
end

local function json_field(text, name)
    return text:match('"' .. name .. '"%s*:%s*"([^"]*)"')
        or text:match('"' .. name .. '"%s*:%s*(-?[%w%.]+)')
end
cluster.json_field = json_field

--- Options: zones, entries, voters, relays (peer connections go through relays that can block them),
--- timing (TOML lines), settings (further TOML lines), callers (lines of the credentials file), platform
--- (configure a stand-in platform, see start_platform), reboot_ms.
function cluster.new(options)
    local self = setmetatable({options = options, entries = {}, endpoints = {}, relays = {}}, cluster)
    self.zones = options.zones or 3
    for index = 1, options.entries or 6 do
        self.entries[index] = {
            index = index,
            name = "entry-" .. index,
            zone = "zone-" .. ((index - 1) % self.zones + 1),
            voter = index <= (options.voters or 3),
            ports = {callers = free_port(), operators = free_port(), endpoints = free_port(),
                     peers = free_port()},
            folder = work_folder .. "/entry-" .. index,
        }
    end
    self.platform_port = free_port()
    write_file(work_folder .. "/operators", "operator-1 operator-secret-1\noperator-2 operator-secret-2\n")
    write_file(work_folder .. "/endpoints", "endpoints endpoint-secret-0001\n")
    write_file(work_folder .. "/platform", "platform platform-secret-0001\n")
    write_file(work_folder .. "/peers", "peers peer-secret-0001\n")
    write_file(work_folder .. "/callers", table.concat(options.callers or {
        "counter-quotes caller-secret-quotes",
        "night-dues caller-secret-dues",
        "stock-hold caller-secret-stock",
    }, "\n") .. "\n")
    if options.relays then
        self:add_relays()
    end
    for _, entry in ipairs(self.entries) do
        self:write_settings(entry)
    end
    return self
end

function cluster:add_relays()
    for _, from in ipairs(self.entries) do
        self.relays[from.index] = {}
        for _, to in ipairs(self.entries) do
            if from ~= to then
                local port = free_port()
                self.relays[from.index][to.index] =
                    {port = port, relay = relay(address(port), address(to.ports.peers))}
            end
        end
    end
end

function cluster:write_settings(entry)
    make_folder(entry.folder)
    local lines = {
        "[cluster]", 'id = "scenario"', 'group = "region-1"',
        "[instance]", 'name = "' .. entry.name .. '"',
        'availability_zone = "' .. entry.zone .. '"',
        'rack = "rack-' .. entry.index .. '"',
    }
    if entry.voter then
        table.insert(lines, 'data_folder = "' .. entry.folder .. '/data"')
    end
    table.insert(lines, "[listen]")
    for name, port in pairs(entry.ports) do
        table.insert(lines, name .. ' = "' .. address(port) .. '"')
    end
    for _, peer in ipairs(self.entries) do
        local port = peer.ports.peers
        if self.options.relays and peer ~= entry then
            port = self.relays[entry.index][peer.index].port
        end
        table.insert(lines, "[[peer]]")
        table.insert(lines, 'name = "' .. peer.name .. '"')
        table.insert(lines, 'availability_zone = "' .. peer.zone .. '"')
        table.insert(lines, 'address = "' .. address(port) .. '"')
        table.insert(lines, 'operators = "' .. address(peer.ports.operators) .. '"')
        table.insert(lines, "voter = " .. tostring(peer.voter))
    end
    table.insert(lines, "[credentials]")
    for _, kind in ipairs {"callers", "operators", "endpoints", "peers"} do
        table.insert(lines, kind .. '_file = "' .. work_folder .. "/" .. kind .. '"')
    end
    if self.options.platform then
        table.insert(lines, "[platform]")
        table.insert(lines, 'url = "http://' .. address(self.platform_port) .. '"')
        table.insert(lines, 'credential_file = "' .. work_folder .. '/platform"')
    end
    table.insert(lines, "[timing]")
    table.insert(lines, self.options.timing or "")
    table.insert(lines, self.options.settings or "")
    entry.settings = entry.folder .. "/settings.toml"
    write_file(entry.settings, table.concat(lines, "\n") .. "\n")
end

function cluster:start(entry, environment)
    entry.log = entry.folder .. "/log"
    entry.process = spawn {program = "dandelionloom", arguments = {"serve", "--settings", entry.settings},
                           output = entry.log, environment = environment}
end

function cluster:start_all()
    for _, entry in ipairs(self.entries) do
        self:start(entry)
    end
    for _, entry in ipairs(self.entries) do
        self:wait_ready(entry)
    end
end

function cluster:operator_request(entry, method, path, body, headers)
    headers = headers or {}
    headers["Authorization"] = headers["Authorization"] or "Bearer operator-secret-1"
    return http {method = method, address = address(entry.ports.operators), path = path,
                 headers = headers, body = body or "", timeout_ms = 10000}
end

--- The status document of an entry instance as fields; nil if it does not answer.
function cluster:status(entry)
    local response = self:operator_request(entry, "GET", "/v1/status")
    if response.status ~= 200 then
        return nil
    end
    local own_status = response.body:gsub('"instances"%s*:%s*%b[]', "")
    local revision = tonumber(json_field(own_status, "lists_revision"))
    -- The revision that an entry instance reports must never decrease, also across restarts.
    check(not revision or revision >= (entry.last_revision or 0) or json_field(own_status, "ready") ~= "true",
        "%s went from revision %d back to %s", entry.name, entry.last_revision or 0, tostring(revision))
    entry.last_revision = math.max(entry.last_revision or 0, revision or 0)
    return {
        role = json_field(own_status, "role"),
        leader = json_field(own_status, "leader"),
        term = tonumber(json_field(own_status, "term")),
        applied = tonumber(json_field(own_status, "applied_index")),
        revision = tonumber(json_field(own_status, "lists_revision")),
        quorum_contact_age_ms = tonumber(json_field(own_status, "quorum_contact_age_ms")),
        ready = json_field(own_status, "ready") == "true",
        text = response.body,
    }
end

function cluster:wait_ready(entry, limit_ms)
    return wait_until(limit_ms or 15000, entry.name .. " is ready", function()
        local status = self:status(entry)
        return status and status.ready and status
    end)
end

--- The entry instance that leads, as a running entry instance of `among` itself reports.
function cluster:wait_leader(limit_ms, among)
    return wait_until(limit_ms or 15000, "a leader is elected", function()
        for _, entry in ipairs(among or self.entries) do
            if entry.process and entry.process:running() then
                local status = self:status(entry)
                if status and status.role == "leader" and status.ready then
                    return entry
                end
            end
        end
    end)
end

--- Applies a list. Options: change (id), expected (revision; read first by default), operator (1 or 2).
function cluster:apply_list(entry, list, text, options)
    options = options or {}
    local expected = options.expected
    if not expected then
        local current = self:operator_request(entry, "GET", "/v1/" .. list .. "?consistent=true")
        check(current.status == 200, "reading %s: %d %s %s", list, current.status, current.body, current.error)
        expected = current.headers["etag"]
    else
        expected = '"' .. expected .. '"'
    end
    self.change_count = (self.change_count or 0) + 1
    return self:operator_request(entry, "PUT", "/v1/" .. list, text, {
        ["Authorization"] = "Bearer operator-secret-" .. (options.operator or 1),
        ["If-Match"] = expected,
        ["Content-Type"] = "application/toml",
        ["Dandelionloom-Change-Id"] = options.change or ("change-" .. seed .. "-" .. self.change_count),
    })
end

--- Waits until every running entry instance of `among` has the lists revision in force.
function cluster:wait_revision(revision, limit_ms, among)
    for _, entry in ipairs(among or self.entries) do
        wait_until(limit_ms or 11000, entry.name .. " has revision " .. revision, function()
            local status = self:status(entry)
            return status and status.revision and status.revision >= revision
        end)
    end
end

function cluster:endpoint_addresses(zone)
    local list = {}
    for _, entry in ipairs(self.entries) do
        if not zone or entry.zone == zone then
            table.insert(list, address(entry.ports.endpoints))
        end
    end
    return list
end

--- Adds `count` stand-in endpoints of a service, spread over the zones, `per_rack` (default 4) to a rack.
--- Each announces itself to the entry instances of its own zone first.
function cluster:add_endpoints(service, count, options)
    options = options or {}
    local added = {}
    for number = 1, count do
        local zone_number = (number - 1) % self.zones + 1
        local zone = "zone-" .. zone_number
        local endpoint = {
            instance = service .. "-" .. number,
            service = service,
            zone = zone,
            rack = zone .. "-rack-" .. service .. "-" .. math.floor((number - 1) / self.zones / (options.per_rack or 4)) + 1,
            port = free_port(),
            incarnation = 1,
            run_ms = options.run_ms or 2,
            slots = options.slots or 8,
        }
        endpoint.address = address(endpoint.port)
        self:start_endpoint(endpoint)
        table.insert(self.endpoints, endpoint)
        table.insert(added, endpoint)
    end
    return added
end

function cluster:start_endpoint(endpoint)
    local arguments = {
        "--address", endpoint.address, "--instance", endpoint.instance, "--service", endpoint.service,
        "--slots", tostring(endpoint.slots), "--rack", endpoint.rack, "--zone", endpoint.zone,
        "--incarnation", tostring(endpoint.incarnation), "--run-ms", tostring(endpoint.run_ms),
        "--credential-file", work_folder .. "/endpoints",
        "--key-log", work_folder .. "/" .. endpoint.instance .. ".keys",
    }
    for _, target in ipairs(self:endpoint_addresses(endpoint.zone)) do
        table.insert(arguments, "--announce")
        table.insert(arguments, "http://" .. target)
    end
    endpoint.process = spawn {program = "standInEndpoint", arguments = arguments,
                              output = work_folder .. "/" .. endpoint.instance .. ".log"}
end

--- Starts the stand-in platform for all endpoints added so far.
function cluster:start_platform()
    local arguments = {"--address", address(self.platform_port),
                       "--reboot-ms", tostring(self.options.reboot_ms or 500)}
    for _, endpoint in ipairs(self.endpoints) do
        table.insert(arguments, "--instance")
        table.insert(arguments, endpoint.instance .. "=" .. endpoint.address)
    end
    self.platform = spawn {program = "standInPlatform", arguments = arguments,
                           output = work_folder .. "/platform.log"}
end

--- Waits until every entry instance of `among` knows `count` serving endpoints.
function cluster:wait_endpoints(count, limit_ms, among)
    for _, entry in ipairs(among or self.entries) do
        wait_until(limit_ms or 15000, entry.name .. " knows " .. count .. " serving endpoints", function()
            local response = self:operator_request(entry, "GET", "/v1/endpoints")
            local _, serving = response.body:gsub('"serving"', "")
            return response.status == 200 and serving == count
        end)
    end
end

--- Sends one request of a plan through an entry instance.
function cluster:send_request(entry, plan_secret, path, options)
    options = options or {}
    local headers = options.headers or {}
    headers["Authorization"] = "Bearer " .. plan_secret
    if options.key then
        headers["Idempotency-Key"] = options.key
    end
    return http {method = options.method or "GET", address = address(entry.ports.callers), path = path,
                 headers = headers, body = options.body or "", timeout_ms = options.timeout_ms or 8000}
end

--- How often the endpoints ran a request, by request id: {id = runs}.
function cluster:runs_by_request()
    local counts = {}
    for _, endpoint in ipairs(self.endpoints) do
        local response = http {address = endpoint.address, path = "/runs"}
        local runs_object = response.body:match('"runs"%s*:%s*(%b{})') or ""
        for key, runs in runs_object:gmatch('"([^"]+)"%s*:%s*(%d+)') do
            counts[key] = (counts[key] or 0) + tonumber(runs)
        end
    end
    return counts
end

--- Blocks the peer connections between two groups of entry instances. `direction` is "both" (default),
--- "to" (nothing from left reaches right) or "from".
function cluster:partition(left, right, direction)
    direction = direction or "both"
    local block_to = direction ~= "from"
    local block_from = direction ~= "to"
    for _, a in ipairs(left) do
        for _, b in ipairs(right) do
            if a ~= b then
                self.relays[a.index][b.index].relay:block(block_to, block_from)
                self.relays[b.index][a.index].relay:block(block_from, block_to)
            end
        end
    end
end

--- Ends all partitions and closes the peer connections, as they are after a long partition.
function cluster:heal()
    for _, targets in pairs(self.relays) do
        for _, link in pairs(targets) do
            link.relay:reset()
            link.relay:block(false, false)
        end
    end
end

function cluster:entries_except(...)
    local excluded = {}
    for _, entry in ipairs {...} do
        excluded[entry] = true
    end
    local list = {}
    for _, entry in ipairs(self.entries) do
        if not excluded[entry] then
            table.insert(list, entry)
        end
    end
    return list
end

function cluster:caller_addresses()
    local list = {}
    for _, entry in ipairs(self.entries) do
        table.insert(list, address(entry.ports.callers))
    end
    return list
end

--- Kills processes of entry instances or endpoints with SIGKILL.
function cluster:kill(list)
    for _, item in ipairs(list) do
        item.process:signal("kill")
    end
    for _, item in ipairs(list) do
        item.process:wait()
    end
end

--- Restarts killed endpoints. A running endpoint increments its incarnation itself, so that a restart
--- adds 1000 to exceed it.
function cluster:restart_endpoints(endpoints)
    for _, endpoint in ipairs(endpoints) do
        endpoint.incarnation = endpoint.incarnation + 1000
        self:start_endpoint(endpoint)
    end
end

--- Applies both lists and waits until they are in force. `plans` defaults to cluster.plans.
function cluster:apply_lists(leader, plans)
    local plans_response = self:apply_list(leader, "plans", plans or cluster.plans)
    check(plans_response.status == 200, "plans: %d %s", plans_response.status, plans_response.body)
    local allowances_response = self:apply_list(leader, "allowances", cluster.allowances)
    check(allowances_response.status == 200, "allowances: %d %s", allowances_response.status, allowances_response.body)
    self:wait_revision(2)
end

--- The instances as one entry instance lists them: {id = {pool, phase, epoch, zone}}. Fails if one is
--- listed twice or without a pool; nil if the entry instance does not answer.
function cluster:instances(entry)
    local response = self:operator_request(entry, "GET", "/v1/instances")
    if response.status ~= 200 then
        return nil
    end
    local found = {}
    for text in response.body:sub(2):gmatch("%b{}") do
        local id = json_field(text, "id")
        check(not found[id], "%s lists instance %s twice", entry.name, id)
        found[id] = {id = id, pool = json_field(text, "pool"), phase = json_field(text, "phase"),
                     epoch = tonumber(json_field(text, "epoch")), rack = json_field(text, "rack"),
                     zone = json_field(text, "availability_zone")}
        check((found[id].pool or "") ~= "", "%s lists instance %s without a pool", entry.name, id)
    end
    return found
end

--- Waits until an entry instance lists `count` instances in service.
function cluster:wait_in_service(entry, count, limit_ms)
    wait_until(limit_ms or 15000, count .. " instances are in service", function()
        return cluster.count_phases(self:instances(entry) or {}, {["in-service"] = true}) == count
    end)
end

function cluster.count_phases(instances, phases)
    local count = 0
    for _, instance in pairs(instances) do
        count = count + (phases[instance.phase] and 1 or 0)
    end
    return count
end

--- Instances that are not in service.
function cluster.count_out_of_service(instances)
    local count = 0
    for _, instance in pairs(instances) do
        count = count + (instance.phase ~= "in-service" and 1 or 0)
    end
    return count
end

--- Checks that all entry instances of `among` that respond list each instance in the same pool at the
--- same epoch.
function cluster:check_one_pool_per_instance(among)
    self.pool_by_epoch = self.pool_by_epoch or {}
    for _, entry in ipairs(among or self.entries) do
        for id, instance in pairs(self:instances(entry) or {}) do
            local key = id .. "/" .. instance.epoch
            local known = self.pool_by_epoch[key] or instance.pool
            check(known == instance.pool, "%s: instance %s is in pool %s and in pool %s at epoch %d",
                entry.name, id, known, instance.pool, instance.epoch)
            self.pool_by_epoch[key] = known
        end
    end
end

function cluster:start_wave(entry, id, pool)
    local body = string.format('{"id": "%s", "pool": "%s", "drain_limit_ms": 5000}', id, pool)
    local response = self:operator_request(entry, "POST", "/v1/waves", body,
        {["Content-Type"] = "application/json", ["Dandelionloom-Change-Id"] = id .. "-" .. seed})
    check(response.status == 200 or response.status == 201, "start of %s: %d %s", id, response.status, response.body)
end

function cluster:is_wave_finished(entry)
    local response = self:operator_request(entry, "GET", "/v1/waves")
    return response.status == 200 and response.body:find('"state"%s*:%s*"finished"') ~= nil
end

--- How often the endpoints ran each idempotency key, also before they were killed: {key = runs}.
function cluster:runs_by_key()
    local counts = {}
    for _, endpoint in ipairs(self.endpoints) do
        for key in read_file(work_folder .. "/" .. endpoint.instance .. ".keys"):gmatch("[^\n]+") do
            counts[key] = (counts[key] or 0) + 1
        end
    end
    return counts
end

function cluster:check_one_run_per_key()
    for key, runs in pairs(self:runs_by_key()) do
        check(runs == 1, "key %s ran %d times", key, runs)
    end
end

--- Entry instances in and outside an availability zone.
function cluster:split_zone(zone)
    local inside, outside = {}, {}
    for _, entry in ipairs(self.entries) do
        table.insert(entry.zone == zone and inside or outside, entry)
    end
    return inside, outside
end

--- Number of requests of a load by outcome.
function cluster.count_outcomes(load)
    local counts = {}
    for _, request in ipairs(load:requests()) do
        counts[request.outcome] = (counts[request.outcome] or 0) + 1
    end
    return counts
end

--- Starts callers of a plan in the background. Options as for the binding start_load; `addresses`
--- defaults to all entry instances.
function cluster:start_load(secret, method, path, options)
    options = options or {}
    options.addresses = options.addresses or self:caller_addresses()
    options.seed = seed
    options.request = {method = method, path = path, timeout_ms = options.timeout_ms or 8000,
                       headers = options.headers or {}}
    options.request.headers["Authorization"] = "Bearer " .. secret
    return start_load(options)
end

cluster.plans = [=[
[[plan]]
id = "counter-quotes"
customer = "chamdakam"
service = "pricing"
urgency = "urgent"
min_healthy_instances = 2
max_unavailable_instances = 1
default_deadline_ms = 3000

[[plan]]
id = "night-dues"
customer = "chamdakam"
service = "dues"
urgency = "normal"
min_healthy_instances = 1
max_unavailable_instances = 1
default_deadline_ms = 5000
]=]

cluster.allowances = [=[
[[allowance]]
plan = "counter-quotes"
max_instances = 12
slots = 96
requests_per_second = 2000
weight = 4

[[allowance]]
plan = "night-dues"
max_instances = 12
slots = 96
requests_per_second = 2000
weight = 1
]=]

return cluster
