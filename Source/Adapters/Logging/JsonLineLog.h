#pragma once

#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

#include "Model/Time.h"
#include "Ports/DecisionLog.h"

namespace dandelionloom {

struct LogField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t> value;
};

/// Writes JSON lines to a file descriptor without ever blocking on a slow reader: lines are
/// buffered and written when the descriptor accepts them. Lines above the buffer size or the rate
/// limit are dropped and counted. Thread-safe.
class JsonLineLog : public DecisionLog
{
public:
    explicit JsonLineLog(std::string instance, int descriptor = 1);
    ~JsonLineLog() override;

    void line(LogSeverity severity, std::string_view event, std::initializer_list<LogField> fields);
    void write(const Decision &decision) override;
    void event(LogSeverity severity, const std::string &component,
               const std::string &message) override;
    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();
    std::uint64_t droppedLines() const;

private:
    /// Takes a token of the rate limit. Counts the line as dropped and returns false if there is
    /// none or the buffer is full.
    bool admitLine(SteadyTimeMs now, LogSeverity severity);
    void flushLocked();

    const std::string m_instance;
    const int m_descriptor;
    mutable std::mutex m_mutex;
    std::string m_buffer;
    /// Tokens of the rate limit; each line takes one.
    double m_tokens;
    SteadyTimeMs m_tokensUpdatedAt = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

} // namespace dandelionloom
