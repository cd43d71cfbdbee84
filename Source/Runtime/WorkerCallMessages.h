#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Model/EnumNames.h"
#include "Scheduling/DispatchTypes.h"

namespace dandelionloom {

/// An order with the number under which its result is returned.
template <typename Order>
struct NumberedOrder
{
    std::uint64_t call = 0;
    Order order;

    MSGPACK_DEFINE_ARRAY(call, order)
};

/// Body of PeerMessageKind::WorkerCalls. A batch without orders only asks whether the relay
/// responds.
struct WorkerCallBatch
{
    /// Term of the leader that issued the orders.
    std::uint64_t term = 0;
    std::vector<NumberedOrder<RenewOrder>> renewals;
    std::vector<NumberedOrder<StartOrder>> starts;
    std::vector<NumberedOrder<StopOrder>> stops;
    std::vector<NumberedOrder<PaceOrder>> paces;
    /// The leader's process. Each numbers its calls from 1.
    std::uint64_t process = 0;

    bool isEmpty() const
    {
        return renewals.empty() && starts.empty() && stops.empty() && paces.empty();
    }
    MSGPACK_DEFINE_ARRAY(term, renewals, starts, stops, paces, process)
};

/// How a relay received a batch. Enumerators are encoded as integers, so new ones must be appended.
enum class WorkerCallReceipt {
    /// The calls are on their way; their results follow in WorkerCallResults.
    Accepted,
    /// The relay has orders of a later leader. Nothing was sent.
    OldTerm,
    /// The relay was paused or overloaded after it had received the batch. Nothing was sent.
    Stale,
    /// Nothing was sent.
    Unreadable,
    /// The relay's results don't reach the leader. Nothing was sent.
    NoReturnPath
};
inline constexpr EnumNames<WorkerCallReceipt, 5> workerCallReceiptNames{
        {"accepted", "old-term", "stale", "unreadable", "no-return-path"}};

/// Answer to PeerMessageKind::WorkerCalls.
struct WorkerCallAck
{
    WorkerCallReceipt receipt = WorkerCallReceipt::Accepted;
    /// Availability zone of the relay.
    std::string availabilityZone;

    MSGPACK_DEFINE_ARRAY(receipt, availabilityZone)
};

struct OrderResult
{
    std::uint64_t call = 0;
    std::optional<CallFault> fault;

    MSGPACK_DEFINE_ARRAY(call, fault)
};

struct RenewResult
{
    std::uint64_t call = 0;
    std::optional<CallFault> fault;
    /// Valid if there is no fault.
    RenewAnswer answer;

    MSGPACK_DEFINE_ARRAY(call, fault, answer)
};

/// Body of PeerMessageKind::WorkerCallResults. A message without results only asks whether the
/// leader can be reached.
struct WorkerCallResults
{
    std::vector<OrderResult> orders;
    std::vector<RenewResult> renewals;
    /// WorkerCallBatch::process of the calls.
    std::uint64_t process = 0;

    bool isEmpty() const { return orders.empty() && renewals.empty(); }
    MSGPACK_DEFINE_ARRAY(orders, renewals, process)
};

} // namespace dandelionloom

MSGPACK_ADD_ENUM(dandelionloom::WorkerCallReceipt)
