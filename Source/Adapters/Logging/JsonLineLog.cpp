#include "Adapters/Logging/JsonLineLog.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "Adapters/Json/JsonWriter.h"

namespace dandelionloom {

namespace {

/// A line costs about 10 us of a core that has a quarter of its time; 1,000 lines a second cost 4%.
constexpr double linesPerSecond = 1000;
constexpr double burstLines = 2000;
constexpr std::size_t maxBufferBytes = 256 * 1024;
/// Written at once from this size, so that a burst does not wait for the next flush().
constexpr std::size_t flushBytes = 8 * 1024;
constexpr double millisecondsPerSecond = 1000;

} // namespace

JsonLineLog::JsonLineLog(std::string instance, int descriptor)
    : m_instance(std::move(instance)), m_descriptor(descriptor), m_allowance(burstLines)
{ }

JsonLineLog::~JsonLineLog()
{
    flush();
}

bool JsonLineLog::mayWrite(SteadyTimeMs now)
{
    const auto passed = static_cast<double>(now - m_allowanceAt);
    m_allowance =
            std::min(burstLines, m_allowance + passed * linesPerSecond / millisecondsPerSecond);
    m_allowanceAt = now;
    if (m_allowance < 1 || m_buffer.size() >= maxBufferBytes) {
        ++m_dropped;
        return false;
    }
    m_allowance -= 1;
    return true;
}

void JsonLineLog::line(LogSeverity severity, std::string_view event,
                       std::initializer_list<LogField> fields)
{
    const SteadyTimeMs now = steadyTimeNow();
    const std::lock_guard lock(m_mutex);
    if (!mayWrite(now)) {
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
            writer.memberIfAny(field.name, *text);
        } else {
            writer.member(field.name, std::get<std::int64_t>(field.value));
        }
    }
    if (m_dropped != m_droppedReported) {
        writer.member("dropped_lines", m_dropped);
        m_droppedReported = m_dropped;
    }
    writer.endObject();
    m_buffer += writer.text();
    m_buffer += '\n';
    if (m_buffer.size() >= flushBytes) {
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
        pollfd ready{m_descriptor, POLLOUT, 0};
        if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            return;
        }
        // A pipe that is writable takes at least PIPE_BUF bytes without blocking.
        constexpr std::size_t pipeBytes = 4096;
        const ssize_t count =
                ::write(m_descriptor, m_buffer.data(), std::min(m_buffer.size(), pipeBytes));
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
