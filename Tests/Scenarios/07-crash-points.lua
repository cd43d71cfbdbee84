-- Guards against lost or damaged state when a voter crashes at any step of append, sync, snapshot and
-- rename: no accepted change is lost and the voter recovers from the files on its disk.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 3, voters = 3,
                       settings = "[storage]\ncompact_after_entries = 100"}
c:start_all()
local leader = c:wait_leader()
local accepted = 0
local deadline = 3000

local function apply_change()
    deadline = deadline + 1
    local response = c:apply_list(c:wait_leader(), "plans",
        (cluster.plans:gsub("= 3000", "= " .. deadline)), {expected = accepted, change = "change-" .. deadline})
    if response.status == 200 then
        accepted = accepted + 1
        return true
    end
    -- The leader may have crashed before it responded; the resend returns the outcome of the change.
    return wait_until(15000, "the resend is answered", function()
        for _, entry in ipairs(c.entries) do
            if entry.process:running() then
                local resend = c:apply_list(entry, "plans",
                    (cluster.plans:gsub("= 3000", "= " .. deadline)), {expected = accepted, change = "change-" .. deadline})
                if resend.status == 200 then
                    accepted = accepted + 1
                    return true
                end
            end
        end
    end)
end

for _, point in ipairs {"append", "sync", "state-write", "state-sync", "snapshot-write", "snapshot-sync",
                        "rename", "folder-sync"} do
    section("a voter crashes at " .. point, function()
        local victim = c:wait_leader() == c.entries[2] and c.entries[3] or c.entries[2]
        victim.process:signal("kill")
        victim.process:wait()
        -- The voter also appends while it catches up; the second append is a change of this section.
        local count = (point == "append" or point == "sync") and ":2" or ""
        c:start(victim, {"DANDELIONLOOM_CRASH_POINT=" .. point .. count})
        local changes = 0
        local is_state_point = point:find("^state") ~= nil
        local killed_leader
        if is_state_point then
            -- Term and vote are written in an election.
            wait_until(15000, victim.name .. " answers", function() return c:status(victim) end)
            killed_leader = c:wait_leader()
            killed_leader.process:signal("kill")
            killed_leader.process:wait()
        end
        wait_until(40000, "the process ends at " .. point, function()
            if not victim.process:running() then
                return true
            end
            if not is_state_point then
                apply_change()
                changes = changes + 1
            end
        end)
        if killed_leader then
            c:start(killed_leader)
        end
        check(victim.process:wait() == 137, "%s ended with code %d: %s", victim.name, victim.process:wait(),
            read_file(victim.log):sub(-300))
        c:start(victim)
        c:wait_ready(victim)
        c:wait_revision(accepted, 11000)
        print(string.format("  %s: crashed after %d changes, recovered with revision %d", point, changes, accepted))
    end)
end

section("the last accepted change is in force everywhere", function()
    for _, entry in ipairs(c.entries) do
        local list = c:operator_request(entry, "GET", "/v1/plans?consistent=true", "", {["Accept"] = "application/toml"})
        check(list.body:find(tostring(deadline), 1, true), "%s: %s", entry.name, list.body)
    end
end)
