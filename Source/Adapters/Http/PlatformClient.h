#pragma once

#include <string>

#include "Ports/Platform.h"

namespace dandelionloom {

struct PlatformClientOptions
{
    /// IP address and port of the platform's HTTP interface.
    std::string address;
    /// Sent as a bearer credential unless empty.
    std::string credential;
    Milliseconds timeout{2000};
};

/// Implements the Platform port over HTTP with JSON bodies. Every command has an id and an epoch.
/// The platform gives the same answer to a repeated id, and 409 to an epoch lower than the highest
/// it has seen.
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
