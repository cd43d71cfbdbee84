#pragma once

#include <string>

#include "Ports/Platform.h"

namespace dandelionloom {

struct PlatformClientOptions
{
    /// IP number and port of the platform's HTTP interface.
    std::string address;
    /// Sent as a bearer credential; empty for none.
    std::string credential;
    Milliseconds timeout{2000};
};

/// Platform port over HTTP with JSON bodies. Every command carries its id and epoch; the platform
/// answers a repeated id as it did the first time, and 409 to an epoch lower than it has seen.
class PlatformClient : public Platform
{
public:
    explicit PlatformClient(PlatformClientOptions options);

    Result<Done, PlatformError> drain(const PlatformCommandId &command, const std::string &instance,
                                      Milliseconds limit) override;
    Result<Done, PlatformError> undrain(const PlatformCommandId &command,
                                        const std::string &instance) override;
    Result<Done, PlatformError> reboot(const PlatformCommandId &command,
                                       const std::string &instance) override;
    Result<PlatformInstanceState, PlatformError> state(const std::string &instance) override;
    Result<Done, PlatformError> runTask(const PlatformCommandId &command,
                                        const PlatformTask &task) override;
    Result<Done, PlatformError> checkpointTask(const PlatformCommandId &command,
                                               const std::string &task) override;
    Result<Done, PlatformError> throttleTask(const PlatformCommandId &command,
                                             const std::string &task, double share) override;
    Result<Done, PlatformError> stopTask(const PlatformCommandId &command,
                                         const std::string &task) override;
    Result<std::vector<PlatformUsage>, PlatformError> usage() override;

private:
    const PlatformClientOptions m_options;
};

} // namespace dandelionloom
