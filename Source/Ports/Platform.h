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
    /// The platform did not answer. The command may have been done; repeat it with the same id.
    NoAnswer,
    /// A command with a newer epoch was seen by the platform. Never repeat.
    Fenced,
    /// The platform refused the command for the reason in `message`.
    Refused
};
inline constexpr EnumNames<PlatformErrorKind, 3> platformErrorKindNames{
        {"no-answer", "fenced", "refused"}};

struct PlatformError
{
    PlatformErrorKind kind = PlatformErrorKind::NoAnswer;
    std::string message;
};

/// Identity of a command: the platform does an id once, and refuses epochs lower than it has seen
/// for the instance.
struct PlatformCommandId
{
    std::string id;
    std::uint64_t epoch = 0;
};

/// A task to run under a lease.
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
    /// How old the report is.
    Milliseconds lag{0};
};

/// The platform that owns the machines. Calls block up to the adapter's timeout.
class Platform
{
public:
    virtual ~Platform() = default;

    virtual Result<Done, PlatformError> drain(const PlatformCommandId &command,
                                              const std::string &instance, Milliseconds limit) = 0;
    /// Ends a drain before the stop.
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
