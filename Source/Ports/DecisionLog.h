#pragma once

#include <cstdint>
#include <string>

#include "Model/EnumNames.h"

namespace dandelionloom {

enum class DecisionKind { Route, Place, Drain, Move, Shed, Retry, Claim, List, Wave, Lease };
inline constexpr EnumNames<DecisionKind, 10> decisionKindNames{
        {"route", "place", "drain", "move", "shed", "retry", "claim", "list", "wave", "lease"}};

/// Log record of one decision. Empty fields are omitted from the line.
struct Decision
{
    DecisionKind kind = DecisionKind::Route;
    std::string request;
    std::string attempt;
    std::string plan;
    std::string service;
    std::string endpoint;
    std::string instance;
    std::string pool;
    std::string wave;
    /// Name of the reason that the decision function returned.
    std::string reason;
    std::uint64_t listsRevision = 0;
};

enum class LogSeverity { Debug, Info, Warning, Error };
inline constexpr EnumNames<LogSeverity, 4> logSeverityNames{{"debug", "info", "warning", "error"}};

/// Structured log of the process. Thread-safe.
class DecisionLog
{
public:
    virtual ~DecisionLog() = default;

    virtual void write(const Decision &decision) = 0;
    /// Logs an event other than a decision: process start and stop, cluster state, errors.
    virtual void event(LogSeverity severity, const std::string &component,
                       const std::string &message) = 0;
};

} // namespace dandelionloom
