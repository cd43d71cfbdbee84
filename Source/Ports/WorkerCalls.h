#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Model/Result.h"
#include "Scheduling/DispatchTypes.h"

namespace dandelionloom {

/// Client of the workers and of the advice service. `fence` is the term of the leader that issued
/// the order; the worker gets fencingToken() of it and the order's generation. Each callback runs
/// exactly once, on the caller's event loop.
class WorkerCalls
{
public:
    using RenewCallback = std::function<void(Result<RenewAnswer, CallFault>)>;
    using OrderCallback = std::function<void(std::optional<CallFault>)>;
    /// Tickets by worker id; none if the service did not respond.
    using AdviseCallback = std::function<void(std::optional<std::map<std::string, std::string>>)>;

    virtual ~WorkerCalls() = default;

    virtual void renew(const RenewOrder &order, std::uint64_t fence, RenewCallback done) = 0;
    virtual void start(const StartOrder &order, std::uint64_t fence, OrderCallback done) = 0;
    virtual void stop(const StopOrder &order, std::uint64_t fence, OrderCallback done) = 0;
    virtual void pace(const PaceOrder &order, std::uint64_t fence, OrderCallback done) = 0;
    virtual void advise(const AdviceOrder &order, AdviseCallback done) = 0;
};

} // namespace dandelionloom
