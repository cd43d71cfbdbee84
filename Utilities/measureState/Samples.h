#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "State/Commands.h"

namespace dandelionloom::measure {

inline constexpr const char *sampleGroup = "region-1";
inline constexpr std::int64_t sampleTimeMs = 1'800'000'000'000;

/// Builds instances of 64 pools in 15 availability zones, with four instances in each rack.
Fleet sampleFleet(std::size_t instances, std::mt19937_64 &random);

/// Builds a plan and an allowance for each team; the services are the pools of sampleFleet().
Lists sampleLists(std::size_t plans, std::mt19937_64 &random);

/// Builds a change that replaces the slots of one random allowance.
ApplyList sampleAllowancesChange(const Lists &lists, std::uint64_t number, std::mt19937_64 &random);

/// Builds claims with unused keys and the field sizes of those that gateways send.
ClaimRequests sampleClaims(std::size_t claims, std::uint64_t firstNumber, std::mt19937_64 &random);

/// Settles the claims with stored response bodies of `bodyBytes`.
SettleRequests sampleSettlements(const ClaimRequests &batch, std::size_t bodyBytes);

/// Encodes a snapshot with the given lists and fleet. Restoring it replaces 22,000 RegisterInstance
/// commands, which would take minutes as each copies the fleet.
std::string sampleSnapshot(const Lists &lists, const Fleet &fleet);

Command commandOf(CommandBody body);

} // namespace dandelionloom::measure
