#include "LuaBindings.h"

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <new>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <unistd.h>

#include <lua.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include "ChildProcess.h"
#include "HttpClient.h"
#include "LoadGenerator.h"
#include "Relay.h"

namespace dandelionloom::scenario {

namespace {

const ScriptEnvironment &environmentOf(lua_State *lua)
{
    return *static_cast<const ScriptEnvironment *>(lua_touserdata(lua, lua_upvalueindex(1)));
}

/// Runs a binding and converts C++ exceptions to Lua errors. The message is copied to the Lua stack
/// before the exception ends, because lua_error does not return.
template <typename Body>
int withLuaErrors(lua_State *lua, Body body)
{
    try {
        return body();
    } catch (const std::exception &exception) {
        lua_pushstring(lua, exception.what());
    }
    return lua_error(lua);
}

std::string stringField(lua_State *lua, int table, const char *name, const std::string &fallback)
{
    lua_getfield(lua, table, name);
    std::size_t size = 0;
    const char *text = lua_tolstring(lua, -1, &size);
    std::string result = text == nullptr ? fallback : std::string(text, size);
    lua_pop(lua, 1);
    return result;
}

int integerField(lua_State *lua, int table, const char *name, int fallback)
{
    lua_getfield(lua, table, name);
    const int result = lua_isnumber(lua, -1) ? static_cast<int>(lua_tonumber(lua, -1)) : fallback;
    lua_pop(lua, 1);
    return result;
}

std::vector<std::string> stringArray(lua_State *lua, int index)
{
    std::vector<std::string> result;
    const auto count = static_cast<int>(lua_rawlen(lua, index));
    for (int position = 1; position <= count; ++position) {
        lua_rawgeti(lua, index, position);
        result.emplace_back(lua_tostring(lua, -1));
        lua_pop(lua, 1);
    }
    return result;
}

HttpRequest requestFromTable(lua_State *lua, int table)
{
    HttpRequest request;
    request.method = stringField(lua, table, "method", "GET");
    request.address = stringField(lua, table, "address", "");
    request.path = stringField(lua, table, "path", "/");
    request.body = stringField(lua, table, "body", "");
    request.timeoutMs = integerField(lua, table, "timeout_ms", request.timeoutMs);
    lua_getfield(lua, table, "headers");
    if (lua_istable(lua, -1)) {
        lua_pushnil(lua);
        while (lua_next(lua, -2) != 0) {
            request.headers[lua_tostring(lua, -2)] = lua_tostring(lua, -1);
            lua_pop(lua, 1);
        }
    }
    lua_pop(lua, 1);
    return request;
}

template <typename T>
struct Userdata
{
    static T &from(lua_State *lua)
    {
        auto *holder = static_cast<std::unique_ptr<T> *>(luaL_checkudata(lua, 1, T::luaName));
        if (!*holder) {
            throw std::runtime_error(std::string(T::luaName) + " was closed");
        }
        return **holder;
    }

    static int collect(lua_State *lua)
    {
        static_cast<std::unique_ptr<T> *>(luaL_checkudata(lua, 1, T::luaName))->reset();
        return 0;
    }

    static void push(lua_State *lua, std::unique_ptr<T> object)
    {
        void *memory = lua_newuserdatauv(lua, sizeof(std::unique_ptr<T>), 0);
        new (memory) std::unique_ptr<T>(std::move(object));
        luaL_setmetatable(lua, T::luaName);
    }

