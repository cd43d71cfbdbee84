#include "Consensus/RaftSimulation.h"

#include <algorithm>
#include <stdexcept>

namespace dandelionloom::test {

namespace {

/// Small, so that batches and snapshots are split into several messages.
constexpr std::size_t batchBytes = 64;

/// Raft's log matching property: if both logs have an entry with the same index and term, they are
/// identical up to that entry.
bool areLogsConsistent(const RaftLog &left, const RaftLog &right)
{
    const std::uint64_t first = std::max(left.baseIndex(), right.baseIndex()) + 1;
    bool matched = false;
    for (std::uint64_t index = std::min(left.lastIndex(), right.lastIndex()); index >= first;
         --index) {
        const bool same = left.at(index).term == right.at(index).term;
        if ((same && left.at(index) != right.at(index)) || (!same && matched)) {
            return false;
        }
        matched = matched || same;
    }
    return true;
}

} // namespace

RaftSimulation::RaftSimulation(std::size_t nodes, std::uint64_t seed, std::optional<Group> group)
    : m_seed(seed), m_group(group), m_random(seed), m_nodes(nodes)
{
    for (std::size_t index = 0; index < nodes; ++index) {
        m_nodes[index].name = std::string(1, static_cast<char>('a' + index));
        // Monotonic clocks of different machines are unrelated.
        m_nodes[index].clockOffset = static_cast<std::int64_t>(m_random() % 500000);
    }
    for (Node &node : m_nodes) {
        start(node);
    }
}

void RaftSimulation::start(Node &node)
{
    RaftOptions options;
    options.self = idOf(node);
    for (const Node &other : m_nodes) {
        if (!m_group || options.voterNames.size() < m_group->seeds) {
            options.voterNames.push_back(other.name);
        }
    }
    if (m_group) {
        options.targetVoters = m_group->targetVoters;
        options.mayBootstrap = !node.startedBefore;
        node.addresses = {options.voterNames.begin(), options.voterNames.end()};
    }
    node.startedBefore = true;
    options.maxBatchBytes = batchBytes;
    options.seed = m_random();
    node.applied.clear();
    node.appliedIndex = 0;
    node.reads.clear();
    node.suspended = false;
    if (node.snapshot) {
        for (const auto &[index, entry] : m_committed) {
            if (index <= node.snapshot->lastIndex) {
                node.applied.push_back(entry.payload);
            }
        }
        node.appliedIndex = node.snapshot->lastIndex;
    }
    node.raft = std::make_unique<Raft>(options, node.hardState, node.snapshot, node.entries,
                                       clockOf(node));
}

void RaftSimulation::crash(std::size_t node)
{
    m_nodes[node].raft.reset();
    m_nodes[node].suspended = false;
}

void RaftSimulation::restart(std::size_t node)
{
    start(m_nodes[node]);
}

void RaftSimulation::loseDisk(std::size_t node)
{
    crash(node);
    Node &lost = m_nodes[node];
    ++lost.disk;
    ++m_lostDisks;
    lost.hardState = {};
    lost.snapshot.reset();
    lost.entries.clear();
    start(lost);
}

void RaftSimulation::depart(std::size_t node)
{
    m_nodes[node].raft->depart(clockOf(m_nodes[node]));
}

void RaftSimulation::suspend(std::size_t node)
{
    m_nodes[node].suspended = true;
}

void RaftSimulation::resume(std::size_t node)
{
    m_nodes[node].suspended = false;
}

void RaftSimulation::setDiskFull(std::size_t node, bool full)
{
    m_nodes[node].diskFull = full;
}

void RaftSimulation::cut(std::size_t from, std::size_t to)
{
    m_cut.emplace(from, to);
}

void RaftSimulation::cutBoth(std::size_t left, std::size_t right)
{
    cut(left, right);
    cut(right, left);
}

void RaftSimulation::isolate(std::size_t node)
{
    for (std::size_t other = 0; other < size(); ++other) {
        cutBoth(node, other);
    }
}

void RaftSimulation::heal()
{
    m_cut.clear();
}

std::optional<LogPosition> RaftSimulation::propose(std::size_t node, const std::string &value)
{
    if (!isUp(node) || isSuspended(node)) {
        return std::nullopt;
    }
    return m_nodes[node].raft->propose(value);
}

void RaftSimulation::read(std::size_t node)
{
    if (!isUp(node) || isSuspended(node)) {
        return;
    }
    Node &reader = m_nodes[node];
    const auto id = reader.raft->startRead(clockOf(reader));
    if (id) {
        reader.reads[*id] = m_committed.empty() ? 0 : m_committed.rbegin()->first;
    }
}

void RaftSimulation::run(std::int64_t milliseconds)
{
    for (const std::int64_t end = m_now + milliseconds; m_now < end;) {
        ++m_now;
        while (!m_deliveries.empty() && m_deliveries.begin()->first <= m_now) {
            const Delivery delivery = std::move(m_deliveries.begin()->second);
            m_deliveries.erase(m_deliveries.begin());
            Node &receiver = m_nodes[delivery.to];
            if (!receiver.raft) {
                continue;
            }
            if (receiver.suspended) {
                m_deliveries.emplace(m_now + 1, delivery);
                continue;
            }
            receiver.raft->receive(delivery.message, clockOf(receiver));
        }
        for (std::size_t index = 0; index < size(); ++index) {
            Node &node = m_nodes[index];
            if (node.raft && !node.suspended) {
                node.raft->tick(clockOf(node));
                processOutput(index);
            }
        }
        if (m_now % 50 == 0) {
            checkLogs();
        }
    }
}

void RaftSimulation::processOutput(std::size_t index)
{
    Node &node = m_nodes[index];
    for (bool again = true; again;) {
        updateAddresses(node);
        const RaftOutput output = node.raft->takeOutput();
        again = output.needsSync();
        send(index, output.messages);
        const bool crashes = again && randomFraction() < crashInSyncProbability;
        if (again && !writeToDisk(node, output, crashes)) {
            if (crashes) {
                crash(index);
            } else {
                node.raft->syncFailed(clockOf(node));
            }
            return;
        }
        const RaftSyncedOutput released = node.raft->synced(clockOf(node));
        send(index, released.messages);
        applySyncedOutput(node, released);
    }
    checkLeaders(index);
    checkContact(index);
    compact(node);
}

bool RaftSimulation::writeToDisk(Node &node, const RaftOutput &output, bool crash)
{
    // After a crash only a prefix of the writes, and of the entries, is on disk.
    const std::size_t writes = crash ? randomIndex(3) : 3;
    if (node.diskFull) {
        return false;
    }
    if (writes > 0 && output.hardState) {
        node.hardState = *output.hardState;
    }
    if (writes > 1 && output.snapshot) {
        node.snapshot = output.snapshot;
        std::erase_if(node.entries, [&](const LogEntry &entry) {
            return entry.index <= output.snapshot->lastIndex;
        });
    }
    const std::size_t count = writes > 2            ? output.entries.size()
            : writes > 1 && !output.entries.empty() ? randomIndex(output.entries.size())
                                                    : 0;
    if (count > 0) {
        std::erase_if(node.entries, [&](const LogEntry &entry) {
            return entry.index >= output.entries.front().index;
        });
        node.entries.insert(node.entries.end(), output.entries.begin(),
                            output.entries.begin() + static_cast<std::ptrdiff_t>(count));
    }
    return !crash;
}

void RaftSimulation::applySyncedOutput(Node &node, const RaftSyncedOutput &released)
{
    if (released.restored) {
        if (released.restored->lastIndex <= node.appliedIndex) {
            reportViolation(node.name + " restored a snapshot that is not newer than its state");
        }
        std::string expected;
        node.applied.clear();
        for (const auto &[index, entry] : m_committed) {
            if (index <= released.restored->lastIndex) {
                node.applied.push_back(entry.payload);
                expected += entry.payload + ",";
            }
        }
        if (released.restored->state != expected) {
            reportViolation(node.name
                            + " got a state by snapshot that differs from the committed one");
        }
        node.appliedIndex = released.restored->lastIndex;
    }
    for (const LogEntry &entry : released.committed) {
        applyEntry(node, entry);
    }
    for (const ConfirmedRead &read : released.reads) {
        const auto found = node.reads.find(read.id);
        if (found != node.reads.end() && read.index) {
            ++m_confirmedReads;
            if (*read.index < found->second) {
                reportViolation(node.name + " confirmed a stale read at index "
                                + std::to_string(*read.index) + ", expected at least entry "
                                + std::to_string(found->second));
            }
        }
        node.reads.erase(read.id);
    }
}

void RaftSimulation::applyEntry(Node &node, const LogEntry &entry)
{
    // Only the parts of a command are not applied by themselves.
    std::uint64_t next = node.appliedIndex + 1;
    while (next < entry.index && node.raft->log().at(next).kind == commandPartEntryKind) {
        ++next;
    }
    if (entry.index != next) {
        reportViolation(node.name + " applied entry " + std::to_string(entry.index) + " after "
                        + std::to_string(node.appliedIndex));
    }
    const auto [known, added] = m_committed.emplace(entry.index, entry);
    if (!added && known->second != entry) {
        reportViolation(node.name + " committed a different entry " + std::to_string(entry.index)
                        + ": term " + std::to_string(entry.term) + " and term "
                        + std::to_string(known->second.term));
    }
    if (added) {
        m_commitTimes.emplace_back(m_now, entry.index);
    }
    node.appliedIndex = entry.index;
    node.applied.push_back(entry.payload);
}

void RaftSimulation::compact(Node &node)
{
    const std::uint64_t last = node.snapshot ? node.snapshot->lastIndex : 0;
    if (compactEntries == 0 || node.appliedIndex < last + compactEntries) {
        return;
    }
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->lastIndex = node.appliedIndex;
    snapshot->lastTerm = node.raft->log().termAt(node.appliedIndex).value_or(0);
    snapshot->voters = node.raft->log().votersAt(node.appliedIndex);
    for (const std::string &value : node.applied) {
        snapshot->state += value + ",";
    }
    std::erase_if(node.entries,
                  [&](const LogEntry &entry) { return entry.index <= node.appliedIndex; });
    node.snapshot = snapshot;
    node.raft->setSnapshot(snapshot,
                           node.appliedIndex - std::min<std::uint64_t>(5, randomIndex(6)));
}

void RaftSimulation::send(std::size_t from, const std::vector<RaftMessage> &messages)
{
    for (const RaftMessage &message : messages) {
        const std::size_t to = indexOf(message.to.name);
        if (m_group && !isResponse(message.kind)
            && !m_nodes[from].addresses.contains(message.to.name)) {
            continue;
        }
        std::size_t bytes = message.data.size();
        for (const LogEntry &entry : message.entries) {
            bytes += entry.payload.size();
        }
        if (bytes > batchBytes && message.entries.size() != 1) {
            reportViolation("message of " + std::to_string(bytes)
                            + " bytes exceeds the batch limit");
        }
        if (network.maxMessageBytes != 0 && bytes > network.maxMessageBytes) {
            continue;
        }
        if (m_cut.contains({from, to}) || randomFraction() < network.dropProbability) {
            continue;
        }
        // Covers the wire format, too.
        const auto decoded = decodeRaftMessage(encodeRaftMessage(message));
        const std::size_t copies = randomFraction() < network.duplicateProbability ? 2 : 1;
        for (std::size_t copy = 0; copy < copies; ++copy) {
            const auto delay = std::uniform_int_distribution<std::int64_t>(
                    network.minDelayMs, network.maxDelayMs)(m_random);
            m_deliveries.emplace(m_now + delay, Delivery{to, valueOf(decoded)});
        }
    }
}

std::size_t RaftSimulation::indexOf(const std::string &name) const
{
    return static_cast<std::size_t>(name.front() - 'a');
}

std::optional<std::size_t> RaftSimulation::leader() const
{
    std::optional<std::size_t> result;
    for (std::size_t index = 0; index < size(); ++index) {
        if (isUp(index) && raft(index).role() == RaftRole::Leader
            && (!result || raft(index).term() > raft(*result).term())) {
            result = index;
        }
    }
    return result;
}

bool RaftSimulation::isCommitted(const std::string &value) const
{
    return std::any_of(m_committed.begin(), m_committed.end(),
                       [&](const auto &item) { return item.second.payload == value; });
}

std::size_t RaftSimulation::waitForLeader(std::int64_t limit)
{
    runUntil("a leader", limit, [&] {
        const auto found = leader();
        return found && !isSuspended(*found) && raft(*found).contact(clockOf(m_nodes[*found]));
    });
    return *leader();
}

void RaftSimulation::waitForConvergence()
{
    const std::string value = "settled-" + std::to_string(++m_convergenceMarkers);
    std::optional<LogPosition> position;
    runUntil("equal state on all nodes", 60000, [&] {
        if (m_now % 500 == 0) {
            if (const auto found = leader()) {
                position = propose(*found, value);
            }
        }
        if (!position) {
            return false;
        }
        for (std::size_t index = 0; index < size(); ++index) {
            if (!isUp(index)) {
                continue;
            }
            const std::vector<std::string> &values = applied(index);
            if (values != applied(*leader())
                || std::find(values.begin(), values.end(), value) == values.end()) {
                return false;
            }
        }
        return true;
    });
    checkLogs();
}

bool RaftSimulation::allAdmitted() const
{
    for (const Node &node : m_nodes) {
        if (!node.raft || node.raft->log().votersIndex() > node.appliedIndex
            || node.raft->voters().size() != size()) {
            return false;
        }
        for (const Node &other : m_nodes) {
            const auto &voters = node.raft->voters();
            if (std::find(voters.begin(), voters.end(), idOf(other)) == voters.end()) {
                return false;
            }
        }
    }
    return true;
}

bool RaftSimulation::isCurrentVoter(std::size_t node) const
{
    const auto found = leader();
    if (!found) {
        return false;
    }
    const std::vector<VoterId> &voters = raft(*found).voters();
    return std::find(voters.begin(), voters.end(), idOf(m_nodes[node])) != voters.end();
}

bool RaftSimulation::allInGroup() const
{
    const auto found = leader();
    if (!found || raft(*found).log().votersIndex() > raft(*found).commitIndex()) {
        return false;
    }
    std::size_t voters = 0;
    for (std::size_t index = 0; index < size(); ++index) {
        if (!isUp(index)) {
            continue;
        }
        if (raft(index).leader() != m_nodes[*found].name
            || !raft(index).hasLeader(clockOf(m_nodes[index]))) {
            return false;
        }
        voters += isCurrentVoter(index) ? 1 : 0;
    }
    return voters == m_group->targetVoters && raft(*found).voters().size() == voters;
}

std::size_t RaftSimulation::tolerance() const
{
    std::size_t least = size();
    for (std::size_t index = 0; index < size(); ++index) {
        if (!isUp(index) || !raft(index).isVoter()) {
            continue;
        }
        const std::vector<VoterId> &voters = raft(index).voters();
        const auto running = std::count_if(m_nodes.begin(), m_nodes.end(), [&](const Node &node) {
            return node.raft && std::find(voters.begin(), voters.end(), idOf(node)) != voters.end();
        });
        const std::size_t quorum = voters.size() / 2 + 1;
        const auto spare = static_cast<std::size_t>(running);
        least = std::min(least, spare < quorum ? 0 : spare - quorum);
    }
    return least;
}

void RaftSimulation::updateAddresses(Node &node)
{
    for (const std::string &name : node.raft->takeNewPeers()) {
        node.addresses.insert(name);
    }
    for (const VoterId &voter : node.raft->voters()) {
        node.addresses.insert(voter.name);
    }
    if (!node.raft->leader().empty()) {
        node.addresses.insert(node.raft->leader());
    }
}

void RaftSimulation::checkLeaders(std::size_t index)
{
    const Node &node = m_nodes[index];
    if (node.raft->role() != RaftRole::Leader) {
        return;
    }
    const std::string id = idOf(node).storageId;
    const auto [known, added] = m_leaders.emplace(node.raft->term(), id);
    if (!added && known->second != id) {
        reportViolation("two leaders of term " + std::to_string(node.raft->term()) + ": "
                        + known->second + " and " + id);
    }
}

void RaftSimulation::checkContact(std::size_t index)
{
    const Node &node = m_nodes[index];
    const auto contact = node.raft->contact(clockOf(node));
    if (!contact) {
        return;
    }
    const std::int64_t at = contact->at - node.clockOffset;
    if (at > m_now) {
        reportViolation(node.name + " reported a quorum contact in the future");
    }
    const auto behind = std::partition_point(m_commitTimes.begin(), m_commitTimes.end(),
                                             [&](const auto &item) { return item.first < at; });
    if (behind != m_commitTimes.begin() && std::prev(behind)->second > contact->commit) {
        reportViolation(node.name
                        + " reported a quorum contact whose commit index does not cover entry "
                        + std::to_string(std::prev(behind)->second));
    }
}

void RaftSimulation::checkLogs() const
{
    for (std::size_t left = 0; left < size(); ++left) {
        for (std::size_t right = left + 1; right < size(); ++right) {
            if (isUp(left) && isUp(right)
                && !areLogsConsistent(raft(left).log(), raft(right).log())) {
                reportViolation("the logs of " + m_nodes[left].name + " and " + m_nodes[right].name
                                + " do not match");
            }
        }
    }
}

void RaftSimulation::reportViolation(const std::string &what) const
{
    throw std::runtime_error("seed " + std::to_string(m_seed) + ", at "
                             + std::to_string(m_now - 1000000) + " ms: " + what);
}

} // namespace dandelionloom::test
