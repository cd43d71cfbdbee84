#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Model/EnumNames.h"
#include "Model/Fleet.h"
#include "Model/Result.h"
#include "Model/Time.h"

namespace dandelionloom {

enum class PlatformErrorKind {
    /// The platform did not respond. The command may have been executed; retry it with the same id.
    NoAnswer,
    /// The platform has seen a newer epoch. The command must not be retried.
    Fenced,
    /// The platform rejected the command for the reason in `message`.
    Refused
};
inline constexpr EnumNames<PlatformErrorKind, 3> platformErrorKindNames{
        {"no-answer", "fenced", "refused"}};

struct PlatformError
{
    PlatformErrorKind kind = PlatformErrorKind::NoAnswer;
    std::string message;
};

/// Identity of a command. The platform executes each id at most once, and rejects epochs that are
/// lower than the highest one it has seen for the instance.
struct PlatformCommandId
{
    std::string id;
    std::uint64_t epoch = 0;
};

/// A task that runs under a lease.
struct PlatformTask
{
    std::string id;
    std::string instance;
    std::uint32_t processors = 1;
    std::uint64_t memoryBytes = 0;
    std::uint32_t accelerators = 0;
    Milliseconds lease{0};
};

struct PlatformUsage
{
    std::string instance;
    double processors = 0;
    std::uint64_t memoryBytes = 0;
    std::uint32_t runningTasks = 0;
    /// Age of the report.
    Milliseconds lag{0};
};

/// Client of the platform that owns the machines. Calls block for at most the adapter's timeout.
class Platform
{
public:
    virtual ~Platform() = default;

    virtual Result<Done, PlatformError> drain(const PlatformCommandId &command,
                                              const std::string &instance, Milliseconds limit) = 0;
    /// Cancels a drain before the instance is stopped.
    virtual Result<Done, PlatformError> undrain(const PlatformCommandId &command,
                                                const std::string &instance) = 0;
    virtual Result<Done, PlatformError> reboot(const PlatformCommandId &command,
                                               const std::string &instance) = 0;
    virtual Result<PlatformInstanceState, PlatformError> state(const std::string &instance) = 0;
    virtual Result<Done, PlatformError> runTask(const PlatformCommandId &command,
                                                const PlatformTask &task) = 0;
    virtual Result<Done, PlatformError> checkpointTask(const PlatformCommandId &command,
                                                       const std::string &task) = 0;
    virtual Result<Done, PlatformError> throttleTask(const PlatformCommandId &command,
                                                     const std::string &task, double share) = 0;
    virtual Result<Done, PlatformError> stopTask(const PlatformCommandId &command,
                                                 const std::string &task) = 0;
    virtual Result<std::vector<PlatformUsage>, PlatformError> usage() = 0;
};

} // namespace dandelionloom
