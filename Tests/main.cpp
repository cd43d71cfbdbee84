#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <set>
#include <string>

namespace {

/// Names of the tests that KNOWN-RED.txt lists: lines "test: <name>".
std::set<std::string> knownRedTests(const std::string &path)
{
    std::set<std::string> names;
    std::ifstream file(path);
    const std::string prefix = "test: ";
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(prefix)) {
            names.insert(line.substr(prefix.size()));
        }
    }
    return names;
}

/// Prints each test with its run time, so that a hang names the test that hangs.
class ProgressPrinter : public CppUnit::TestListener
{
public:
    void startTest(CppUnit::Test *test) override
    {
        m_start = std::chrono::steady_clock::now();
        std::cout << test->getName() << std::flush;
    }

    void endTest(CppUnit::Test *) override
    {
        using namespace std::chrono;
        const auto elapsed = duration_cast<milliseconds>(steady_clock::now() - m_start);
        std::cout << " " << elapsed.count() << " ms" << std::endl;
    }

private:
    std::chrono::steady_clock::time_point m_start;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    std::string knownRedPath;
    std::string only;
    for (int index = 1; index + 1 < argumentCount; index += 2) {
        const std::string option = arguments[index];
        if (option == "--known-red") {
            knownRedPath = arguments[index + 1];
        } else if (option == "--only") {
            only = arguments[index + 1];
        } else {
            std::cerr << "expected --known-red FILE or --only NAME, found " << option << "\n";
            return 2;
        }
    }

    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    ProgressPrinter printer;
    result.addListener(&collector);
    result.addListener(&printer);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(result, only);

    CppUnit::CompilerOutputter outputter(&collector, std::cout);
    outputter.write();
    const std::set<std::string> knownRed = knownRedTests(knownRedPath);
    std::size_t failed = 0;
    for (const CppUnit::TestFailure *failure : collector.failures()) {
        if (knownRed.contains(failure->failedTestName())) {
            std::cout << "known red: " << failure->failedTestName() << "\n";
        } else {
            ++failed;
        }
    }
    const std::size_t passed = collector.runTests() - collector.failures().size();
    std::cout << passed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
