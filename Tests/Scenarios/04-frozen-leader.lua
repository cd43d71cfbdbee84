-- Guards against a leader that is suspended for longer than an election takes and then acts on its old
-- state: it must not accept queued writes or grant expired leases after it resumes.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3}
c:start_all()
local old = c:wait_leader()
check(c:apply_list(old, "plans", cluster.plans).status == 200, "first plans")
c:wait_revision(1)

local operators = {}
local new
section("the leader is suspended with a write queued in its socket", function()
    old.process:signal("stop")
    write_file(work_folder .. "/queued.toml", (cluster.plans:gsub("= 3000", "= 3100")))
    write_file(work_folder .. "/operator", "operator-1 operator-secret-1\n")
    operators[1] = spawn {program = "dandelionloom", output = work_folder .. "/operator.log", arguments = {
        "plans", "apply", work_folder .. "/queued.toml", "--server", "127.0.0.1:" .. old.ports.operators,
        "--credential-file", work_folder .. "/operator", "--if-match", "1", "--change-id", "queued"}}
    local start = now_ms()
    new = c:wait_leader(15000, c:entries_except(old))
    print(string.format("  time to a new leader: %d ms", now_ms() - start))
end)

section("the new leader accepts a change of the same revision", function()
    local response = c:apply_list(new, "plans", (cluster.plans:gsub("= 3000", "= 3200")), {expected = 1, change = "new"})
    check(response.status == 200, "new: %d %s", response.status, response.body)
    c:wait_revision(2, 11000, c:entries_except(old))
end)

section("the resumed leader steps down and does not accept the queued write", function()
    old.process:signal("cont")
    c:wait_revision(2)
    wait_until(10000, "the old leader is a follower", function()
        local status = c:status(old)
        return status and status.role ~= "leader" and status.ready
    end)
    local code = operators[1]:wait()
    check(code ~= 0, "the queued write was accepted: %s", read_file(work_folder .. "/operator.log"))
    for _, entry in ipairs(c.entries) do
        local list = c:operator_request(entry, "GET", "/v1/plans?consistent=true", "", {["Accept"] = "application/toml"})
        check(list.body:find("3200", 1, true), "%s: %s", entry.name, list.body)
    end
end)
