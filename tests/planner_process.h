// Test fixture that runs the planner executable as a child process and connects it to simulated discovery,
// collectors and proxies on loopback sockets. The simulated peers implement the published protocol without
// the planner's code.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <string>
#include <utility>

namespace zincstack::tests {

namespace asio = boost::asio;
using asio::ip::tcp;

/// The settings in the start file, unless a test replaces PlannerProcess::settings.
inline constexpr std::string_view kDefaultSettings =
    R"({"Balancers":1,"Classes":[{"Name":"lookup","AimS":1.0,"DeadlineS":3.0,
    "Effect":"retryable","Worth":3.0}],"Contract":{"ColdS":16.0,"DrainGraceS":2.0,"FallMultiple":4.0,
    "OverloadForS":3.0,"StartCapacity":0.19},"Discovery":"automatic","Extra":{"BlackholeS":3.0,"DataPlaneSize":6,
    "EgressPerS":7000.0,"Envelope":6.0,"QueueCap":14000.0,"ThrottleBy":"rps","PeriodS":1.0},"TickS":0.005,
    "WeightKind":"rough","Zones":["a","b"]})";

/// SIGALRM ends a test that blocks for longer. No test needs that long.
inline constexpr unsigned kTestTimeoutSeconds = 60;

/// An entry of discovery's endpoint list, as JSON.
inline std::string listEntry(std::string_view name, std::string_view phase) {
    return R"({"id":")" + std::string(name) +
           R"(","host_port":"127.0.0.1:1","locality":"a","flavor":"m","cell":1,"phase":")" +
           std::string(phase) + R"(","size":1.0,"up_since_ms":0})";
}

/// Discovery's HTTP response: a snapshot of the endpoint list if `complete`, otherwise the changed entries.
inline std::string listResponse(int revision, bool complete, const std::string& entries) {
    const std::string body = R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" +
                             (complete ? "true" : "false") + R"(,"members":[)" + entries + "]}";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A simulated peer's connection to the planner. Reads block; the only time limit is kTestTimeoutSeconds.
struct TestConnection {
    tcp::socket socket;
    std::string received; ///< bytes taken from the socket that no read has returned yet

    void write(const std::string& text) { asio::write(socket, asio::buffer(text)); }
    /// Returns everything up to and including the delimiter.
    std::string readUntil(std::string_view delimiter) {
        const std::size_t size = asio::read_until(socket, asio::dynamic_buffer(received), delimiter);
        std::string text = received.substr(0, size);
        received.erase(0, size);
        return text;
    }
    /// Returns the next line that contains the text and discards the lines before it.
    std::string readLineWith(std::string_view text) {
        for (;;)
            if (std::string line = readUntil("\r\n"); line.find(text) != std::string::npos) return line;
    }
};

/// Starts a planner process with its own start file and kills it at the end of the test if it still runs.
/// Also listens on a loopback port as the discovery service.
struct PlannerProcess : testing::Test {
    asio::io_context io;
    tcp::acceptor discovery{io, {asio::ip::address_v4::loopback(), 0}};
    std::string startFilePath = testing::TempDir() + "zincstack-" + std::to_string(getpid()) + ".json";
    std::string settings{kDefaultSettings};
    pid_t pid = 0;
    FILE* log = nullptr; ///< standard error of the process

    void writeStartFile(const std::string& listen, std::string_view discoveryField,
                        std::uint16_t discoveryPort) {
        std::ofstream(startFilePath)
            << R"({"name":"n1","listen":")" << listen << R"(",")" << discoveryField << R"(":"127.0.0.1:)"
            << discoveryPort
            << R"(","seed":"1f","limits":{"sockets":256},"known":{"revision":1,"complete":true,"members":[)"
            << listEntry("s-0", "Ready") << R"(]},"settings":)" << settings << "}";
    }

    /// Writes the start file and starts the process.
    void start(const std::string& listen, std::string_view discoveryField = "discovery",
               const std::string& operatorFile = {}) {
        writeStartFile(listen, discoveryField, discovery.local_endpoint().port());
        spawn(operatorFile);
    }

    /// Starts the process with the start file as it is.
    void spawn(const std::string& operatorFile = {}) {
        int logPipe[2];
        ASSERT_EQ(pipe(logPipe), 0);
        posix_spawn_file_actions_t fileActions;
        posix_spawn_file_actions_init(&fileActions);
        posix_spawn_file_actions_adddup2(&fileActions, logPipe[1], STDERR_FILENO);
        posix_spawn_file_actions_addclose(&fileActions, logPipe[0]);
        const std::string variable = "PROXY_CONFIG=" + startFilePath;
        char program[] = ZINCSTACK_PROGRAM;
        char operatorFlag[] = "--operator";
        char* arguments[] = {program, operatorFile.empty() ? nullptr : operatorFlag,
                             const_cast<char*>(operatorFile.c_str()), nullptr};
        char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
        ASSERT_EQ(posix_spawn(&pid, program, &fileActions, nullptr, arguments, environment), 0);
        posix_spawn_file_actions_destroy(&fileActions);
        close(logPipe[1]);
        log = fdopen(logPipe[0], "r");
        alarm(kTestTimeoutSeconds);
    }

    /// Returns the next log line that contains the text, or an empty string if the log ends first.
    std::string waitForLogLine(std::string_view text) {
        char line[4096];
        while (std::fgets(line, sizeof line, log))
            if (std::string_view(line).find(text) != std::string_view::npos) return line;
        return {};
    }

    /// Starts the process on a free port and returns the port.
    std::uint16_t startAtFreePort() {
        constexpr std::string_view kHost = "127.0.0.1:";
        start("127.0.0.1:0");
        const std::string line = waitForLogLine("listening");
        return static_cast<std::uint16_t>(std::stoi(line.substr(line.find(kHost) + kHost.size())));
    }

    /// Waits for the process to exit and returns its exit code, or -1 if a signal terminated it.
    int exitCode() {
        int status = -1;
        waitpid(std::exchange(pid, 0), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

    TestConnection connect(std::uint16_t port) {
        TestConnection connection{tcp::socket(io), {}};
        connection.socket.connect({asio::ip::address_v4::loopback(), port});
        return connection;
    }

    TestConnection unconnected() { return {tcp::socket(io), {}}; }

    void TearDown() override {
        if (pid) {
            kill(pid, SIGKILL);
            exitCode();
        }
        if (log) std::fclose(log);
        unlink(startFilePath.c_str());
        alarm(0);
    }
};

} // namespace zincstack::tests
