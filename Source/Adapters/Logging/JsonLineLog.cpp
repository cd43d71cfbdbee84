#include "Adapters/Logging/JsonLineLog.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "Adapters/Json/JsonWriter.h"

namespace dandelionloom {

namespace {

/// A line takes about 10 us of processor time, so that 1,000 lines per second use 4% of an instance
/// that has a quarter of a core.
constexpr double maxLinesPerSecond = 1000;
constexpr double maxBurstLines = 2000;
/// Lines that only events other than placements and ends of tasks may use. These come by the
/// thousand in a peak, and would hide why an instance was taken down.
constexpr double reservedLines = 1000;
constexpr std::size_t maxBufferBytes = 256 * 1024;
/// Buffer size that triggers a write, so that a burst does not wait for the next flush().
constexpr std::size_t flushThresholdBytes = 8 * 1024;
constexpr double millisecondsPerSecond = 1000;

} // namespace

JsonLineLog::JsonLineLog(std::string instance, int descriptor)
    : m_instance(std::move(instance)), m_descriptor(descriptor), m_tokens(maxBurstLines)
{ }

JsonLineLog::~JsonLineLog()
{
    flush();
}

bool JsonLineLog::admitLine(SteadyTimeMs now, LogSeverity severity)
{
    const auto elapsedMs = static_cast<double>(now - m_tokensUpdatedAt);
    m_tokens = std::min(maxBurstLines,
                        m_tokens + elapsedMs * maxLinesPerSecond / millisecondsPerSecond);
    m_tokensUpdatedAt = now;
    const double minTokens = severity == LogSeverity::Debug ? reservedLines : 1;
    if (m_tokens < minTokens || m_buffer.size() >= maxBufferBytes) {
        ++m_dropped;
        return false;
    }
    m_tokens -= 1;
    return true;
}

void JsonLineLog::line(LogSeverity severity, std::string_view event,
                       std::initializer_list<LogField> fields)
{
    const SteadyTimeMs now = steadyTimeNow();
    const std::lock_guard lock(m_mutex);
    if (!admitLine(now, severity)) {
        return;
    }
    JsonWriter writer;
    writer.beginObject();
    writer.member("at_ms", wallTimeNow());
    writer.member("severity", logSeverityNames.name(severity));
    writer.member("event", event);
    writer.member("instance", m_instance);
    for (const LogField &field : fields) {
        if (const auto *text = std::get_if<std::string_view>(&field.value)) {
            writer.memberIfNotEmpty(field.name, *text);
        } else {
            writer.member(field.name, std::get<std::int64_t>(field.value));
        }
    }
    if (m_dropped != m_reportedDropped) {
        writer.member("dropped_lines", m_dropped);
        m_reportedDropped = m_dropped;
    }
    writer.endObject();
    m_buffer += writer.text();
    m_buffer += '\n';
    if (m_buffer.size() >= flushThresholdBytes) {
        flushLocked();
    }
}

void JsonLineLog::write(const Decision &decision)
{
    line(LogSeverity::Info, decisionKindNames.name(decision.kind),
         {{"request", decision.request},
          {"endpoint", decision.endpoint},
          {"target", decision.instance},
          {"reason", decision.reason}});
}

void JsonLineLog::event(LogSeverity severity, const std::string &component,
                        const std::string &message)
{
    if (severity != LogSeverity::Debug) {
        line(severity, component, {{"message", message}});
    }
}

void JsonLineLog::flush()
{
    const std::lock_guard lock(m_mutex);
    flushLocked();
}

void JsonLineLog::flushLocked()
{
    while (!m_buffer.empty()) {
        pollfd pollEntry{m_descriptor, POLLOUT, 0};
        if (::poll(&pollEntry, 1, 0) <= 0 || (pollEntry.revents & POLLOUT) == 0) {
            return;
        }
        // A writable pipe accepts at least PIPE_BUF (4096) bytes without blocking.
        constexpr std::size_t maxWriteBytes = 4096;
        const ssize_t count =
                ::write(m_descriptor, m_buffer.data(), std::min(m_buffer.size(), maxWriteBytes));
        if (count <= 0) {
            return;
        }
        m_buffer.erase(0, static_cast<std::size_t>(count));
    }
}

std::uint64_t JsonLineLog::droppedLines() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

} // namespace dandelionloom