    static void registerMethods(lua_State *lua, const luaL_Reg *methods)
    {
        luaL_newmetatable(lua, T::luaName);
        lua_pushvalue(lua, -1);
        lua_setfield(lua, -2, "__index");
        lua_pushcfunction(lua, &collect);
        lua_setfield(lua, -2, "__gc");
        lua_pushcfunction(lua, &collect);
        lua_setfield(lua, -2, "close");
        luaL_setfuncs(lua, methods, 0);
        lua_pop(lua, 1);
    }
};

struct ScriptProcess : ChildProcess
{
    static constexpr const char *luaName = "process";
    using ChildProcess::ChildProcess;
};

struct ScriptRelay : Relay
{
    static constexpr const char *luaName = "relay";
    using Relay::Relay;
};

struct ScriptLoad : LoadGenerator
{
    static constexpr const char *luaName = "load";
    using LoadGenerator::LoadGenerator;
};

/// spawn{program=, arguments={...}, output=, environment={...}}
int spawn(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        std::vector<std::string> arguments{environmentOf(lua).binaries + "/"
                                           + stringField(lua, 1, "program", "")};
        lua_getfield(lua, 1, "arguments");
        for (std::string &argument : stringArray(lua, lua_gettop(lua))) {
            arguments.push_back(std::move(argument));
        }
        std::vector<std::string> variables;
        lua_getfield(lua, 1, "environment");
        if (lua_istable(lua, -1)) {
            variables = stringArray(lua, lua_gettop(lua));
        }
        Userdata<ScriptProcess>::push(
                lua,
                std::make_unique<ScriptProcess>(arguments, stringField(lua, 1, "output", ""),
                                                variables));
        return 1;
    });
}

int processSignal(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        static const std::map<std::string, int> numbers{
                {"kill", SIGKILL}, {"term", SIGTERM}, {"stop", SIGSTOP}, {"cont", SIGCONT}};
        Userdata<ScriptProcess>::from(lua).signal(numbers.at(luaL_checkstring(lua, 2)));
        return 0;
    });
}

int processRunning(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        lua_pushboolean(lua, Userdata<ScriptProcess>::from(lua).isRunning() ? 1 : 0);
        return 1;
    });
}

int processWait(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        lua_pushinteger(lua, Userdata<ScriptProcess>::from(lua).wait());
        return 1;
    });
}

int processId(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        lua_pushinteger(lua, Userdata<ScriptProcess>::from(lua).id());
        return 1;
    });
}

/// relay(listen, target)
int relay(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        Userdata<ScriptRelay>::push(
                lua,
                std::make_unique<ScriptRelay>(luaL_checkstring(lua, 1), luaL_checkstring(lua, 2)));
        return 1;
    });
}

int relayBlock(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        Userdata<ScriptRelay>::from(lua).setBlocked(lua_toboolean(lua, 2) != 0,
                                                    lua_toboolean(lua, 3) != 0);
        return 0;
    });
}

int relayDelay(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        Userdata<ScriptRelay>::from(lua).setDelay(static_cast<int>(luaL_checkinteger(lua, 2)));
        return 0;
    });
}

int relayReset(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        Userdata<ScriptRelay>::from(lua).reset();
        return 0;
    });
}

/// start_load{addresses={...}, request={...}, key_prefix=, callers=, pause_ms=, seed=}
int startLoad(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        LoadOptions options;
        lua_getfield(lua, 1, "addresses");
        options.addresses = stringArray(lua, lua_gettop(lua));
        lua_getfield(lua, 1, "request");
        options.request = requestFromTable(lua, lua_gettop(lua));
        options.keyPrefix = stringField(lua, 1, "key_prefix", "");
        options.callers = integerField(lua, 1, "callers", options.callers);
        options.pauseMs = integerField(lua, 1, "pause_ms", options.pauseMs);
        options.seed = static_cast<std::uint64_t>(integerField(lua, 1, "seed", 1));
        Userdata<ScriptLoad>::push(lua, std::make_unique<ScriptLoad>(std::move(options)));
        return 1;
    });
}

int loadStop(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        Userdata<ScriptLoad>::from(lua).stop();
        return 0;
    });
}

int loadMismatchedResponses(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        lua_pushinteger(lua, Userdata<ScriptLoad>::from(lua).mismatchedResponses());
        return 1;
    });
}

