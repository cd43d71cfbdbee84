#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

namespace dandelionloom::soak {

/// Broken guarantees that a run has shown. Thread-safe.
class Findings
{
public:
    /// Keeps the text of the first findings only: one cause often shows many times.
    void add(const std::string &rule, const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        ++m_count;
        if (m_lines.size() < maxLines) {
            m_lines.push_back(rule + ": " + text);
        }
    }
    std::size_t count() const
    {
        const std::lock_guard lock(m_mutex);
        return m_count;
    }
    std::vector<std::string> lines() const
    {
        const std::lock_guard lock(m_mutex);
        return m_lines;
    }

private:
    static constexpr std::size_t maxLines = 20;

    mutable std::mutex m_mutex;
    std::size_t m_count = 0;
    std::vector<std::string> m_lines;
};

} // namespace dandelionloom::soak
