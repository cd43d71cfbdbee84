#pragma once

#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "Model/Time.h"

namespace dandelionloom {

struct OperatorClientOptions
{
    /// IP:port of operator listeners, tried in this order.
    std::vector<std::string> servers;
    std::string credential;
    Milliseconds connectTimeout{2000};
    /// Longer than the 5 s that a server waits for a command.
    Milliseconds responseTimeout{10000};
    /// Number of passes over the list of servers.
    int rounds = 3;
    /// Back-off before the second round; doubles with each further round.
    Milliseconds roundBackOff{200};
    /// No further round starts after this time: without a quorum each server responds only after
    /// 5 s, so that three rounds over three servers would take 45 s.
    Milliseconds lastRoundStart{10000};
};

struct ClientRequest
{
    std::string method = "GET";
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct ClientResult
{
    enum class Kind {
        /// A server responded; see `status`.
        Answered,
        /// No server ran the request.
        NotRun,
        /// A server may have run the request.
        Unknown
    };
    Kind kind = Kind::NotRun;
    int status = 0;
    std::string body;
    std::string entityTag;
    std::string server;
    /// One line for each failed attempt; equal lines only once.
    std::string message;
};

/// Sends requests to the first server that responds. A request whose response is lost is resent
/// with the same headers and thus the same change id; servers run each change id once.
class OperatorClient
{
public:
    explicit OperatorClient(OperatorClientOptions options);

    ClientResult send(const ClientRequest &request) const;

private:
    enum class AttemptKind { Answered, NotSent, ResponseLost };
    struct Attempt
    {
        AttemptKind kind = AttemptKind::NotSent;
        std::string outcome;
        ClientResult result;
    };

    Attempt sendTo(const std::string &server, const ClientRequest &request) const;

    const OperatorClientOptions m_options;
};

} // namespace dandelionloom
