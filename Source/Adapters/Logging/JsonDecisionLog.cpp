#include "Adapters/Logging/JsonDecisionLog.h"

#include <array>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <fstream>
#include <iostream>

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include "Adapters/Json/JsonWriter.h"
#include "Model/Time.h"

namespace dandelionloom {

namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;

/// Boost.Log attribute by which each sink selects the records of its own log.
constexpr const char *logIdAttribute = "DandelionloomLogId";

std::uint64_t nextLogId()
{
    static std::atomic<std::uint64_t> lastId{0};
    return ++lastId;
}

void beginLine(JsonWriter &line, LogSeverity severity, std::string_view component,
               const std::string &entryInstance)
{
    line.beginObject();
    line.member("time", formatUtcTime(wallTimeNow()));
    line.member("severity", logSeverityNames.name(severity));
    line.memberIfNotEmpty("component", component);
    line.memberIfNotEmpty("entry_instance", entryInstance);
}

} // namespace

std::string formatUtcTime(std::int64_t wallTimeMs)
{
    std::int64_t seconds = wallTimeMs / millisecondsPerSecond;
    std::int64_t milliseconds = wallTimeMs % millisecondsPerSecond;
    if (milliseconds < 0) {
        milliseconds += millisecondsPerSecond;
        --seconds;
    }
    const auto time = static_cast<std::time_t>(seconds);
    std::tm calendarTime = {};
    gmtime_r(&time, &calendarTime);
    std::array<char, 32> date = {};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &calendarTime);
    std::array<char, 8> fraction = {};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(milliseconds));
    return std::string(date.data()) + fraction.data();
}

/// Boost.Log source and sink of one log. Boost.Log passes every record to all sinks of the process,
/// so each sink filters by the log's id.
class JsonDecisionLog::Sink
{
public:
    explicit Sink(std::shared_ptr<std::ostream> target)
    {
        const std::uint64_t id = nextLogId();
        m_source.add_attribute(logIdAttribute, boost::log::attributes::constant<std::uint64_t>(id));
        const auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
        std::ostream *stream = target.get();
        backend->add_stream(boost::shared_ptr<std::ostream>(
                stream, [owner = std::move(target)](std::ostream *) {}));
        backend->auto_flush(true);
        m_frontend = boost::make_shared<Frontend>(backend);
        m_frontend->set_filter(boost::log::expressions::attr<std::uint64_t>(logIdAttribute) == id);
        m_frontend->set_formatter(boost::log::expressions::stream
                                  << boost::log::expressions::smessage);
        boost::log::core::get()->add_sink(m_frontend);
    }

    ~Sink()
    {
        boost::log::core::get()->remove_sink(m_frontend);
        m_frontend->flush();
    }

    Sink(const Sink &) = delete;
    Sink &operator=(const Sink &) = delete;

    void write(const std::string &line) { BOOST_LOG(m_source) << line; }

private:
    using Frontend = boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>;

    boost::log::sources::logger_mt m_source;
    boost::shared_ptr<Frontend> m_frontend;
};

JsonDecisionLog::JsonDecisionLog(std::string entryInstance, LogSeverity minimum,
                                 std::shared_ptr<std::ostream> target)
    : m_entryInstance(std::move(entryInstance)), m_minimum(minimum),
      m_sink(std::make_unique<Sink>(std::move(target)))
{ }

JsonDecisionLog::~JsonDecisionLog() = default;

Result<std::unique_ptr<JsonDecisionLog>, LogOpenError>
JsonDecisionLog::open(const std::string &entryInstance, LogSeverity minimum,
                      const std::optional<std::string> &file)
{
    std::shared_ptr<std::ostream> target(&std::cerr, [](std::ostream *) {});
    if (file) {
        target = std::make_shared<std::ofstream>(*file, std::ios::app | std::ios::binary);
        if (!*target) {
            return LogOpenError{*file + ": expected a log file that can be appended to, found: "
                                + std::strerror(errno)};
        }
    }
    return std::make_unique<JsonDecisionLog>(entryInstance, minimum, std::move(target));
}

void JsonDecisionLog::write(const Decision &decision)
{
    if (m_minimum > LogSeverity::Info) {
        return;
    }
    JsonWriter line;
    beginLine(line, LogSeverity::Info, "decision", m_entryInstance);
    line.member("decision", decisionKindNames.name(decision.kind));
    line.memberIfNotEmpty("request", decision.request);
    line.memberIfNotEmpty("attempt", decision.attempt);
    line.memberIfNotEmpty("plan", decision.plan);
    line.memberIfNotEmpty("service", decision.service);
    line.memberIfNotEmpty("endpoint", decision.endpoint);
    line.memberIfNotEmpty("instance", decision.instance);
    line.memberIfNotEmpty("pool", decision.pool);
    line.memberIfNotEmpty("wave", decision.wave);
    line.memberIfNotEmpty("reason", decision.reason);
    if (decision.listsRevision != 0) {
        line.member("lists_revision", decision.listsRevision);
    }
    line.endObject();
    writeLine(line.text());
}

void JsonDecisionLog::event(LogSeverity severity, const std::string &component,
                            const std::string &message)
{
    if (severity < m_minimum) {
        return;
    }
    JsonWriter line;
    beginLine(line, severity, component, m_entryInstance);
    line.memberIfNotEmpty("message", message);
    line.endObject();
    writeLine(line.text());
}

void JsonDecisionLog::writeLine(const std::string &line)
{
    m_sink->write(line);
}

} // namespace dandelionloom
