#pragma once

#include <string>

struct lua_State;

namespace dandelionloom::scenario {

/// Paths and values that the bindings use and make available to a script.
struct ScriptEnvironment
{
    /// Folder of the programs under test.
    std::string binaries;
    /// Folder of the scripts, where the shared modules are found.
    std::string scripts;
    /// Folder for the files of this run of the script, empty at the start.
    std::string workFolder;
    unsigned seed = 1;
};

/// Registers the functions for scenario scripts in a Lua state. `environment` must outlive it.
void registerBindings(lua_State *lua, const ScriptEnvironment &environment);

} // namespace dandelionloom::scenario
