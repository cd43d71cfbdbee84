#include "Adapters/Http/OperatorResponses.h"

#include "Adapters/Json/JsonWriter.h"
#include "Adapters/Settings/TextChecks.h"

namespace dandelionloom {

namespace {

constexpr const char *outcomeHeader = "Dandelionloom-Outcome";

OperatorResponse responseWithOutcome(int status, const std::string &outcome,
                                     const std::string &message,
                                     const std::vector<std::string> &faults,
                                     std::optional<std::uint64_t> foundRevision)
{
    JsonWriter body;
    body.beginObject().member("error", message).member("outcome", outcome);
    if (foundRevision) {
        body.member("found_revision", *foundRevision);
    }
    if (!faults.empty()) {
        body.member("faults", faults);
    }
    body.endObject();
    OperatorResponse response = jsonResponse(status, body.text());
    response.headers.emplace_back(outcomeHeader, outcome);
    return response;
}

} // namespace

OperatorResponse errorResponse(int status, const std::string &message,
                               const std::vector<std::string> &faults,
                               std::optional<std::uint64_t> foundRevision)
{
    return responseWithOutcome(status, "not-run", message, faults, foundRevision);
}

OperatorResponse methodNotAllowed(const std::string &allowed, const std::string &found)
{
    OperatorResponse response =
            errorResponse(405, "expected method " + allowed + ", found " + found);
    response.headers.emplace_back("Allow", allowed);
    return response;
}

OperatorResponse logErrorResponse(const LogError &error)
{
    switch (error.kind) {
    case LogErrorKind::Unknown:
        return responseWithOutcome(503, "unknown", error.message, {}, std::nullopt);
    case LogErrorKind::DiskFull:
        return errorResponse(507, error.message);
    case LogErrorKind::TooLarge:
        return errorResponse(413, error.message);
    case LogErrorKind::NotAccepted:
        break;
    }
    OperatorResponse response = errorResponse(503, error.message);
    response.headers.emplace_back("Retry-After", "1");
    return response;
}

OperatorResponse jsonResponse(int status, std::string body)
{
    OperatorResponse response;
    response.status = status;
    response.body = std::move(body) + "\n";
    return response;
}

std::optional<OperatorResponse> checkChangeId(const std::string &changeId)
{
    if (changeId.empty()) {
        return errorResponse(428, "expected a header Dandelionloom-Change-Id, found none");
    }
    if (!isValidIdentifier(changeId)) {
        return errorResponse(400,
                             "expected Dandelionloom-Change-Id as 1 to 128 letters, digits, "
                             "'-', '_' or '.', found '"
                                     + changeId + "'");
    }
    return std::nullopt;
}

std::string entityTag(std::uint64_t revision)
{
    return "\"" + std::to_string(revision) + "\"";
}

} // namespace dandelionloom