/// Returns an array of {key=, outcome=, status=, elapsed_ms=}.
int loadRequests(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        lua_newtable(lua);
        int position = 0;
        for (const LoadGenerator::Request &request : Userdata<ScriptLoad>::from(lua).requests()) {
            lua_newtable(lua);
            lua_pushstring(lua, request.key.c_str());
            lua_setfield(lua, -2, "key");
            lua_pushstring(lua, request.outcome.c_str());
            lua_setfield(lua, -2, "outcome");
            lua_pushinteger(lua, request.status);
            lua_setfield(lua, -2, "status");
            lua_pushinteger(lua, request.elapsedMs);
            lua_setfield(lua, -2, "elapsed_ms");
            lua_rawseti(lua, -2, ++position);
        }
        return 1;
    });
}

/// http{method=, address=, path=, headers=, body=, timeout_ms=} returns a table with status (0
/// without a response), headers, body and error.
int http(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        const HttpResponse response = sendHttpRequest(requestFromTable(lua, 1));
        lua_newtable(lua);
        lua_pushinteger(lua, response.status);
        lua_setfield(lua, -2, "status");
        lua_pushlstring(lua, response.body.data(), response.body.size());
        lua_setfield(lua, -2, "body");
        lua_pushstring(lua, response.error.c_str());
        lua_setfield(lua, -2, "error");
        lua_newtable(lua);
        for (const auto &[name, value] : response.headers) {
            lua_pushstring(lua, value.c_str());
            lua_setfield(lua, -2, name.c_str());
        }
        lua_setfield(lua, -2, "headers");
        return 1;
    });
}

/// send_raw(address, bytes, timeout_ms) sends raw bytes and returns what was received until the
/// close or the timeout.
int sendRaw(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        std::size_t size = 0;
        const char *bytes = luaL_checklstring(lua, 2, &size);
        std::string received;
        try {
            Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(luaL_checkstring(lua, 1))};
            socket.setReceiveTimeout(
                    Poco::Timespan(luaL_checkinteger(lua, 3) * Poco::Timespan::MILLISECONDS));
            socket.sendBytes(bytes, static_cast<int>(size));
            char buffer[4096];
            for (int count = 0; (count = socket.receiveBytes(buffer, sizeof(buffer))) > 0;) {
                received.append(buffer, static_cast<std::size_t>(count));
            }
        } catch (const Poco::Exception &) {
            // A reset or a timeout ends the exchange; the script checks the bytes received so far.
        }
        lua_pushlstring(lua, received.data(), received.size());
        return 1;
    });
}

/// A port range reserved for this process, below the ephemeral ports of the system. The first port
/// of the range stays bound as a lock, so that concurrent runners take different ranges.
struct PortRange
{
    static constexpr int first = 20000;
    static constexpr int last = 32000;
    static constexpr int size = 400;

    PortRange()
    {
        constexpr int count = (last - first) / size;
        for (int tried = 0; tried < count; ++tried) {
            start = first + (getpid() + tried) % count * size;
            try {
                rangeLock = listenExclusively(start);
                next = start + 1;
                return;
            } catch (const Poco::Exception &) {
                continue;
            }
        }
        throw std::runtime_error("no free range of ports from 20000 to 32000");
    }

    static Poco::Net::SocketAddress addressOf(int port)
    {
        return Poco::Net::SocketAddress("127.0.0.1:" + std::to_string(port));
    }

    /// Throws if the port is in use. By default Poco lets several processes share a port.
    static Poco::Net::ServerSocket listenExclusively(int port)
    {
        Poco::Net::ServerSocket socket;
        socket.bind(addressOf(port), false, false);
        socket.listen();
        return socket;
    }

    int start = 0;
    int next = 0;
    Poco::Net::ServerSocket rangeLock;
};

/// Returns a port without a listener. Ports are reused after the end of the range is reached.
int freePort(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        static PortRange range;
        for (int tried = 1; tried < PortRange::size; ++tried) {
            const int port = range.next;
            range.next = port + 1 < range.start + PortRange::size ? port + 1 : range.start + 1;
            try {
                const Poco::Net::ServerSocket probe = PortRange::listenExclusively(port);
                lua_pushinteger(lua, port);
                return 1;
            } catch (const Poco::Exception &) {
                continue;
            }
        }
        throw std::runtime_error("no free port in the range from " + std::to_string(range.start));
    });
}

