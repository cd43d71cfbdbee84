#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "HttpClient.h"

namespace dandelionloom::scenario {

struct LoadOptions
{
    /// Caller addresses of the entry instances; each caller uses them in turn.
    std::vector<std::string> addresses;
    HttpRequest request;
    /// If not empty, requests carry an Idempotency-Key of this prefix, the caller and a number.
    std::string keyPrefix;
    int callers = 4;
    /// Pause of a caller between two requests.
    int pauseMs = 5;
    std::uint64_t seed = 1;
};

/// Callers that send requests in the background until they are stopped. The body of each request
/// is unique, and the response of the endpoint has to repeat it.
class LoadGenerator
{
public:
    explicit LoadGenerator(LoadOptions options);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    /// Stops the callers after their current request.
    void stop();

    struct Request
    {
        std::string key;
        /// Outcome header, "no-answer", or "missing" for a response without the header.
        std::string outcome;
        int status = 0;
        std::int64_t elapsedMs = 0;
    };

    std::vector<Request> requests() const;
    /// Number of responses with outcome done whose body does not repeat the body of the request.
    int mismatchedResponses() const { return m_mismatchedResponses; }

private:
    void runCaller(int caller);

    const LoadOptions m_options;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_mismatchedResponses{0};
    mutable std::mutex m_mutex;
    std::vector<Request> m_requests;
    std::vector<std::thread> m_threads;
};

} // namespace dandelionloom::scenario
