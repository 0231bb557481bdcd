// The built planner as a process of its own, beside stand-ins of discovery, collectors and proxies on loopback
// sockets, from the published protocol.
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

inline constexpr std::string_view kDaemonTerms =
    R"({"Balancers":1,"Classes":[{"Name":"lookup","AimS":1.0,"DeadlineS":3.0,
    "Effect":"retryable","Worth":3.0}],"Contract":{"ColdS":16.0,"DrainGraceS":2.0,"FallMultiple":4.0,
    "OverloadForS":3.0,"StartCapacity":0.19},"Discovery":"automatic","Extra":{"BlackholeS":3.0,"DataPlaneSize":6,
    "EgressPerS":7000.0,"Envelope":6.0,"QueueCap":14000.0,"ThrottleBy":"rps","PeriodS":1.0},"TickS":0.005,
    "WeightKind":"rough","Zones":["a","b"]})";

inline std::string member(std::string_view name, std::string_view phase) {
    return R"({"id":")" + std::string(name) +
           R"(","host_port":"127.0.0.1:1","locality":"a","flavor":"m","cell":1,"phase":")" +
           std::string(phase) + R"(","size":1.0,"up_since_ms":0})";
}
inline std::string answer(int revision, bool whole, const std::string& members) {
    const std::string body = R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" +
                             (whole ? "true" : "false") + R"(,"members":[)" + members + "]}";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A connection with blocking reads, each bounded by the alarm of the whole test.
struct Peer {
    tcp::socket socket;
    std::string held;
    void write(const std::string& text) { asio::write(socket, asio::buffer(text)); }
    std::string until(std::string_view end) {
        const std::size_t size = asio::read_until(socket, asio::dynamic_buffer(held), end);
        std::string out = held.substr(0, size);
        held.erase(0, size);
        return out;
    }
    /// The next line that holds the words, past those that do not.
    std::string lineWith(std::string_view words) {
        for (;;)
            if (std::string line = until("\r\n"); line.find(words) != std::string::npos) return line;
    }
};

struct Daemon : testing::Test {
    asio::io_context io;
    tcp::acceptor discovery{io, {asio::ip::address_v4::loopback(), 0}};
    std::string path = testing::TempDir() + "zincstack-" + std::to_string(getpid()) + ".json";
    std::string terms{kDaemonTerms};
    pid_t pid = 0;
    FILE* log = nullptr;

    void post(const std::string& listen, std::string_view discoveryField, std::uint16_t discoveryPort) {
        std::ofstream(path)
            << R"({"name":"n1","listen":")" << listen << R"(",")" << discoveryField << R"(":"127.0.0.1:)"
            << discoveryPort
            << R"(","seed":"1f","limits":{"sockets":256},"known":{"revision":1,"complete":true,"members":[)"
            << member("s-0", "Ready") << R"(]},"settings":)" << terms << "}";
    }
    void start(const std::string& listen, std::string_view discoveryField = "discovery",
               const std::string& operatorFile = {}) {
        post(listen, discoveryField, discovery.local_endpoint().port());
        spawn(operatorFile);
    }
    void spawn(const std::string& operatorFile = {}) {
        int ends[2];
        ASSERT_EQ(pipe(ends), 0);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_adddup2(&files, ends[1], 2);
        posix_spawn_file_actions_addclose(&files, ends[0]);
        const std::string variable = "PROXY_CONFIG=" + path;
        char program[] = ZINCSTACK_PROGRAM;
        char flag[] = "--operator";
        char* arguments[] = {program, operatorFile.empty() ? nullptr : flag,
                             const_cast<char*>(operatorFile.c_str()), nullptr};
        char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
        ASSERT_EQ(posix_spawn(&pid, program, &files, nullptr, arguments, environment), 0);
        posix_spawn_file_actions_destroy(&files);
        close(ends[1]);
        log = fdopen(ends[0], "r");
        alarm(60); // nothing here takes so long
    }
    std::string logLine(std::string_view words) {
        char line[4096];
        while (std::fgets(line, sizeof line, log))
            if (std::string_view(line).find(words) != std::string_view::npos) return line;
        return {};
    }
    std::uint16_t startAnywhere() {
        start("127.0.0.1:0");
        const std::string line = logLine("listening");
        return static_cast<std::uint16_t>(std::stoi(line.substr(line.find("127.0.0.1:") + 10)));
    }
    int exitCode() {
        int status = -1;
        waitpid(std::exchange(pid, 0), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    Peer dial(std::uint16_t port) {
        Peer out{tcp::socket(io), {}};
        out.socket.connect({asio::ip::address_v4::loopback(), port});
        return out;
    }
    void TearDown() override {
        if (pid) kill(pid, SIGKILL), exitCode();
        if (log) std::fclose(log);
        unlink(path.c_str());
        alarm(0);
    }
};

} // namespace zincstack::tests
