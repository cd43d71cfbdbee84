#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "Model/EnumNames.h"

namespace dandelionloom {

enum class Urgency { Urgent, Normal, Batch };
inline constexpr EnumNames<Urgency, 3> urgencyNames{{"urgent", "normal", "batch"}};

enum class ListKind { Plans, Allowances };
inline constexpr EnumNames<ListKind, 2> listKindNames{{"plans", "allowances"}};

/// One customer's plan: the service it calls and its guaranteed availability. The pool of a service
/// has the same name as the service.
struct Plan
{
    std::string id;
    std::string customer;
    std::string service;
    Urgency urgency = Urgency::Normal;
    /// Minimum number of healthy instances in the service's pool at any time.
    std::uint32_t minHealthyInstances = 1;
    /// Availability budget: number of instances in the pool that may be unavailable at the same
    /// time for planned and unplanned reasons together. Planned operations never exceed it.
    std::uint32_t maxUnavailableInstances = 1;
    /// Default deadline of a request, in milliseconds.
    std::uint32_t defaultDeadlineMs = 5000;

    bool operator==(const Plan &) const = default;
    MSGPACK_DEFINE_ARRAY(id, customer, service, urgency, minHealthyInstances,
                         maxUnavailableInstances, defaultDeadlineMs)
};

/// Resource quota of one plan.
struct Allowance
{
    std::string plan;
    /// Maximum number of instances that may serve the plan.
    std::uint32_t maxInstances = 1;
    /// Maximum number of concurrent requests of the plan in the whole region.
    std::uint32_t slots = 8;
    /// Maximum sustained request rate in the whole region.
    std::uint32_t requestsPerSecond = 100;
    /// Share of contended capacity relative to other plans.
    std::uint32_t weight = 1;
    std::uint32_t accelerators = 0;

    bool operator==(const Allowance &) const = default;
    MSGPACK_DEFINE_ARRAY(plan, maxInstances, slots, requestsPerSecond, weight, accelerators)
};

/// Consistent version of both lists. `revision` counts changes of either list; each list also has
/// the revision of its own last change, which is its ETag.
struct Lists
{
    std::uint64_t revision = 0;
    std::uint64_t plansRevision = 0;
    std::uint64_t allowancesRevision = 0;
    std::map<std::string, Plan> plans;
    std::map<std::string, Allowance> allowances;

    bool operator==(const Lists &) const = default;
    MSGPACK_DEFINE_ARRAY(revision, plansRevision, allowancesRevision, plans, allowances)
};

/// One accepted list change, retained for `plans history`.
struct ListChange
{
    std::uint64_t revision = 0;
    ListKind kind = ListKind::Plans;
    std::string changeId;
    std::string operatorName;
    std::int64_t acceptedAtMs = 0;
    std::uint32_t entries = 0;

    bool operator==(const ListChange &) const = default;
    MSGPACK_DEFINE_ARRAY(revision, kind, changeId, operatorName, acceptedAtMs, entries)
};

} // namespace dandelionloom

MSGPACK_ADD_ENUM(dandelionloom::Urgency)
MSGPACK_ADD_ENUM(dandelionloom::ListKind)
