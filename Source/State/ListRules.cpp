#include "State/ListRules.h"

#include <algorithm>

namespace dandelionloom {

namespace {

constexpr std::size_t maxNameLength = 128;
constexpr std::uint32_t maxDeadlineMs = 24U * 60 * 60 * 1000;
constexpr std::uint32_t maxSlots = 1000000;

bool isValidName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameLength
            && std::all_of(text.begin(), text.end(), [](char character) {
                   return (character >= 'a' && character <= 'z')
                           || (character >= 'A' && character <= 'Z')
                           || (character >= '0' && character <= '9') || character == '-'
                           || character == '_' || character == '.';
               });
}

std::string invalidNameMessage(const std::string &entry, const std::string &field,
                               const std::string &found)
{
    return entry + ": expected a " + field + " of 1 to " + std::to_string(maxNameLength)
            + " letters, digits, '-', '_' or '.', found '" + found + "'";
}

std::string outOfRangeMessage(const std::string &entry, const std::string &field, std::uint64_t low,
                              std::uint64_t high, std::uint64_t found)
{
    return entry + ": expected " + field + " from " + std::to_string(low) + " to "
            + std::to_string(high) + ", found " + std::to_string(found);
}

std::string validationErrorOf(const Plan &plan)
{
    const std::string entry = "plan '" + plan.id + "'";
    if (!isValidName(plan.id)) {
        return invalidNameMessage(entry, "id", plan.id);
    }
    if (!isValidName(plan.service) || plan.service == "spare") {
        return invalidNameMessage(entry, "service other than 'spare'", plan.service);
    }
    if (plan.maxUnavailableInstances < 1) {
        return outOfRangeMessage(entry, "max_unavailable_instances", 1, 1000000,
                                 plan.maxUnavailableInstances);
    }
    if (plan.defaultDeadlineMs < 1 || plan.defaultDeadlineMs > maxDeadlineMs) {
        return outOfRangeMessage(entry, "default_deadline_ms", 1, maxDeadlineMs,
                                 plan.defaultDeadlineMs);
    }
    return {};
}

std::string validationErrorOf(const Allowance &allowance)
{
    const std::string entry = "allowance of plan '" + allowance.plan + "'";
    if (allowance.slots < 1 || allowance.slots > maxSlots) {
        return outOfRangeMessage(entry, "slots", 1, maxSlots, allowance.slots);
    }
    if (allowance.requestsPerSecond < 1) {
        return outOfRangeMessage(entry, "requests_per_second", 1, 1000000,
                                 allowance.requestsPerSecond);
    }
    if (allowance.weight < 1) {
        return outOfRangeMessage(entry, "weight", 1, 1000000, allowance.weight);
    }
    return {};
}

template <typename T>
std::string insertAll(std::map<std::string, T> &target, const std::vector<T> &entries,
                      std::string T::*id)
{
    target.clear();
    for (const T &entry : entries) {
        std::string error = validationErrorOf(entry);
        if (!error.empty()) {
            return error;
        }
        if (!target.emplace(entry.*id, entry).second) {
            return "expected each plan once, found '" + entry.*id + "' twice";
        }
    }
    return {};
}

} // namespace

Result<Lists, ListError> applyListChange(const Lists &current, const ApplyList &change)
{
    Lists next = current;
    ++next.revision;
    std::string error;
    if (change.kind == ListKind::Plans) {
        next.plansRevision = next.revision;
        error = insertAll(next.plans, change.plans, &Plan::id);
    } else {
        next.allowancesRevision = next.revision;
        error = insertAll(next.allowances, change.allowances, &Allowance::plan);
    }
    if (!error.empty()) {
        return ListError{std::move(error)};
    }
    for (const auto &[plan, allowance] : next.allowances) {
        if (!next.plans.contains(plan)) {
            return ListError{"expected a plan '" + plan
                             + "' for its allowance, found none: remove the allowance first"};
        }
    }
    return next;
}

} // namespace dandelionloom
