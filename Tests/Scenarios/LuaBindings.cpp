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
#include "HttpCall.h"
#include "Load.h"
#include "Relay.h"

namespace dandelionloom::scenario {

namespace {

const ScriptEnvironment &environmentOf(lua_State *lua)
{
    return *static_cast<const ScriptEnvironment *>(lua_touserdata(lua, lua_upvalueindex(1)));
}

/// Runs a binding and turns C++ exceptions into Lua errors. The message is copied to the Lua stack
/// before the exception ends, because lua_error does not return.
template <typename Body>
int guarded(lua_State *lua, Body body)
{
    try {
        return body();
    } catch (const std::exception &exception) {
        lua_pushstring(lua, exception.what());
    }
    return lua_error(lua);
}

std::string textField(lua_State *lua, int table, const char *name, const std::string &fallback)
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

std::vector<std::string> textArray(lua_State *lua, int index)
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

HttpCall callFrom(lua_State *lua, int table)
{
    HttpCall call;
    call.method = textField(lua, table, "method", "GET");
    call.address = textField(lua, table, "address", "");
    call.path = textField(lua, table, "path", "/");
    call.body = textField(lua, table, "body", "");
    call.timeoutMs = integerField(lua, table, "timeout_ms", call.timeoutMs);
    lua_getfield(lua, table, "headers");
    if (lua_istable(lua, -1)) {
        lua_pushnil(lua);
        while (lua_next(lua, -2) != 0) {
            call.headers[lua_tostring(lua, -2)] = lua_tostring(lua, -1);
            lua_pop(lua, 1);
        }
    }
    lua_pop(lua, 1);
    return call;
}

template <typename T>
struct Handle
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

struct ScriptLoad : Load
{
    static constexpr const char *luaName = "load";
    using Load::Load;
};

/// spawn{program=, arguments={...}, output=, environment={...}}
int spawn(lua_State *lua)
{
    return guarded(lua, [&] {
        std::vector<std::string> arguments{environmentOf(lua).binaries + "/"
                                           + textField(lua, 1, "program", "")};
        lua_getfield(lua, 1, "arguments");
        for (std::string &argument : textArray(lua, lua_gettop(lua))) {
            arguments.push_back(std::move(argument));
        }
        std::vector<std::string> variables;
        lua_getfield(lua, 1, "environment");
        if (lua_istable(lua, -1)) {
            variables = textArray(lua, lua_gettop(lua));
        }
        Handle<ScriptProcess>::push(lua,
                                    std::make_unique<ScriptProcess>(
                                            arguments, textField(lua, 1, "output", ""), variables));
        return 1;
    });
}

int processSignal(lua_State *lua)
{
    return guarded(lua, [&] {
        static const std::map<std::string, int> numbers{
                {"kill", SIGKILL}, {"term", SIGTERM}, {"stop", SIGSTOP}, {"cont", SIGCONT}};
        Handle<ScriptProcess>::from(lua).signal(numbers.at(luaL_checkstring(lua, 2)));
        return 0;
    });
}

int processRunning(lua_State *lua)
{
    return guarded(lua, [&] {
        lua_pushboolean(lua, Handle<ScriptProcess>::from(lua).isRunning() ? 1 : 0);
        return 1;
    });
}

int processWait(lua_State *lua)
{
    return guarded(lua, [&] {
        lua_pushinteger(lua, Handle<ScriptProcess>::from(lua).wait());
        return 1;
    });
}

int processId(lua_State *lua)
{
    return guarded(lua, [&] {
        lua_pushinteger(lua, Handle<ScriptProcess>::from(lua).id());
        return 1;
    });
}

/// relay(listen, target)
int relay(lua_State *lua)
{
    return guarded(lua, [&] {
        Handle<ScriptRelay>::push(
                lua,
                std::make_unique<ScriptRelay>(luaL_checkstring(lua, 1), luaL_checkstring(lua, 2)));
        return 1;
    });
}

int relayCut(lua_State *lua)
{
    return guarded(lua, [&] {
        Handle<ScriptRelay>::from(lua).cut(lua_toboolean(lua, 2) != 0, lua_toboolean(lua, 3) != 0);
        return 0;
    });
}

int relayDelay(lua_State *lua)
{
    return guarded(lua, [&] {
        Handle<ScriptRelay>::from(lua).delay(static_cast<int>(luaL_checkinteger(lua, 2)));
        return 0;
    });
}

int relayReset(lua_State *lua)
{
    return guarded(lua, [&] {
        Handle<ScriptRelay>::from(lua).reset();
        return 0;
    });
}

/// load{addresses={...}, request={...}, key_prefix=, callers=, pause_ms=, seed=}
int load(lua_State *lua)
{
    return guarded(lua, [&] {
        LoadOptions options;
        lua_getfield(lua, 1, "addresses");
        options.addresses = textArray(lua, lua_gettop(lua));
        lua_getfield(lua, 1, "request");
        options.request = callFrom(lua, lua_gettop(lua));
        options.keyPrefix = textField(lua, 1, "key_prefix", "");
        options.callers = integerField(lua, 1, "callers", options.callers);
        options.pauseMs = integerField(lua, 1, "pause_ms", options.pauseMs);
        options.seed = static_cast<std::uint64_t>(integerField(lua, 1, "seed", 1));
        Handle<ScriptLoad>::push(lua, std::make_unique<ScriptLoad>(std::move(options)));
        return 1;
    });
}

int loadStop(lua_State *lua)
{
    return guarded(lua, [&] {
        Handle<ScriptLoad>::from(lua).stop();
        return 0;
    });
}

int loadForeign(lua_State *lua)
{
    return guarded(lua, [&] {
        lua_pushinteger(lua, Handle<ScriptLoad>::from(lua).foreignAnswers());
        return 1;
    });
}

/// Gives an array of {key=, outcome=, status=, elapsed_ms=}.
int loadRequests(lua_State *lua)
{
    return guarded(lua, [&] {
        lua_newtable(lua);
        int position = 0;
        for (const Load::Request &request : Handle<ScriptLoad>::from(lua).requests()) {
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

/// http{method=, address=, path=, headers=, body=, timeout_ms=} gives a table with status (0
/// without an answer), headers, body and error.
int http(lua_State *lua)
{
    return guarded(lua, [&] {
        const HttpResponse answer = callHttp(callFrom(lua, 1));
        lua_newtable(lua);
        lua_pushinteger(lua, answer.status);
        lua_setfield(lua, -2, "status");
        lua_pushlstring(lua, answer.body.data(), answer.body.size());
        lua_setfield(lua, -2, "body");
        lua_pushstring(lua, answer.error.c_str());
        lua_setfield(lua, -2, "error");
        lua_newtable(lua);
        for (const auto &[name, value] : answer.headers) {
            lua_pushstring(lua, value.c_str());
            lua_setfield(lua, -2, name.c_str());
        }
        lua_setfield(lua, -2, "headers");
        return 1;
    });
}

/// Sends raw bytes and gives what came back until the close or the timeout: send_raw(address,
/// bytes, timeout_ms).
int sendRaw(lua_State *lua)
{
    return guarded(lua, [&] {
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
            // A close or a timeout ends the exchange; the script looks at what came back.
        }
        lua_pushlstring(lua, received.data(), received.size());
        return 1;
    });
}

/// A range of ports of this process alone, below the system's ephemeral ports. The first port of
/// the range is kept bound, so that runners at work side by side take different ranges.
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
                marker = Poco::Net::ServerSocket(addressOf(start));
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

    int start = 0;
    int next = 0;
    Poco::Net::ServerSocket marker;
};

/// A port that nobody listens on. Ports are used again once the range is through.
int freePort(lua_State *lua)
{
    return guarded(lua, [&] {
        static PortRange range;
        for (int tried = 1; tried < PortRange::size; ++tried) {
            const int port = range.next;
            range.next = port + 1 < range.start + PortRange::size ? port + 1 : range.start + 1;
            try {
                const Poco::Net::ServerSocket probe(PortRange::addressOf(port));
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

/// Pause between two looks at a condition that the script waits for.
int pausePoll(lua_State *)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    return 0;
}

int writeFile(lua_State *lua)
{
    return guarded(lua, [&] {
        std::size_t size = 0;
        const char *text = luaL_checklstring(lua, 2, &size);
        std::ofstream file(luaL_checkstring(lua, 1), std::ios::binary);
        file.write(text, static_cast<std::streamsize>(size));
        return 0;
    });
}

int readFile(lua_State *lua)
{
    return guarded(lua, [&] {
        std::ifstream file(luaL_checkstring(lua, 1), std::ios::binary);
        std::ostringstream text;
        text << file.rdbuf();
        lua_pushlstring(lua, text.str().data(), text.str().size());
        return 1;
    });
}

int makeFolder(lua_State *lua)
{
    return guarded(lua, [&] {
        std::filesystem::create_directories(luaL_checkstring(lua, 1));
        return 0;
    });
}

/// Removes a folder below the work folder of the run.
int removeFolder(lua_State *lua)
{
    return guarded(lua, [&] {
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

void addBindings(lua_State *lua, const ScriptEnvironment &environment)
{
    static const luaL_Reg processMethods[] = {{"signal", processSignal},
                                              {"running", processRunning},
                                              {"wait", processWait},
                                              {"id", processId},
                                              {nullptr, nullptr}};
    static const luaL_Reg relayMethods[] = {
            {"cut", relayCut}, {"delay", relayDelay}, {"reset", relayReset}, {nullptr, nullptr}};
    static const luaL_Reg loadMethods[] = {{"stop", loadStop},
                                           {"requests", loadRequests},
                                           {"foreign_answers", loadForeign},
                                           {nullptr, nullptr}};
    Handle<ScriptProcess>::registerMethods(lua, processMethods);
    Handle<ScriptRelay>::registerMethods(lua, relayMethods);
    Handle<ScriptLoad>::registerMethods(lua, loadMethods);
    addFunction(lua, environment, "spawn", spawn);
    addFunction(lua, environment, "relay", relay);
    addFunction(lua, environment, "load_callers", load);
    addFunction(lua, environment, "http", http);
    addFunction(lua, environment, "send_raw", sendRaw);
    addFunction(lua, environment, "free_port", freePort);
    addFunction(lua, environment, "now_ms", nowMs);
    addFunction(lua, environment, "pause_poll", pausePoll);
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
