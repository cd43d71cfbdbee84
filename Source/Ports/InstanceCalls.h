#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Model/EnumNames.h"
#include "Model/Result.h"
#include "Scheduling/JobTypes.h"

namespace dandelionloom {

enum class InstanceState { InService, Moving, Maintenance, Down };
inline constexpr EnumNames<InstanceState, 4> instanceStateNames{
        {"in-service", "moving", "maintenance", "down"}};

/// An instance as its provider lists it.
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
    /// It may have been carried out.
    NoAnswer,
    NotSent,
    /// A higher fence was used for the instance.
    Fenced,
    /// Not in service, or leaving.
    Busy,
    NotOfWave,
    /// There is no such instance, or the pool takes other instances.
    Invalid,
    /// More calls than the provider takes.
    Throttled
};
inline constexpr EnumNames<InstanceFault, 7> instanceFaultNames{
        {"no-answer", "not-sent", "fenced", "busy", "not-of-wave", "invalid", "throttled"}};

/// Who orders, with the fence that orders for one instance are checked by.
struct OrderAuthority
{
    std::string holder;
    std::uint64_t fence = 0;
};

/// Calls to the provider of the instances. Callbacks run on the caller's event loop, once each.
class InstanceCalls
{
public:
    using Listed = std::function<void(Result<std::vector<ListedInstance>, InstanceFault>)>;
    using Ordered = std::function<void(std::optional<InstanceFault>)>;

    virtual ~InstanceCalls() = default;

    virtual void list(Listed done) = 0;
    /// What runs on the instance ends at once; a new worker joins the pool later.
    virtual void beginMaintenance(const std::string &instance, std::uint64_t wave,
                                  const OrderAuthority &authority, Ordered done) = 0;
    virtual void move(const std::string &instance, const std::string &pool,
                      const OrderAuthority &authority, Ordered done) = 0;
};

} // namespace dandelionloom
