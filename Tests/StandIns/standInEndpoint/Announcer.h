#pragma once

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

#include "EndpointWork.h"

namespace dandelionloom::standIn {

/// Announces a stand-in endpoint to any one of several entry instances and renews its lease.
class Announcer
{
public:
    Announcer(EndpointSettings settings, std::vector<std::string> urls, std::string credential)
        : m_settings(std::move(settings)), m_urls(std::move(urls)),
          m_credential(std::move(credential)), m_thread([this] { run(); })
    { }

    ~Announcer()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_changed.notify_all();
        m_thread.join();
    }

    /// Announces that the present incarnation leaves.
    void leave() { change(true, false); }
    /// Serves on under a new incarnation: one that left can't return.
    void serveAgain() { change(false, false); }
    /// Sends nothing until serveAgain().
    void pause() { change(false, true); }

    /// True once an entry instance took the present state.
    bool waitUntilTaken(std::chrono::milliseconds limit)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, limit, [&] { return m_taken; });
    }

    bool isLeaving() const
    {
        const std::lock_guard lock(m_mutex);
        return m_leaving;
    }

    std::uint64_t incarnation() const
    {
        const std::lock_guard lock(m_mutex);
        return m_settings.incarnation;
    }

private:
    static constexpr std::chrono::milliseconds retryInterval{200};
    static constexpr std::chrono::milliseconds exchangeTimeout{1000};

    void change(bool leaving, bool paused)
    {
        const std::lock_guard lock(m_mutex);
        if (!leaving && !paused) {
            ++m_settings.incarnation;
        }
        m_leaving = leaving;
        m_paused = paused;
        m_taken = false;
        ++m_version;
        m_changed.notify_all();
    }

    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_stopping) {
            const int version = m_version;
            std::chrono::milliseconds wait = retryInterval;
            if (!m_paused && !m_urls.empty()) {
                const std::string body = announcement();
                lock.unlock();
                const Answer answer = send(body);
                lock.lock();
                if (version == m_version) {
                    wait = take(answer);
                }
            }
            if (version == m_version) {
                m_changed.wait_for(lock, wait, [&] { return m_stopping || version != m_version; });
            }
        }
    }

    struct Answer
    {
        int status = 0;
        int leaseMs = 0;
        /// Pool that the instance belongs to by the agreed record.
        std::string pool;
    };

    std::chrono::milliseconds take(const Answer &answer)
    {
        if (answer.status == Poco::Net::HTTPResponse::HTTP_OK) {
            m_taken = true;
            m_changed.notify_all();
            if (!m_leaving && !answer.pool.empty() && answer.pool != m_settings.service) {
                // The instance was moved: it serves its new pool, as a new incarnation.
                m_settings.service = answer.pool;
                ++m_settings.incarnation;
                return retryInterval;
            }
            return std::max(std::chrono::milliseconds(answer.leaseMs / 3), retryInterval);
        }
        if (answer.status == Poco::Net::HTTPResponse::HTTP_CONFLICT && !m_leaving) {
            // The incarnation ended, for example because its lease ran out.
            ++m_settings.incarnation;
        }
        return retryInterval;
    }

    std::string announcement() const
    {
        Poco::JSON::Object object;
        object.set("instance", m_settings.instance);
        object.set("address", m_settings.address);
        object.set("service", m_settings.service);
        object.set("slots", m_settings.slots);
        object.set("rack", m_settings.rack);
        object.set("availability_zone", m_settings.availabilityZone);
        object.set("incarnation", m_settings.incarnation);
        object.set("state", m_leaving ? "leaving" : "serving");
        std::ostringstream text;
        object.stringify(text);
        return text.str();
    }

    /// Tries the entry instances in turn, from the one that answered last.
    Answer send(const std::string &body)
    {
        for (std::size_t count = 0; count < m_urls.size(); ++count) {
            const Answer answer = sendTo(m_urls[m_next], body);
            if (answer.status != 0) {
                return answer;
            }
            m_next = (m_next + 1) % m_urls.size();
        }
        return {};
    }

    Answer sendTo(const std::string &url, const std::string &body) const
    {
        using namespace Poco::Net;
        try {
            const Poco::URI uri(url);
            HTTPClientSession session(uri.getHost(), uri.getPort());
            session.setTimeout(
                    Poco::Timespan(exchangeTimeout.count() * Poco::Timespan::MILLISECONDS));
            HTTPRequest request(HTTPRequest::HTTP_POST, "/v1/endpoints/announce",
                                HTTPMessage::HTTP_1_1);
            request.setCredentials("Bearer", m_credential);
            request.setContentType("application/json");
            request.setContentLength64(static_cast<Poco::Int64>(body.size()));
            session.sendRequest(request) << body;
            HTTPResponse response;
            std::string text;
            Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
            Answer answer{response.getStatus(), 0, {}};
            if (answer.status == HTTPResponse::HTTP_OK) {
                const auto object =
                        Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
                answer.leaseMs = object->getValue<int>("lease_ms");
                answer.pool = object->optValue<std::string>("pool", "");
            }
            return answer;
        } catch (const Poco::Exception &) {
            return {};
        }
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    EndpointSettings m_settings;
    const std::vector<std::string> m_urls;
    const std::string m_credential;
    std::size_t m_next = 0;
    bool m_leaving = false;
    bool m_paused = false;
    bool m_taken = false;
    bool m_stopping = false;
    int m_version = 0;
    std::thread m_thread;
};

} // namespace dandelionloom::standIn
