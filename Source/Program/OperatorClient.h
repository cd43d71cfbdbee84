#pragma once

#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "Model/Time.h"

namespace dandelionloom {

struct OperatorClientOptions
{
    /// IP:port of operator listeners, asked in this order.
    std::vector<std::string> servers;
    std::string credential;
    Milliseconds connectTimeout{2000};
    /// Longer than the 5 s that a server waits for a command.
    Milliseconds answerTimeout{10000};
    /// How often the list of servers is gone through.
    int rounds = 3;
    /// Wait before the second round; each further one waits twice as long.
    Milliseconds roundWait{200};
    /// No further round starts after this time: without a quorum each server answers only after
    /// 5 s, and three rounds over three servers took 45 s.
    Milliseconds lastRoundStart{10000};
};

struct ClientRequest
{
    std::string method = "GET";
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct ClientAnswer
{
    enum class Kind {
        /// A server answered; `status` tells what.
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
    /// What went wrong at each server, one line each.
    std::string message;
};

/// Sends requests to the first server that answers. A request whose answer is lost is sent again
/// with the same headers, and thus the same change id, which servers run once.
class OperatorClient
{
public:
    explicit OperatorClient(OperatorClientOptions options);

    ClientAnswer send(const ClientRequest &request) const;

private:
    enum class AttemptKind { Answered, NotSent, Lost };
    struct Attempt
    {
        AttemptKind kind = AttemptKind::NotSent;
        std::string outcome;
        ClientAnswer answer;
    };

    Attempt sendTo(const std::string &server, const ClientRequest &request) const;

    const OperatorClientOptions m_options;
};

} // namespace dandelionloom
