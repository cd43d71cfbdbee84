-- Guards against two accepted versions of a list: the cluster is cut into halves of three entry
-- instances, operators on both sides edit the same revision and resend after lost answers.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3, relays = true}
c:start_all()
local leader = c:wait_leader()
check(c:apply(leader, "plans", cluster.plans).status == 200, "first plans")
c:wait_revision(1)

-- Voters are entries 1 to 3: the left half has one of them, the right half two.
local left = {c.entries[1], c.entries[4], c.entries[5]}
local right = {c.entries[2], c.entries[3], c.entries[6]}
c:cut(left, right)

local function edit(side, deadline)
    return cluster.plans:gsub("default_deadline_ms = 3000", "default_deadline_ms = " .. deadline)
end

local right_answer
section("the half with a quorum accepts one change of revision 1", function()
    local right_leader = c:wait_leader(15000, right)
    right_answer = c:apply(right_leader, "plans", edit("right", 3300), {expected = 1, change = "right", operator = 2})
    check(right_answer.status == 200, "right: %d %s", right_answer.status, right_answer.body)
end)

section("the half without a quorum accepts nothing, on any instance, and says so", function()
    for _, entry in ipairs(left) do
        local answer = c:apply(entry, "plans", edit("left", 3100), {expected = 1, change = "left", operator = 1})
        check(answer.status == 503, "%s: %d %s", entry.name, answer.status, answer.body)
        local outcome = answer.headers["dandelionloom-outcome"]
        check(outcome == "not-run" or outcome == "unknown", "%s: outcome %s", entry.name, tostring(outcome))
    end
end)

section("after healing everyone has the accepted change", function()
    c:heal()
    c:wait_revision(2)
    for _, entry in ipairs(c.entries) do
        local list = c:operator_call(entry, "GET", "/v1/plans", "", {["Accept"] = "application/toml"})
        check(list.body:find("3300", 1, true), "%s: %s", entry.name, list.body)
    end
end)

section("the loser's resend is a clear conflict or gets its first answer; the winner's its own", function()
    local loser = c:apply(c.entries[4], "plans", edit("left", 3100), {expected = 1, change = "left", operator = 1})
    check(loser.status == 412, "loser: %d %s", loser.status, loser.body)
    local winner = c:apply(c.entries[5], "plans", edit("right", 3300), {expected = 1, change = "right", operator = 2})
    check(winner.status == 200, "winner: %d %s", winner.status, winner.body)
    local status = c:status(c.entries[1])
    check(status.revision == 2, "a resend changed the lists: revision %d", status.revision)
end)
