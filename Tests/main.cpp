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

/// Names of the tests that are expected to fail: the lines "test: <name>" of KNOWN-RED.txt.
std::set<std::string> readKnownFailures(const std::string &path)
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

/// Prints the name of each test before it runs, so that a hang shows its test, then the run time.
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
    std::string knownFailuresPath;
    std::string testName;
    for (int index = 1; index + 1 < argumentCount; index += 2) {
        const std::string option = arguments[index];
        if (option == "--known-red") {
            knownFailuresPath = arguments[index + 1];
        } else if (option == "--only") {
            testName = arguments[index + 1];
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
    runner.run(result, testName);

    CppUnit::CompilerOutputter outputter(&collector, std::cout);
    outputter.write();
    const std::set<std::string> knownFailures = readKnownFailures(knownFailuresPath);
    std::size_t failed = 0;
    for (const CppUnit::TestFailure *failure : collector.failures()) {
        if (knownFailures.contains(failure->failedTestName())) {
            std::cout << "known red: " << failure->failedTestName() << "\n";
        } else {
            ++failed;
        }
    }
    const std::size_t passed = collector.runTests() - collector.failures().size();
    std::cout << passed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
