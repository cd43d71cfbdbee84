#include "Program/ServeCommand.h"

#include <iostream>

#include "Program/ExitCode.h"

namespace dandelionloom {

int runServe(const Settings &settings)
{
    std::cerr << "serve: instance '" << settings.instance.name
              << "' cannot start: the entry instance is not part of this build\n";
    return static_cast<int>(ExitCode::Refused);
}

} // namespace dandelionloom
