-- Guards against a vote under an old identity after a disk was lost, and against a second replica
-- lost just after the first came back: a working quorum or a clean refusal, and nothing lost.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3}
c:start_all()
local leader = c:wait_leader()
check(c:apply(leader, "plans", cluster.plans).status == 200, "first plans")
c:wait_revision(1)

local voters = {}
for index = 1, 3 do
    if c.entries[index] ~= leader then
        table.insert(voters, c.entries[index])
    end
end
local first, second = voters[1], voters[2]

section("a voter loses its disk and returns", function()
    first.process:signal("kill")
    first.process:wait()
    remove_folder(first.folder .. "/data")
    check(c:apply(leader, "allowances", cluster.allowances).status == 200, "change during the loss")
    c:start(first)
    c:wait_ready(first)
    c:wait_revision(2, 11000, {first})
end)

section("the second voter is killed just after", function()
    second.process:signal("kill")
    second.process:wait()
    local answer = c:apply(leader, "plans", (cluster.plans:gsub("= 3000", "= 3100")), {expected = 1, change = "during"})
    check(answer.status == 200 or answer.status == 503, "%d %s", answer.status, answer.body)
    print("  change with two of three voters, one of them repaired: " .. answer.status)
end)

section("with the second voter back, every accepted change is in force everywhere", function()
    c:start(second)
    leader = c:wait_leader()
    local answer = c:apply(leader, "plans", (cluster.plans:gsub("= 3000", "= 3100")), {expected = 1, change = "during"})
    check(answer.status == 200, "resend: %d %s", answer.status, answer.body)
    c:wait_revision(3)
    for _, entry in ipairs(c.entries) do
        local list = c:operator_call(entry, "GET", "/v1/plans", "", {["Accept"] = "application/toml"})
        check(list.body:find("3100", 1, true), "%s: %s", entry.name, list.body)
    end
end)
