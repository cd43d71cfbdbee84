#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

#include "Adapters/Settings/NumberKeys.h"

using namespace dandelionloom;

namespace {

/// Reads a file of the repository. The tests run from its root.
std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void requireRow(const std::string &page, const std::string &row)
{
    CPPUNIT_ASSERT_MESSAGE("docs/settings.md lacks the row: " + row,
                           page.find("\n" + row + "\n") != std::string::npos);
}

} // namespace

class DocumentationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DocumentationTest);
    CPPUNIT_TEST(settingsPageMatchesKeys);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a settings page whose defaults, ranges or reasons differ from those in the
    /// code.
    void settingsPageMatchesKeys()
    {
        const std::string page = readFile("docs/settings.md");
        for (const NumberKey &key : numberKeys()) {
            std::ostringstream row;
            row << "| `" << key.key << "` | " << key.unit << " | " << key.defaultValue << " | "
                << key.minValue << " to " << key.maxValue << " | " << key.reason << " |";
            requireRow(page, row.str());
        }
        for (const DecimalKey &key : decimalKeys()) {
            std::ostringstream row;
            row << "| `" << key.key << "` | none | " << key.defaultValue << " | " << key.minValue
                << " to " << key.maxValue << " | " << key.reason << " |";
            requireRow(page, row.str());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentationTest);
