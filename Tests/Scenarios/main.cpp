#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <string>
#include <vector>

#include <cxxopts.hpp>
#include <lua.hpp>

#include "LuaBindings.h"

namespace {

using dandelionloom::scenario::ScriptEnvironment;

int appendTraceback(lua_State *lua)
{
    luaL_traceback(lua, lua, lua_tostring(lua, 1), 1);
    return 1;
}

/// Runs one script; returns the error message, empty on success.
std::string runScript(const std::string &path, const ScriptEnvironment &environment)
{
    lua_State *lua = luaL_newstate();
    luaL_openlibs(lua);
    dandelionloom::scenario::registerBindings(lua, environment);
    lua_pushcfunction(lua, appendTraceback);
    std::string error;
    if (luaL_loadfile(lua, path.c_str()) != LUA_OK || lua_pcall(lua, 0, 0, 1) != LUA_OK) {
        error = lua_tostring(lua, -1);
    }
    // Closing the state destroys the userdata, which kills every process that the script started.
    lua_close(lua);
    return error;
}

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

std::vector<std::filesystem::path> scriptsIn(const std::string &folder)
{
    std::vector<std::filesystem::path> scripts;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == ".lua") {
            scripts.push_back(entry.path());
        }
    }
    std::sort(scripts.begin(), scripts.end());
    return scripts;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    cxxopts::Options options("dandelionloomScenarios", "Runs the scenario scripts of a folder");
    options.add_options()("binaries", "folder of the programs", cxxopts::value<std::string>())(
            "known-red", "list of tests that may fail",
            cxxopts::value<std::string>()->default_value("KNOWN-RED.txt"))(
            "only", "run the scripts whose name contains this",
            cxxopts::value<std::string>()->default_value(""))(
            "seed", "seed of the random choices", cxxopts::value<unsigned>()->default_value("1"))(
            "keep", "keep the work folders of passed scripts")("folder", "folder of the scripts",
                                                               cxxopts::value<std::string>());
    options.parse_positional({"folder"});
    const auto parsed = options.parse(argumentCount, arguments);
    // A write to a connection that the peer has closed must fail the call, not end the runner.
    std::signal(SIGPIPE, SIG_IGN);

    const std::string folder = parsed["folder"].as<std::string>();
    const auto knownFailures = readKnownFailures(parsed["known-red"].as<std::string>());
    int passed = 0;
    int failed = 0;
    for (const auto &script : scriptsIn(folder)) {
        const std::string name = "scenario " + script.stem().string();
        if (name.find(parsed["only"].as<std::string>()) == std::string::npos) {
            continue;
        }
        std::string workTemplate = std::filesystem::temp_directory_path() / "dandelionloom-XXXXXX";
        ScriptEnvironment environment{
                std::filesystem::absolute(parsed["binaries"].as<std::string>()), folder,
                mkdtemp(workTemplate.data()), parsed["seed"].as<unsigned>()};
        const auto start = std::chrono::steady_clock::now();
        const std::string error = runScript(script, environment);
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - start);
        const bool isKnownFailure = knownFailures.contains(name);
        std::cout << name << ", seed " << environment.seed << ": "
                  << (error.empty()            ? "passed"
                              : isKnownFailure ? "known red"
                                               : "failed")
                  << " (" << elapsed.count() << " ms)" << std::endl;
        if (!error.empty()) {
            std::cout << error << "\nlogs: " << environment.workFolder << std::endl;
            failed += isKnownFailure ? 0 : 1;
            continue;
        }
        ++passed;
        if (parsed.count("keep") == 0) {
            std::filesystem::remove_all(environment.workFolder);
        }
    }
    std::cout << passed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
