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

/// JSON lines to standard output that never wait for a reader: lines collect in a buffer that is
/// written without blocking, and what exceeds the buffer or the rate is dropped and counted.
/// Thread-safe.
class JsonLineLog : public DecisionLog
{
public:
    explicit JsonLineLog(std::string instance, int descriptor = 1);
    ~JsonLineLog() override;

    void line(LogSeverity severity, std::string_view event, std::initializer_list<LogField> fields);
    void write(const Decision &decision) override;
    void event(LogSeverity severity, const std::string &component,
               const std::string &message) override;
    /// Writes what the descriptor takes now.
    void flush();
    std::uint64_t droppedLines() const;

private:
    bool mayWrite(SteadyTimeMs now);
    void flushLocked();

    const std::string m_instance;
    const int m_descriptor;
    mutable std::mutex m_mutex;
    std::string m_buffer;
    /// Lines that may be written before the rate is exceeded.
    double m_allowance;
    SteadyTimeMs m_allowanceAt = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
};

} // namespace dandelionloom
