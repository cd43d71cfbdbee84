#include "LoadGenerator.h"

#include <chrono>

namespace dandelionloom::scenario {

LoadGenerator::LoadGenerator(LoadOptions options) : m_options(std::move(options))
{
    for (int caller = 0; caller < m_options.callers; ++caller) {
        m_threads.emplace_back([this, caller] { runCaller(caller); });
    }
}

LoadGenerator::~LoadGenerator()
{
    stop();
}

void LoadGenerator::stop()
{
    m_stopping = true;
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

std::vector<LoadGenerator::Request> LoadGenerator::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

void LoadGenerator::runCaller(int caller)
{
    using namespace std::chrono;
    std::size_t nextAddress = m_options.seed + static_cast<std::size_t>(caller);
    for (int number = 0; !m_stopping; ++number) {
        const std::string label = std::to_string(caller) + "-" + std::to_string(number);
        HttpRequest request = m_options.request;
        request.address = m_options.addresses[nextAddress % m_options.addresses.size()];
        request.body = "request " + m_options.keyPrefix + label;
        Request result;
        result.key = m_options.keyPrefix + label;
        if (!m_options.keyPrefix.empty()) {
            request.headers["Idempotency-Key"] = result.key;
        }
        const auto start = steady_clock::now();
        const HttpResponse response = sendHttpRequest(request);
        result.elapsedMs = duration_cast<milliseconds>(steady_clock::now() - start).count();
        result.status = response.status;
        const auto outcome = response.headers.find("dandelionloom-outcome");
        if (response.status == 0) {
            result.outcome = "no-answer";
        } else {
            result.outcome = outcome == response.headers.end() ? "missing" : outcome->second;
        }
        if (result.outcome == "done" && response.status < 300
            && response.body.find(request.body) == std::string::npos) {
            ++m_mismatchedResponses;
        }
        ++nextAddress;
        {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(std::move(result));
        }
        std::this_thread::sleep_for(milliseconds(m_options.pauseMs));
    }
}

} // namespace dandelionloom::scenario
