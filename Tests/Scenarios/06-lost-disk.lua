-- Guards against a vote under an old identity after a voter lost its disk, and against the failure of
-- a second voter just after the first has rejoined: a change is accepted by a quorum or refused, and no
-- accepted change is lost.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3}
c:start_all()
local leader = c:wait_leader()
check(c:apply_list(leader, "plans", cluster.plans).status == 200, "first plans")
c:wait_revision(1)

local voters = {}
for index = 1, 3 do
    if c.entries[index] ~= leader then
        table.insert(voters, c.entries[index])
    end
end
local first, second = voters[1], voters[2]

section("a voter loses its disk and rejoins", function()
    first.process:signal("kill")
    first.process:wait()
    remove_folder(first.folder .. "/data")
    check(c:apply_list(leader, "allowances", cluster.allowances).status == 200, "change while the voter is down")
    c:start(first)
    c:wait_ready(first)
    c:wait_revision(2, 11000, {first})
end)

section("the second voter is killed just after that", function()
    second.process:signal("kill")
    second.process:wait()
    local response = c:apply_list(leader, "plans", (cluster.plans:gsub("= 3000", "= 3100")), {expected = 1, change = "during"})
    check(response.status == 200 or response.status == 503, "%d %s", response.status, response.body)
    print("  change with two of three voters, one of them rejoined after the disk loss: " .. response.status)
end)

section("after the second voter restarts, every accepted change is in force everywhere", function()
    c:start(second)
    leader = c:wait_leader()
    local response = c:apply_list(leader, "plans", (cluster.plans:gsub("= 3000", "= 3100")), {expected = 1, change = "during"})
    check(response.status == 200, "resend: %d %s", response.status, response.body)
    c:wait_revision(3)
    for _, entry in ipairs(c.entries) do
        local list = c:operator_request(entry, "GET", "/v1/plans", "", {["Accept"] = "application/toml"})
        check(list.body:find("3100", 1, true), "%s: %s", entry.name, list.body)
    end
end)
