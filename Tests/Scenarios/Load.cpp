#include "Load.h"

#include <chrono>

namespace dandelionloom::scenario {

Load::Load(LoadOptions options) : m_options(std::move(options))
{
    for (int caller = 0; caller < m_options.callers; ++caller) {
        m_threads.emplace_back([this, caller] { run(caller); });
    }
}

Load::~Load()
{
    stop();
}

void Load::stop()
{
    m_stopping = true;
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

std::vector<Load::Request> Load::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

void Load::run(int caller)
{
    using namespace std::chrono;
    std::size_t next = m_options.seed + static_cast<std::size_t>(caller);
    for (int number = 0; !m_stopping; ++number) {
        const std::string label = std::to_string(caller) + "-" + std::to_string(number);
        HttpCall call = m_options.request;
        call.address = m_options.addresses[next % m_options.addresses.size()];
        call.body = "request " + m_options.keyPrefix + label;
        Request record;
        record.key = m_options.keyPrefix + label;
        if (!m_options.keyPrefix.empty()) {
            call.headers["Idempotency-Key"] = record.key;
        }
        const auto start = steady_clock::now();
        const HttpResponse answer = callHttp(call);
        record.elapsedMs = duration_cast<milliseconds>(steady_clock::now() - start).count();
        record.status = answer.status;
        const auto outcome = answer.headers.find("dandelionloom-outcome");
        if (answer.status == 0) {
            record.outcome = "no-answer";
        } else {
            record.outcome = outcome == answer.headers.end() ? "missing" : outcome->second;
        }
        if (record.outcome == "done" && answer.status < 300
            && answer.body.find(call.body) == std::string::npos) {
            ++m_foreign;
        }
        ++next;
        {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(std::move(record));
        }
        std::this_thread::sleep_for(milliseconds(m_options.pauseMs));
    }
}

} // namespace dandelionloom::scenario
