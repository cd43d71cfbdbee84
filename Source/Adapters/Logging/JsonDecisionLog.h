#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <string>

#include "Model/Result.h"
#include "Ports/DecisionLog.h"

namespace dandelionloom {

struct LogOpenError
{
    std::string message;
};

/// Writes one JSON line for each decision and event through Boost.Log. Each line is flushed, so
/// that a crash loses none. Several logs in one process have separate outputs.
class JsonDecisionLog : public DecisionLog
{
public:
    /// `entryInstance` identifies the process in each line. Lines with a severity below `minimum`
    /// are not written.
    JsonDecisionLog(std::string entryInstance, LogSeverity minimum,
                    std::shared_ptr<std::ostream> target);
    ~JsonDecisionLog() override;

    JsonDecisionLog(const JsonDecisionLog &) = delete;
    JsonDecisionLog &operator=(const JsonDecisionLog &) = delete;

    /// Appends to `file`, or writes to standard error if there is none. Fails if the file cannot
    /// be opened.
    static Result<std::unique_ptr<JsonDecisionLog>, LogOpenError>
    open(const std::string &entryInstance, LogSeverity minimum,
         const std::optional<std::string> &file);

    void write(const Decision &decision) override;
    void event(LogSeverity severity, const std::string &component,
               const std::string &message) override;

private:
    class Sink;

    void writeLine(const std::string &line);

    const std::string m_entryInstance;
    const LogSeverity m_minimum;
    std::unique_ptr<Sink> m_sink;
};

/// Formats a wall-clock time in UTC as "2026-01-31T23:59:59.999Z".
std::string formatUtcTime(std::int64_t wallTimeMs);

} // namespace dandelionloom
