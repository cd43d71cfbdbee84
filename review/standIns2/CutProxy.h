// A proxy that stands for the links of one machine. While they are cut, nothing passes; afterwards
// the bytes that the cut held up arrive, as TCP sends them again.
#pragma once

#include "System.h"

class CutProxy
{
public:
    explicit CutProxy(Record &record) : m_record(record) { }
    ~CutProxy()
    {
        m_stopped = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        while (m_connections > 0) {
            sleepMs(10);
        }
    }

    void listen(const std::string &ip, int port, int targetPort)
    {
        const int listener = listenOn(ip, port);
        if (listener < 0) {
            throw CannotRun{"cannot listen on " + ip};
        }
        m_threads.emplace_back([this, listener, target = ip + ":" + std::to_string(targetPort)] {
            while (!m_stopped) {
                pollfd entry{listener, POLLIN, 0};
                if (::poll(&entry, 1, 20) != 1) {
                    continue;
                }
                const int client = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (client >= 0) {
                    ++m_connections;
                    std::thread([this, client, target] {
                        carry(client, target);
                        ::close(client);
                        --m_connections;
                    }).detach();
                }
            }
            ::close(listener);
        });
    }
    void setCut(bool cut)
    {
        m_cut = cut;
        m_record.line(cut ? "the machine is cut off" : "the cut has healed");
    }

private:
    void carry(int client, const std::string &target)
    {
        // A connection that is opened during a cut never comes about.
        if (m_cut) {
            while (m_cut && !m_stopped) {
                sleepMs(5);
            }
            return;
        }
        const int server = connectTo(target, 500);
        if (server < 0) {
            return;
        }
        bool open[2] = {true, true};
        const int ends[2] = {client, server};
        while (!m_stopped && (open[0] || open[1])) {
            if (m_cut) {
                sleepMs(2);
                continue;
            }
            for (int side = 0; side < 2; ++side) {
                pollfd entry{ends[side], POLLIN, 0};
                if (!open[side] || ::poll(&entry, 1, side) != 1 || m_cut) {
                    continue;
                }
                char bytes[65536];
                const ssize_t count = ::recv(ends[side], bytes, sizeof bytes, MSG_DONTWAIT);
                if (count > 0) {
                    sendAll(ends[1 - side], std::string(bytes, static_cast<std::size_t>(count)));
                } else if (count == 0) {
                    open[side] = false;
                    ::shutdown(ends[1 - side], SHUT_WR);
                } else if (errno != EAGAIN) {
                    open[0] = false;
                    open[1] = false;
                }
            }
        }
        ::close(server);
    }

    Record &m_record;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_cut{false};
    std::atomic<bool> m_stopped{false};
    std::atomic<int> m_connections{0};
};
