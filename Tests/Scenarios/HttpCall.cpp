#include "HttpCall.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>
#include <Poco/Timespan.h>

namespace dandelionloom::scenario {

HttpResponse callHttp(const HttpCall &call)
{
    using namespace Poco::Net;
    HttpResponse answer;
    try {
        HTTPClientSession session{SocketAddress(call.address)};
        session.setTimeout(Poco::Timespan(call.timeoutMs * Poco::Timespan::MILLISECONDS));
        HTTPRequest request(call.method, call.path, HTTPMessage::HTTP_1_1);
        request.setKeepAlive(false);
        for (const auto &[name, value] : call.headers) {
            request.set(name, value);
        }
        request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
        session.sendRequest(request) << call.body;
        HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        Poco::StreamCopier::copyToString(stream, answer.body);
        const auto expected = response.getContentLength64();
        if (expected != HTTPMessage::UNKNOWN_CONTENT_LENGTH
            && static_cast<std::size_t>(expected) != answer.body.size()
            && call.method != HTTPRequest::HTTP_HEAD) {
            answer.error = "expected a body of " + std::to_string(expected) + " bytes, found "
                    + std::to_string(answer.body.size());
            return answer;
        }
        for (const auto &[name, value] : response) {
            answer.headers[Poco::toLower(name)] = value;
        }
        answer.status = response.getStatus();
    } catch (const Poco::Exception &exception) {
        answer.error = exception.displayText();
    }
    return answer;
}

} // namespace dandelionloom::scenario
