#include "Adapters/Http/OperatorApi.h"

#include <charconv>
#include <optional>

#include "Adapters/Http/OperatorResponses.h"
#include "Adapters/Http/OperatorViews.h"
#include "Adapters/Json/JsonWriter.h"
#include "Adapters/Settings/ListFiles.h"

namespace dandelionloom {

namespace {

/// Keeps the status view responsive if there is no leader.
constexpr Milliseconds progressTimeout{1000};

constexpr const char *tomlContentType = "application/toml";

/// Parses the revision of an If-Match header, with or without quotes.
std::optional<std::uint64_t> revisionOf(std::string tag)
{
    if (tag.size() >= 2 && tag.front() == '"' && tag.back() == '"') {
        tag = tag.substr(1, tag.size() - 2);
    }
    std::uint64_t revision = 0;
    const auto parsed = std::from_chars(tag.data(), tag.data() + tag.size(), revision);
    if (tag.empty() || parsed.ec != std::errc() || parsed.ptr != tag.data() + tag.size()) {
        return std::nullopt;
    }
    return revision;
}

/// Parses the entries of a change from its TOML body. Returns all faults of the body; none on
/// success.
std::vector<std::string> parseEntries(const std::string &body, ApplyList &change)
{
    if (change.kind == ListKind::Plans) {
        auto plans = parsePlans(body, "body");
        if (!isOk(plans)) {
            return errorOf(plans).faults;
        }
        change.plans = takeValue(std::move(plans));
        return {};
    }
    auto allowances = parseAllowances(body, "body");
    if (!isOk(allowances)) {
        return errorOf(allowances).faults;
    }
    change.allowances = takeValue(std::move(allowances));
    return {};
}

} // namespace

OperatorApi::OperatorApi(OperatorServices services, std::string instanceName,
                         Milliseconds commandTimeout, Milliseconds defaultDrainLimit)
    : m_services(std::move(services)), m_instanceName(std::move(instanceName)),
      m_commandTimeout(commandTimeout), m_defaultDrainLimit(defaultDrainLimit)
{ }

bool OperatorApi::ready() const
{
    return m_services.log.status().ready;
}

OperatorResponse OperatorApi::handle(const OperatorRequest &request)
{
    const auto consistent = request.query.find("consistent");
    if (consistent != request.query.end()) {
        if (consistent->second != "true" && consistent->second != "false") {
            return errorResponse(400,
                                 "expected consistent as true or false, found '"
                                         + consistent->second + "'");
        }
        if (consistent->second == "true") {
            const auto confirmed = m_services.log.confirmRead(m_commandTimeout);
            if (!isOk(confirmed)) {
                // A read never changes state, so the response is not-run whatever the log returned.
                return errorResponse(503,
                                     "the read could not be confirmed by a quorum: "
                                             + errorOf(confirmed).message);
            }
        }
    }
    return routeRequest(request);
}

OperatorResponse OperatorApi::routeRequest(const OperatorRequest &request)
{
    const std::string &path = request.path;
    if (path == "/v1/plans" || path == "/v1/allowances") {
        const ListKind kind = path == "/v1/plans" ? ListKind::Plans : ListKind::Allowances;
        if (request.method == "GET") {
            return showList(request, kind);
        }
        if (request.method != "PUT") {
            return methodNotAllowed("GET, PUT", request.method);
        }
        OperatorResponse response = putList(request, kind);
        logDecision(DecisionKind::List, request, "", response);
        return response;
    }
    if (path == "/v1/waves" || path.starts_with("/v1/waves/")) {
        return handleWaves(request);
    }
    const StateStore &state = m_services.log.state();
    const bool known = path == "/v1/plans/history" || path == "/v1/instances"
            || path == "/v1/endpoints" || path == "/v1/status" || path == "/metrics";
    if (!known) {
        return errorResponse(404,
                             "expected a path of the administration API, found '" + path + "'");
    }
    if (request.method != "GET") {
        return methodNotAllowed("GET", request.method);
    }
    if (path == "/v1/plans/history") {
        return jsonResponse(200, historyView(state.history()));
    }
    if (path == "/v1/instances") {
        return jsonResponse(200, instancesView(matchingInstances(*state.fleet(), request.query)));
    }
    if (path == "/v1/endpoints") {
        return jsonResponse(200, endpointsView(m_services.endpoints(), steadyTimeNow()));
    }
    if (path == "/v1/status") {
        return jsonResponse(200,
                            statusView(m_instanceName, m_services.log.status(), *state.lists(),
                                       m_services.log.progress(progressTimeout)));
    }
    OperatorResponse response;
    response.contentType = "text/plain; version=0.0.4; charset=utf-8";
    response.body = m_services.metrics();
    return response;
}

OperatorResponse OperatorApi::showList(const OperatorRequest &request, ListKind kind)
{
    const auto lists = m_services.log.state().lists();
    const bool plans = kind == ListKind::Plans;
    OperatorResponse response;
    if (request.accept.find("application/json") != std::string::npos) {
        response = jsonResponse(200, plans ? plansView(*lists) : allowancesView(*lists));
    } else {
        response.contentType = tomlContentType;
        response.body = plans ? renderPlans(lists->plans) : renderAllowances(lists->allowances);
    }
    response.headers.emplace_back(
            "ETag", entityTag(plans ? lists->plansRevision : lists->allowancesRevision));
    return response;
}

OperatorResponse OperatorApi::putList(const OperatorRequest &request, ListKind kind)
{
    if (auto error = checkChangeId(request.changeId)) {
        return *error;
    }
    if (request.ifMatch.empty()) {
        return errorResponse(428,
                             "expected a header If-Match with the revision that the change "
                             "starts from, found none");
    }
    const auto expected = revisionOf(request.ifMatch);
    if (!expected) {
        return errorResponse(
                400, "expected If-Match as a revision like \"7\", found '" + request.ifMatch + "'");
    }
    if (!request.contentType.empty() && !request.contentType.starts_with(tomlContentType)) {
        return errorResponse(415,
                             std::string("expected Content-Type ") + tomlContentType + ", found '"
                                     + request.contentType + "'");
    }
    ApplyList change;
    change.change = {request.changeId, request.operatorName};
    change.kind = kind;
    change.expectedRevision = *expected;
    const std::vector<std::string> faults = parseEntries(request.body, change);
    if (!faults.empty()) {
        return errorResponse(400, "the list has " + std::to_string(faults.size()) + " faults",
                             faults);
    }
    const auto proposed = m_services.log.propose(std::move(change), m_commandTimeout);
    if (!isOk(proposed)) {
        return logErrorResponse(errorOf(proposed));
    }
    const CommandOutcome &outcome = valueOf(proposed);
    if (outcome.status == CommandStatus::Conflict) {
        return errorResponse(412, outcome.message, {}, outcome.revision);
    }
    if (outcome.status == CommandStatus::Invalid) {
        return errorResponse(400, outcome.message, {outcome.message});
    }
    JsonWriter body;
    body.beginObject()
            .member("outcome", "done")
            .member("revision", outcome.revision)
            .member("change_id", request.changeId)
            .endObject();
    OperatorResponse response = jsonResponse(200, body.text());
    response.headers.emplace_back("Dandelionloom-Outcome", "done");
    response.headers.emplace_back("ETag", entityTag(outcome.revision));
    return response;
}

void OperatorApi::logDecision(DecisionKind kind, const OperatorRequest &request,
                              const std::string &wave, const OperatorResponse &response)
{
    Decision decision;
    decision.kind = kind;
    decision.request = request.changeId;
    decision.wave = wave;
    decision.reason = request.method + " " + request.path + " by " + request.operatorName
            + ": status " + std::to_string(response.status);
    decision.listsRevision = m_services.log.state().lists()->revision;
    m_services.decisions.write(decision);
}

} // namespace dandelionloom
