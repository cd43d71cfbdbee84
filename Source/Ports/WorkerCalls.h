#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Model/Result.h"
#include "Scheduling/DispatchTypes.h"

namespace dandelionloom {

/// Orders to workers and questions to the advice service. Every order carries the fence of the
/// leader that gave it. Callbacks run on the caller's event loop, once each.
class WorkerCalls
{
public:
    using Renewed = std::function<void(Result<RenewAnswer, CallFault>)>;
    using Ordered = std::function<void(std::optional<CallFault>)>;
    /// Tickets by worker id; none if the service gave no answer.
    using Advised = std::function<void(std::optional<std::map<std::string, std::string>>)>;

    virtual ~WorkerCalls() = default;

    virtual void renew(const RenewOrder &order, std::uint64_t fence, Renewed done) = 0;
    virtual void start(const StartOrder &order, std::uint64_t fence, Ordered done) = 0;
    virtual void stop(const StopOrder &order, std::uint64_t fence, Ordered done) = 0;
    virtual void pace(const PaceOrder &order, std::uint64_t fence, Ordered done) = 0;
    virtual void advise(const AdviceOrder &order, Advised done) = 0;
};

} // namespace dandelionloom