int nowMs(lua_State *lua)
{
    using namespace std::chrono;
    lua_pushinteger(lua,
                    duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count());
    return 1;
}

/// Sleeps between two evaluations of a condition that the script waits for.
int sleepPollInterval(lua_State *)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    return 0;
}

int writeFile(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        std::size_t size = 0;
        const char *text = luaL_checklstring(lua, 2, &size);
        std::ofstream file(luaL_checkstring(lua, 1), std::ios::binary);
        file.write(text, static_cast<std::streamsize>(size));
        return 0;
    });
}

int readFile(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        std::ifstream file(luaL_checkstring(lua, 1), std::ios::binary);
        std::ostringstream text;
        text << file.rdbuf();
        lua_pushlstring(lua, text.str().data(), text.str().size());
        return 1;
    });
}

int makeFolder(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        std::filesystem::create_directories(luaL_checkstring(lua, 1));
        return 0;
    });
}

/// Removes a folder below the work folder of the run.
int removeFolder(lua_State *lua)
{
    return withLuaErrors(lua, [&] {
        const std::string path = luaL_checkstring(lua, 1);
        if (!path.starts_with(environmentOf(lua).workFolder + "/")) {
            throw std::runtime_error("expected a folder below the work folder, found " + path);
        }
        std::filesystem::remove_all(path);
        return 0;
    });
}

void addFunction(lua_State *lua, const ScriptEnvironment &environment, const char *name,
                 lua_CFunction function)
{
    lua_pushlightuserdata(lua, const_cast<ScriptEnvironment *>(&environment));
    lua_pushcclosure(lua, function, 1);
    lua_setglobal(lua, name);
}

} // namespace

void registerBindings(lua_State *lua, const ScriptEnvironment &environment)
{
    static const luaL_Reg processMethods[] = {{"signal", processSignal},
                                              {"running", processRunning},
                                              {"wait", processWait},
                                              {"id", processId},
                                              {nullptr, nullptr}};
    static const luaL_Reg relayMethods[] = {{"block", relayBlock},
                                            {"delay", relayDelay},
                                            {"reset", relayReset},
                                            {nullptr, nullptr}};
    static const luaL_Reg loadMethods[] = {{"stop", loadStop},
                                           {"requests", loadRequests},
                                           {"mismatched_responses", loadMismatchedResponses},
                                           {nullptr, nullptr}};
    Userdata<ScriptProcess>::registerMethods(lua, processMethods);
    Userdata<ScriptRelay>::registerMethods(lua, relayMethods);
    Userdata<ScriptLoad>::registerMethods(lua, loadMethods);
    addFunction(lua, environment, "spawn", spawn);
    addFunction(lua, environment, "relay", relay);
    addFunction(lua, environment, "start_load", startLoad);
    addFunction(lua, environment, "http", http);
    addFunction(lua, environment, "send_raw", sendRaw);
    addFunction(lua, environment, "free_port", freePort);
    addFunction(lua, environment, "now_ms", nowMs);
    addFunction(lua, environment, "sleep_poll_interval", sleepPollInterval);
    addFunction(lua, environment, "write_file", writeFile);
    addFunction(lua, environment, "read_file", readFile);
    addFunction(lua, environment, "make_folder", makeFolder);
    addFunction(lua, environment, "remove_folder", removeFolder);
    lua_pushstring(lua, environment.workFolder.c_str());
    lua_setglobal(lua, "work_folder");
    lua_pushinteger(lua, environment.seed);
    lua_setglobal(lua, "seed");
    lua_getglobal(lua, "package");
    lua_pushstring(lua, (environment.scripts + "/Support/?.lua").c_str());
    lua_setfield(lua, -2, "path");
    lua_pop(lua, 1);
}

} // namespace dandelionloom::scenario
