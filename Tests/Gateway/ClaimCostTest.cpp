#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <iostream>
#include <thread>

#include "Gateway/GatewayStack.h"

using namespace dandelionloom;
using namespace dandelionloom::test;
using dandelionloom::standIn::EndpointHttp;
using dandelionloom::standIn::EndpointSettings;

namespace {

constexpr int callerCount = 8;
constexpr int requestsPerCaller = 100;

/// Mean time of a POST in milliseconds. Each caller sends its requests one after the other.
double meanMilliseconds(GatewayStack &stack, const std::string &keyPrefix)
{
    std::vector<double> sums(callerCount);
    std::vector<std::thread> callers;
    for (int caller = 0; caller < callerCount; ++caller) {
        callers.emplace_back([&, caller] {
            RawCaller connection(stack.callerAddress());
            for (int number = 0; number < requestsPerCaller; ++number) {
                CallOptions options;
                options.method = "POST";
                options.body = "order";
                if (!keyPrefix.empty()) {
                    options.headers = {
                            {"Idempotency-Key",
                             keyPrefix + std::to_string(caller) + "-" + std::to_string(number)}};
                }
                const auto start = std::chrono::steady_clock::now();
                connection.send(requestBytes(options));
                const CallerAnswer answer = connection.receive();
                const std::chrono::duration<double, std::milli> elapsed =
                        std::chrono::steady_clock::now() - start;
                sums[static_cast<std::size_t>(caller)] += elapsed.count();
                if (answer.outcome() != "done") {
                    // One failed request raises the mean above any bound of the test.
                    sums[static_cast<std::size_t>(caller)] += 1e9;
                }
            }
        });
    }
    double sum = 0;
    for (std::size_t caller = 0; caller < callers.size(); ++caller) {
        callers[caller].join();
        sum += sums[caller];
    }
    return sum / (callerCount * requestsPerCaller);
}

} // namespace

class ClaimCostTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimCostTest);
    CPPUNIT_TEST(claimedNextToUnclaimed);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a log command for every keyed request instead of one for each batch. Prints
    /// the time that a claim adds to a request.
    void claimedNextToUnclaimed()
    {
        EndpointSettings settings;
        settings.slots = 64;
        EndpointHttp endpoint(settings);
        FakeLog log;
        applyPlans(log);
        GatewayStack stack(log, "entry-1");
        stack.announce("worker-1", endpoint.address());
        CPPUNIT_ASSERT(log.waitForCommands(2));
        constexpr int requests = callerCount * requestsPerCaller;
        const double unclaimed = meanMilliseconds(stack, "");
        std::cout << " unclaimed " << unclaimed << " ms";
        for (const int commandMs : {0, 5}) {
            log.commandMs = commandMs;
            const int before = log.commands();
            const double claimed = meanMilliseconds(stack, "k" + std::to_string(commandMs) + "-");
            const int commands = log.commands() - before;
            std::cout << ", claimed with " << commandMs << " ms a command " << claimed << " ms, "
                      << commands << " commands for " << requests << " requests";
            CPPUNIT_ASSERT(claimed < 1e6);
            if (commandMs > 0) {
                // Without batching there would be two commands for each request: claim and
                // settlement.
                CPPUNIT_ASSERT(commands < requests);
            }
        }
        std::cout << " ";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimCostTest);
