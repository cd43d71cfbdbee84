#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "HttpCall.h"

namespace dandelionloom::scenario {

struct LoadOptions
{
    /// Caller addresses of the entry instances; each caller takes the next one when one is down.
    std::vector<std::string> addresses;
    HttpCall request;
    /// Keyed requests get an Idempotency-Key of this prefix and a number.
    std::string keyPrefix;
    int callers = 4;
    /// Pause of each caller between two requests.
    int pauseMs = 5;
    std::uint64_t seed = 1;
};

/// Callers that send requests in the background until they are stopped. Every request carries a
/// number in its body and the endpoint's answer has to repeat it.
class Load
{
public:
    explicit Load(LoadOptions options);
    ~Load();
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    /// Ends the callers after their present request.
    void stop();

    struct Request
    {
        std::string key;
        /// Outcome header, "no-answer", or "missing" for an answer without the header.
        std::string outcome;
        int status = 0;
        std::int64_t elapsedMs = 0;
    };

    std::vector<Request> requests() const;
    /// Answers whose body was not the answer to the request.
    int foreignAnswers() const { return m_foreign; }

private:
    void run(int caller);

    const LoadOptions m_options;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_foreign{0};
    mutable std::mutex m_mutex;
    std::vector<Request> m_requests;
    std::vector<std::thread> m_threads;
};

} // namespace dandelionloom::scenario
