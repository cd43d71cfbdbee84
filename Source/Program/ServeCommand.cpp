#include "Program/ServeCommand.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <pthread.h>
#include <unistd.h>

#include "Program/EntryInstance.h"
#include "Program/ExitCode.h"

namespace dandelionloom {

int runServe(const Settings &settings)
{
    // Blocked before any thread starts, so that only sigwait() receives them. SIGPIPE is ignored: a
    // write to a connection that the peer has closed must not end the process.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    auto started = EntryInstance::start(settings, [](const std::string &message) {
        // After a failed sync it is unknown what is on disk, so the process exits without cleanup.
        std::cerr << "serve: " << message << std::endl;
        _exit(static_cast<int>(ExitCode::Refused));
    });
    if (!isOk(started)) {
        for (const std::string &fault : errorOf(started).faults) {
            std::cerr << "serve: " << fault << "\n";
        }
        return static_cast<int>(ExitCode::Usage);
    }
    int signal = 0;
    sigwait(&signals, &signal);
    return static_cast<int>(ExitCode::Ok);
}

} // namespace dandelionloom
