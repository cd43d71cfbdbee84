#include <algorithm>
#include <array>
#include <optional>

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "Adapters/Http/OperatorApi.h"
#include "Adapters/Http/OperatorResponses.h"
#include "Adapters/Http/OperatorViews.h"
#include "Adapters/Json/JsonWriter.h"
#include "Adapters/Settings/TextChecks.h"

// The administration API for waves: paths below /v1/waves.

namespace dandelionloom {

namespace {

constexpr const char *wavesPath = "/v1/waves";
constexpr std::int64_t minDrainLimitMs = 1000;
constexpr std::int64_t maxDrainLimitMs = 24LL * 60 * 60 * 1000;

/// A wave request has a depth of 2. Deeper documents are rejected, as the parser recurses.
constexpr std::size_t maxJsonDepth = 8;

/// Keys that select instances by the attributes of their record.
constexpr std::array<const char *, 3> filterKeys = {"pool", "rack", "availability_zone"};

struct WaveRequest
{
    std::string id;
    std::vector<std::string> instances;
    std::map<std::string, std::string> filters;
    std::optional<std::uint32_t> drainLimitMs;
    std::vector<std::string> faults;
};

std::string readName(const Poco::JSON::Object &object, const std::string &key, WaveRequest &wave)
{
    const Poco::Dynamic::Var value = object.get(key);
    if (!value.isString() || !isValidIdentifier(value.extract<std::string>())) {
        wave.faults.push_back("expected " + key
                              + " as a name of 1 to 128 letters, digits, '-', '_' or '.', found "
                              + Poco::Dynamic::Var::toString(value));
        return {};
    }
    return value.extract<std::string>();
}

void readInstances(const Poco::JSON::Object &object, WaveRequest &wave)
{
    const Poco::JSON::Array::Ptr array = object.getArray("instances");
    if (array.isNull()) {
        wave.faults.emplace_back("expected instances as an array of texts, found another value");
        return;
    }
    for (const Poco::Dynamic::Var &element : *array) {
        if (!element.isString()) {
            wave.faults.emplace_back("expected instances as an array of texts, found "
                                     + Poco::Dynamic::Var::toString(element));
            return;
        }
        wave.instances.push_back(element.extract<std::string>());
    }
}

void readDrainLimit(const Poco::JSON::Object &object, WaveRequest &wave)
{
    const Poco::Dynamic::Var value = object.get("drain_limit_ms");
    std::int64_t limit = 0;
    if (value.isInteger()) {
        limit = value.convert<Poco::Int64>();
    }
    if (limit < minDrainLimitMs || limit > maxDrainLimitMs) {
        wave.faults.push_back("expected drain_limit_ms as a whole number from "
                              + std::to_string(minDrainLimitMs) + " to "
                              + std::to_string(maxDrainLimitMs) + ", found "
                              + Poco::Dynamic::Var::toString(value));
        return;
    }
    wave.drainLimitMs = static_cast<std::uint32_t>(limit);
}

void readKeys(const Poco::JSON::Object &object, WaveRequest &wave)
{
    const std::vector<std::string> known = {"id",   "instances",         "pool",
                                            "rack", "availability_zone", "drain_limit_ms"};
    for (const std::string &key : object.getNames()) {
        if (std::find(known.begin(), known.end(), key) == known.end()) {
            const std::string nearest = closestMatch(key, known);
            wave.faults.push_back("expected a key of a wave, found '" + key + "'"
                                  + (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
        }
    }
    if (object.has("id")) {
        wave.id = readName(object, "id", wave);
    } else {
        wave.faults.emplace_back("expected id, found none");
    }
    for (const char *key : filterKeys) {
        if (object.has(key)) {
            wave.filters[key] = readName(object, key, wave);
        }
    }
    if (object.has("instances")) {
        readInstances(object, wave);
    }
    if (object.has("instances") == !wave.filters.empty()) {
        wave.faults.emplace_back("expected either instances or a selection by pool, rack or "
                                 "availability_zone, found "
                                 + std::string(wave.filters.empty() ? "neither" : "both"));
    }
    if (object.has("drain_limit_ms")) {
        readDrainLimit(object, wave);
    }
}

WaveRequest parseWave(const std::string &body)
{
    WaveRequest wave;
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(maxJsonDepth);
        const Poco::Dynamic::Var document = parser.parse(body);
        if (document.type() != typeid(Poco::JSON::Object::Ptr)) {
            wave.faults.emplace_back("expected a JSON object, found another value");
            return wave;
        }
        readKeys(*document.extract<Poco::JSON::Object::Ptr>(), wave);
    } catch (const Poco::Exception &) {
        wave.faults.emplace_back("expected a JSON object, found a body that is not valid JSON");
    }
    return wave;
}

std::vector<std::string> targetsOf(const WaveRequest &wave, const Fleet &fleet)
{
    std::vector<std::string> targets = wave.instances;
    if (!wave.filters.empty()) {
        for (const InstanceRecord &logDecision : matchingInstances(fleet, wave.filters)) {
            targets.push_back(logDecision.id);
        }
    }
    std::sort(targets.begin(), targets.end());
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    return targets;
}

OperatorResponse waveResponse(const Result<CommandOutcome, LogError> &proposed,
                              const StateStore &state, const std::string &wave,
                              const ExplainWave &explain)
{
    if (!isOk(proposed)) {
        return logErrorResponse(errorOf(proposed));
    }
    const CommandOutcome &outcome = valueOf(proposed);
    if (outcome.status == CommandStatus::Conflict) {
        return errorResponse(409, outcome.message);
    }
    const auto fleet = state.fleet();
    const auto found = fleet->waves.find(wave);
    if (outcome.status == CommandStatus::Invalid || found == fleet->waves.end()) {
        return errorResponse(400, outcome.message, {outcome.message});
    }
    OperatorResponse response = jsonResponse(200, waveView(found->second, explain));
    response.headers.emplace_back("Dandelionloom-Outcome", "done");
    return response;
}

std::optional<WaveState> stateOfAction(const std::string &action)
{
    if (action == "pause") {
        return WaveState::Paused;
    }
    if (action == "resume") {
        return WaveState::Running;
    }
    if (action == "cancel") {
        return WaveState::Cancelled;
    }
    return std::nullopt;
}

} // namespace

OperatorResponse OperatorApi::handleWaves(const OperatorRequest &request)
{
    if (request.path == wavesPath) {
        if (request.method == "GET") {
            return jsonResponse(
                    200,
                    wavesView(m_services.log.state().fleet()->waves, m_services.waveExplanations));
        }
        return request.method == "POST" ? startWave(request)
                                        : methodNotAllowed("GET, POST", request.method);
    }
    const std::string waveAndAction = request.path.substr(std::string(wavesPath).size() + 1);
    const std::size_t slash = waveAndAction.find('/');
    const std::string wave = waveAndAction.substr(0, slash);
    if (slash != std::string::npos) {
        return request.method == "POST"
                ? controlWave(request, wave, waveAndAction.substr(slash + 1))
                : methodNotAllowed("POST", request.method);
    }
    if (request.method != "GET") {
        return methodNotAllowed("GET", request.method);
    }
    const auto fleet = m_services.log.state().fleet();
    const auto found = fleet->waves.find(wave);
    if (found == fleet->waves.end()) {
        return errorResponse(404, "expected an existing wave, found '" + wave + "'");
    }
    return jsonResponse(200, waveView(found->second, m_services.waveExplanations));
}

OperatorResponse OperatorApi::startWave(const OperatorRequest &request)
{
    if (auto error = checkChangeId(request.changeId)) {
        return *error;
    }
    const WaveRequest wave = parseWave(request.body);
    if (!wave.faults.empty()) {
        return errorResponse(400, "the wave has " + std::to_string(wave.faults.size()) + " faults",
                             wave.faults);
    }
    const StateStore &state = m_services.log.state();
    const auto fleet = state.fleet();
    StartWave start;
    start.change = {request.changeId, request.operatorName};
    start.wave = wave.id;
    start.drainLimitMs =
            wave.drainLimitMs.value_or(static_cast<std::uint32_t>(m_defaultDrainLimit.count()));
    // A resent request must propose the same command even if the fleet has changed, so the targets
    // of an existing wave are used.
    const auto existing = fleet->waves.find(wave.id);
    start.targets =
            existing != fleet->waves.end() ? existing->second.targets : targetsOf(wave, *fleet);
    if (start.targets.empty()) {
        return errorResponse(400, "expected at least one instance that matches, found none");
    }
    auto proposed = m_services.log.propose(start, m_commandTimeout);
    if (isOk(proposed) && valueOf(proposed).status == CommandStatus::Invalid
        && existing == fleet->waves.end()) {
        // The first request may have been committed after the targets were selected here.
        const auto now = state.fleet();
        const auto started = now->waves.find(wave.id);
        if (started != now->waves.end() && started->second.targets != start.targets) {
            start.targets = started->second.targets;
            proposed = m_services.log.propose(start, m_commandTimeout);
        }
    }
    OperatorResponse response = waveResponse(proposed, state, wave.id, m_services.waveExplanations);
    logDecision(DecisionKind::Wave, request, wave.id, response);
    return response;
}

OperatorResponse OperatorApi::controlWave(const OperatorRequest &request, const std::string &wave,
                                          const std::string &action)
{
    const std::optional<WaveState> requestedState = stateOfAction(action);
    if (!requestedState) {
        return errorResponse(404, "expected pause, resume or cancel, found '" + action + "'");
    }
    if (auto error = checkChangeId(request.changeId)) {
        return *error;
    }
    const StateStore &state = m_services.log.state();
    const auto proposed = m_services.log.propose(
            ControlWave{{request.changeId, request.operatorName}, wave, *requestedState},
            m_commandTimeout);
    OperatorResponse response = waveResponse(proposed, state, wave, m_services.waveExplanations);
    if (response.status == 400 && !state.fleet()->waves.contains(wave)) {
        response.status = 404;
    }
    logDecision(DecisionKind::Wave, request, wave, response);
    return response;
}

} // namespace dandelionloom
