-- Guards against two accepted versions of a list: a partition splits the cluster into halves of three
-- entry instances, and operators on both sides edit the same revision and resend after lost responses.

local cluster = require "cluster"
local c = cluster.new {zones = 3, entries = 6, voters = 3, relays = true}
c:start_all()
local leader = c:wait_leader()
check(c:apply_list(leader, "plans", cluster.plans).status == 200, "first plans")
c:wait_revision(1)

-- Voters are entries 1 to 3: the left half has one of them, the right half two.
local left = {c.entries[1], c.entries[4], c.entries[5]}
local right = {c.entries[2], c.entries[3], c.entries[6]}
c:partition(left, right)

local function edited_plans(side, deadline)
    return cluster.plans:gsub("default_deadline_ms = 3000", "default_deadline_ms = " .. deadline)
end

local right_response
section("the half with a quorum accepts one change of revision 1", function()
    local right_leader = c:wait_leader(15000, right)
    right_response = c:apply_list(right_leader, "plans", edited_plans("right", 3300),
        {expected = 1, change = "right", operator = 2})
    check(right_response.status == 200, "right: %d %s", right_response.status, right_response.body)
end)

section("every instance of the half without a quorum refuses the change and reports the outcome", function()
    for _, entry in ipairs(left) do
        local response = c:apply_list(entry, "plans", edited_plans("left", 3100), {expected = 1, change = "left", operator = 1})
        check(response.status == 503, "%s: %d %s", entry.name, response.status, response.body)
        local outcome = response.headers["dandelionloom-outcome"]
        check(outcome == "not-run" or outcome == "unknown", "%s: outcome %s", entry.name, tostring(outcome))
    end
end)

section("after the partition heals, every entry instance has the accepted change", function()
    c:heal()
    c:wait_revision(2)
    for _, entry in ipairs(c.entries) do
        local list = c:operator_request(entry, "GET", "/v1/plans", "", {["Accept"] = "application/toml"})
        check(list.body:find("3300", 1, true), "%s: %s", entry.name, list.body)
    end
end)

section("the resend of the refused change is a conflict, that of the accepted change succeeds", function()
    local refused = c:apply_list(c.entries[4], "plans", edited_plans("left", 3100),
        {expected = 1, change = "left", operator = 1})
    check(refused.status == 412, "refused change: %d %s", refused.status, refused.body)
    local accepted = c:apply_list(c.entries[5], "plans", edited_plans("right", 3300),
        {expected = 1, change = "right", operator = 2})
    check(accepted.status == 200, "accepted change: %d %s", accepted.status, accepted.body)
    local status = c:status(c.entries[1])
    check(status.revision == 2, "a resend changed the lists: revision %d", status.revision)
end)
