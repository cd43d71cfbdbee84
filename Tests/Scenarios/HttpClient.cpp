#include "HttpClient.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>
#include <Poco/Timespan.h>

namespace dandelionloom::scenario {

HttpResponse sendHttpRequest(const HttpRequest &request)
{
    using namespace Poco::Net;
    HttpResponse response;
    try {
        HTTPClientSession session{SocketAddress(request.address)};
        session.setTimeout(Poco::Timespan(request.timeoutMs * Poco::Timespan::MILLISECONDS));
        HTTPRequest pocoRequest(request.method, request.path, HTTPMessage::HTTP_1_1);
        pocoRequest.setKeepAlive(false);
        for (const auto &[name, value] : request.headers) {
            pocoRequest.set(name, value);
        }
        pocoRequest.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        session.sendRequest(pocoRequest) << request.body;
        HTTPResponse pocoResponse;
        std::istream &stream = session.receiveResponse(pocoResponse);
        Poco::StreamCopier::copyToString(stream, response.body);
        const auto expected = pocoResponse.getContentLength64();
        if (expected != HTTPMessage::UNKNOWN_CONTENT_LENGTH
            && static_cast<std::size_t>(expected) != response.body.size()
            && request.method != HTTPRequest::HTTP_HEAD) {
            response.error = "expected a body of " + std::to_string(expected) + " bytes, found "
                    + std::to_string(response.body.size());
            return response;
        }
        for (const auto &[name, value] : pocoResponse) {
            response.headers[Poco::toLower(name)] = value;
        }
        response.status = pocoResponse.getStatus();
    } catch (const Poco::Exception &exception) {
        response.error = exception.displayText();
    }
    return response;
}

} // namespace dandelionloom::scenario
