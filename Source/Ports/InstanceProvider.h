#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Model/EnumNames.h"
#include "Model/Result.h"
#include "Model/Time.h"
#include "Scheduling/JobTypes.h"

namespace dandelionloom {

enum class InstanceState { InService, Moving, Maintenance, Down };
inline constexpr EnumNames<InstanceState, 4> instanceStateNames{
        {"in-service", "moving", "maintenance", "down"}};

/// Age at which a listing no longer shows which worker an instance has: it may have moved, been
/// maintained or restarted since.
inline constexpr std::int64_t maxListAgeMs = 3000;

/// An instance as reported by its provider.
struct ListedInstance
{
    std::string instance;
    std::string pool;
    InstanceState state = InstanceState::InService;
    std::string availabilityZone;
    /// Id of the worker that runs on it; empty if there is none.
    std::string worker;
    TaskResources capacity;
};

enum class InstanceFault {
    /// No response; the order may have been executed.
    NoAnswer,
    NotSent,
    /// The provider has seen a higher fencing token for the instance.
    Fenced,
    /// The instance is not in service, or is leaving.
    Busy,
    NotOfWave,
    /// The instance does not exist, or is not suitable for the pool.
    Invalid,
    /// The provider's rate limit was exceeded.
    Throttled
};
inline constexpr EnumNames<InstanceFault, 7> instanceFaultNames{
        {"no-answer", "not-sent", "fenced", "busy", "not-of-wave", "invalid", "throttled"}};

/// Issuer of an order, with its fencing token. The provider checks the token per instance, so it
/// accepts that of an earlier leader until a later one has ordered something for the instance.
struct OrderAuthority
{
    std::string holder;
    std::uint64_t fence = 0;
    /// End of the issuer's lease. An order must not be sent after it: another leader may use the
    /// instance by then.
    SteadyTimeMs validUntil = 0;
};

/// Client of the provider that owns the instances. Each callback runs exactly once, on the caller's
/// event loop.
class InstanceProvider
{
public:
    using ListCallback = std::function<void(Result<std::vector<ListedInstance>, InstanceFault>)>;
    using OrderCallback = std::function<void(std::optional<InstanceFault>)>;

    virtual ~InstanceProvider() = default;

    virtual void list(ListCallback done) = 0;
    /// Everything that runs on the instance ends immediately. A new worker joins the pool after the
    /// maintenance.
    virtual void beginMaintenance(const std::string &instance, std::uint64_t wave,
                                  const OrderAuthority &authority, OrderCallback done) = 0;
    virtual void move(const std::string &instance, const std::string &pool,
                      const OrderAuthority &authority, OrderCallback done) = 0;
};

} // namespace dandelionloom
