#pragma once

#include <string>

struct lua_State;

namespace dandelionloom::scenario {

/// What a script can reach besides Lua's own libraries.
struct ScriptEnvironment
{
    /// Folder of the programs under test.
    std::string binaries;
    /// Folder of the scripts, where the shared modules are found.
    std::string scripts;
    /// Empty folder of this run of the script.
    std::string workFolder;
    unsigned seed = 1;
};

/// Adds the functions of the scenario language to a Lua state. `environment` must outlive it.
void addBindings(lua_State *lua, const ScriptEnvironment &environment);

} // namespace dandelionloom::scenario
