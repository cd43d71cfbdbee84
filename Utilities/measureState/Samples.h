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

/// Instances of 64 pools in 15 availability zones, four to a rack.
Fleet sampleFleet(std::size_t instances, std::mt19937_64 &random);

/// One plan and one allowance for each team; the services are the pools of sampleFleet().
Lists sampleLists(std::size_t plans, std::mt19937_64 &random);

ApplyList allowancesChange(const Lists &lists, std::uint64_t number, std::mt19937_64 &random);

/// Claims with unused keys, in the size that a gateway sends.
ClaimRequests claimBatch(std::size_t claims, std::uint64_t firstNumber, std::mt19937_64 &random);

/// Settlements of a batch with a kept answer body of `bodyBytes`.
SettleRequests settleBatch(const ClaimRequests &batch, std::size_t bodyBytes);

/// A snapshot document with the given lists and fleet. RegisterInstance copies the fleet, so that
/// 22,000 of them would take minutes.
std::string sampleSnapshot(const Lists &lists, const Fleet &fleet);

Command commandOf(CommandBody body);

} // namespace dandelionloom::measure
