#pragma once

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace dandelionloom::test {

/// A new folder that the destructor removes with its content.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern =
                (std::filesystem::temp_directory_path() / "dandelionloom-test-XXXXXX").string();
        if (mkdtemp(pattern.data()) == nullptr) {
            throw std::runtime_error("cannot create a temporary folder " + pattern);
        }
        m_path = pattern;
    }

    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }

    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    /// Writes a file and returns its path.
    std::string write(const std::string &name, const std::string &text) const
    {
        const std::filesystem::path file = m_path / name;
        std::ofstream(file, std::ios::binary) << text;
        return file.string();
    }

    std::string path() const { return m_path.string(); }

private:
    std::filesystem::path m_path;
};

} // namespace dandelionloom::test
