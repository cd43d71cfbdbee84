-- Guards against a process that missed hundreds of changes and does not catch up: a voter and a
-- follower without a disk restart and have all changes in force within 11 s.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3,
                       settings = "[storage]\ncompact_after_entries = 100"}
c:start_all()
local leader = c:wait_leader()
local voter = leader == c.entries[3] and c.entries[2] or c.entries[3]
local follower = c.entries[6]
check(c:apply_list(leader, "plans", cluster.plans).status == 200, "first plans")
c:wait_revision(1)
for _, entry in ipairs {voter, follower} do
    entry.process:signal("kill")
    entry.process:wait()
end

section("300 changes are accepted while both are down", function()
    for number = 1, 300 do
        local response = c:apply_list(leader, "plans", (cluster.plans:gsub("= 3000", "= " .. (3000 + number))),
            {expected = number})
        check(response.status == 200, "change %d: %d %s", number, response.status, response.body)
    end
end)

section("both restart and have all changes in force", function()
    for _, entry in ipairs {voter, follower} do
        local start = now_ms()
        c:start(entry)
        c:wait_ready(entry, 11000)
        c:wait_revision(301, 11000, {entry})
        print(string.format("  %s: %d ms from start to revision 301", entry.name, now_ms() - start))
    end
end)
