-- Guards against a replica that is isolated while its connections stay open, in one direction and in
-- both: there is no election storm, it accepts no stale write, and it reports how stale it is.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3, relays = true}
c:start_all()
local leader = c:wait_leader()
check(c:apply_list(leader, "plans", cluster.plans).status == 200, "first plans")
c:wait_revision(1)
local isolated = leader == c.entries[3] and c.entries[2] or c.entries[3]
local others = c:entries_except(isolated)
local term = c:status(leader).term

for _, direction in ipairs {"both", "to", "from"} do
    section("isolated, direction " .. direction, function()
        local revision = c:status(leader).revision
        c:partition({isolated}, others, direction)
        -- The old leader may step down once; that is one election, not a storm.
        leader = c:wait_leader(15000, others)
        local response = c:apply_list(leader, "plans",
            (cluster.plans:gsub("= 3000", "= " .. (3000 + revision))), {expected = revision})
        check(response.status == 200, "%d %s", response.status, response.body)
        c:wait_revision(revision + 1, 11000, others)
        if direction ~= "to" then
            wait_until(15000, "the isolated replica reports its staleness", function()
                local status = c:status(isolated)
                return status and status.quorum_contact_age_ms > 3000
            end)
        end
        if direction == "both" then
            local stale = c:apply_list(isolated, "plans", cluster.plans, {expected = revision, change = "stale"})
            check(stale.status == 503, "the isolated replica answered %d %s", stale.status, stale.body)
        end
        c:heal()
        c:wait_revision(revision + 1)
        leader = c:wait_leader()
        local new_term = c:status(leader).term
        check(new_term <= term + 1, "term went from %d to %d", term, new_term)
        term = new_term
    end)
end
