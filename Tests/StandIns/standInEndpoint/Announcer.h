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

#include "EndpointRuns.h"

namespace dandelionloom::standIn {

/// Announces a stand-in endpoint to one of several entry instances, whichever answers, and renews
/// its lease.
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

    /// Announces that the current incarnation leaves.
    void leave() { setState(true, false); }
    /// Serves again under a new incarnation: an incarnation that has left cannot return.
    void resumeServing() { setState(false, false); }
    /// Sends no announcements until resumeServing().
    void pause() { setState(false, true); }

    /// Returns whether an entry instance accepted the current state within the limit.
    bool waitUntilAccepted(std::chrono::milliseconds limit)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, limit, [&] { return m_accepted; });
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
    static constexpr std::chrono::milliseconds requestTimeout{1000};

    void setState(bool leaving, bool paused)
    {
        const std::lock_guard lock(m_mutex);
        if (!leaving && !paused) {
            ++m_settings.incarnation;
        }
        m_leaving = leaving;
        m_paused = paused;
        m_accepted = false;
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
                const Response response = send(body);
                lock.lock();
                if (version == m_version) {
                    wait = processResponse(response);
                }
            }
            if (version == m_version) {
                m_changed.wait_for(lock, wait, [&] { return m_stopping || version != m_version; });
            }
        }
    }

    struct Response
    {
        int status = 0;
        int leaseMs = 0;
        /// Pool to which the replicated state assigns the instance.
        std::string pool;
    };

    std::chrono::milliseconds processResponse(const Response &response)
    {
        if (response.status == Poco::Net::HTTPResponse::HTTP_OK) {
            m_accepted = true;
            m_changed.notify_all();
            if (!m_leaving && !response.pool.empty() && response.pool != m_settings.service) {
                // The instance has moved to another pool, which it serves under a new incarnation.
                m_settings.service = response.pool;
                ++m_settings.incarnation;
                return retryInterval;
            }
            return std::max(std::chrono::milliseconds(response.leaseMs / 3), retryInterval);
        }
        if (response.status == Poco::Net::HTTPResponse::HTTP_CONFLICT && !m_leaving) {
            // The incarnation has ended, for example because its lease expired.
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

    /// Tries the entry instances in turn, starting with the one that responded last.
    Response send(const std::string &body)
    {
        for (std::size_t attempt = 0; attempt < m_urls.size(); ++attempt) {
            const Response response = sendTo(m_urls[m_nextUrl], body);
            if (response.status != 0) {
                return response;
            }
            m_nextUrl = (m_nextUrl + 1) % m_urls.size();
        }
        return {};
    }

    Response sendTo(const std::string &url, const std::string &body) const
    {
        using namespace Poco::Net;
        try {
            const Poco::URI uri(url);
            HTTPClientSession session(uri.getHost(), uri.getPort());
            session.setTimeout(
                    Poco::Timespan(requestTimeout.count() * Poco::Timespan::MILLISECONDS));
            HTTPRequest httpRequest(HTTPRequest::HTTP_POST, "/v1/endpoints/announce",
                                    HTTPMessage::HTTP_1_1);
            httpRequest.setCredentials("Bearer", m_credential);
            httpRequest.setContentType("application/json");
            httpRequest.setContentLength64(static_cast<Poco::Int64>(body.size()));
            session.sendRequest(httpRequest) << body;
            HTTPResponse httpResponse;
            std::string text;
            Poco::StreamCopier::copyToString(session.receiveResponse(httpResponse), text);
            Response response{httpResponse.getStatus(), 0, {}};
            if (response.status == HTTPResponse::HTTP_OK) {
                const auto object =
                        Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
                response.leaseMs = object->getValue<int>("lease_ms");
                response.pool = object->optValue<std::string>("pool", "");
            }
            return response;
        } catch (const Poco::Exception &) {
            return {};
        }
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    EndpointSettings m_settings;
    const std::vector<std::string> m_urls;
    const std::string m_credential;
    std::size_t m_nextUrl = 0;
    bool m_leaving = false;
    bool m_paused = false;
    bool m_accepted = false;
    bool m_stopping = false;
    int m_version = 0;
    std::thread m_thread;
};

} // namespace dandelionloom::standIn
