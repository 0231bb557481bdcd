// Tests of the planner executable as a process: start, serving proxies, reload on SIGHUP, and shutdown.
#include "planner_process.h"

namespace zincstack::tests {
namespace {

TEST_F(PlannerProcess, ServesProxiesWatchesTheEndpointListAndShutsDown) {
    const std::uint16_t port = startAtFreePort();
    TestConnection silent = connect(port);
    TestConnection first = connect(port);
    first.write("probe\r\n");
    // Discovery has not answered yet, so the planner uses the endpoint list in its start file.
    EXPECT_EQ(first.readUntil("\r\n"), "alive\r\n");
    first.write("hel");
    first.write("lo proxy=2 zone=a weight=9 fresh=1\r\n");
    EXPECT_EQ(first.readUntil("\r\n"), "push replace=1 rows=s-0:1 part=1\r\n");
    EXPECT_EQ(first.readUntil("\r\n"), "push gate=1000000 again=1 undrop=s-0 stamp=1\r\n");

    TestConnection agent = unconnected();
    discovery.accept(agent.socket);
    EXPECT_EQ(agent.readUntil("\r\n"), "GET /api/targets HTTP/1.1\r\n");
    agent.readUntil("\r\n\r\n");
    first.write("line proxy=2\r\nack proxy=2 mark=1 took_ms=3\r\n");
    agent.write(listResponse(2, true, listEntry("s-1", "Ready") + "," + listEntry("s-2", "Ready")));
    const std::string changed = first.readLineWith("s-1");
    EXPECT_NE(changed.find("s-0:0"), std::string::npos) << changed; // absent from the snapshot, so removed
    EXPECT_EQ(agent.readUntil("\r\n"), "GET /api/targets?index=2&wait=2000 HTTP/1.1\r\n");

    TestConnection second = connect(port); // the proxy opens a new stream before it closes the old one
    second.write("hello proxy=2 zone=a weight=9 fresh=0\r\n");
    second.readLineWith("replace=1");
    first.socket.close();
    agent.write(listResponse(3, false, listEntry("s-2", "Terminating")));
    second.readLineWith("s-2:0");

    TestConnection flood = connect(port);
    boost::system::error_code closed;
    while (!closed) asio::write(flood.socket, asio::buffer(std::string(1 << 16, 'x')), closed);
    second.write("probe\r\n");
    EXPECT_EQ(second.readLineWith("alive"), "alive\r\n");

    kill(pid, SIGUSR1);
    EXPECT_NE(waitForLogLine(" counters ").find("hellos=2 takeovers=1"), std::string::npos);
    kill(pid, SIGTERM);
    const std::string last = waitForLogLine(" counters ");
    EXPECT_NE(last.find("out_of_place=1 too_long=1"), std::string::npos) << last;
    EXPECT_EQ(exitCode(), 0);
}

/// Regression: SIGHUP terminated the planner. What the old discovery address answered must not be taken to
/// hold at the new address, and connected proxies keep their streams.
TEST_F(PlannerProcess, ReloadSwitchesTheDiscoveryAddressAndKeepsStreamsAndAnInvalidFileIsRejected) {
    const std::uint16_t port = startAtFreePort();
    TestConnection proxy = connect(port);
    TestConnection oldDiscovery = unconnected();
    TestConnection newDiscovery = unconnected();
    discovery.accept(oldDiscovery.socket);
    oldDiscovery.readUntil("\r\n\r\n");
    oldDiscovery.write(listResponse(7, true, listEntry("s-1", "Ready")));
    oldDiscovery.readUntil("index=7");
    proxy.write("hello proxy=2 zone=a weight=9 fresh=1\r\n");
    proxy.readLineWith("rows=s-1:1");

    std::ofstream(startFilePath) << "{\"name\":";
    kill(pid, SIGHUP);
    EXPECT_NE(waitForLogLine("reloads_failed").find("JSON at offset"), std::string::npos);

    tcp::acceptor newAcceptor{io, {asio::ip::address_v4::loopback(), 0}};
    writeStartFile("127.0.0.1:0", "discovery", newAcceptor.local_endpoint().port());
    kill(pid, SIGHUP);
    newAcceptor.accept(newDiscovery.socket);
    // The request has no revision: the new address numbers its own, so a complete snapshot is needed.
    EXPECT_EQ(newDiscovery.readUntil("\r\n"), "GET /api/targets HTTP/1.1\r\n");
    boost::system::error_code closed;
    asio::read(oldDiscovery.socket, asio::dynamic_buffer(oldDiscovery.received), closed);
    EXPECT_TRUE(closed); // the old watch is closed before the new address answers
    newDiscovery.readUntil("\r\n\r\n");
    newDiscovery.write(listResponse(3, true, listEntry("s-1", "Ready") + "," + listEntry("s-4", "Ready")));
    proxy.readLineWith("s-4"); // received on the stream opened before the reload
    kill(pid, SIGTERM);
    EXPECT_NE(waitForLogLine(" counters ").find("reloads=1 reloads_failed=1"), std::string::npos);
    EXPECT_EQ(exitCode(), 0);
}

/// Uses a named pipe as the start file: the process blocks during startup until the test writes the file's
/// contents.
struct PlannerStartup : PlannerProcess {
    void SetUp() override { ASSERT_EQ(mkfifo(startFilePath.c_str(), 0600), 0); }
    void writeStartFileFor(std::uint16_t discoveryPort) {
        writeStartFile("127.0.0.1:0", "discovery", discoveryPort);
    }
    /// Starts the process and sends it the signals before it has read its start file. Opening the pipe for
    /// writing blocks until the process has opened it for reading.
    void spawnAndSend(std::initializer_list<int> signals) {
        spawn();
        std::ofstream heldOpen(startFilePath);
        for (const int signal : signals) kill(pid, signal);
        writeStartFileFor(discovery.local_endpoint().port());
    }
};

/// Regression: a SIGHUP that arrived before its handler was installed terminated the planner.
TEST_F(PlannerStartup, AReloadRequestedBeforeTheHandlersAreInstalledIsPerformedAfterwards) {
    spawnAndSend({SIGHUP, SIGHUP});
    ASSERT_FALSE(waitForLogLine("listening").empty()); // the start file has been read once
    tcp::acceptor newAcceptor{io, {asio::ip::address_v4::loopback(), 0}};
    writeStartFileFor(newAcceptor.local_endpoint().port()); // read again, once for both signals
    ASSERT_FALSE(waitForLogLine("reload discovery=").empty());
    TestConnection agent = unconnected();
    newAcceptor.accept(agent.socket);
    EXPECT_EQ(agent.readUntil("\r\n"), "GET /api/targets HTTP/1.1\r\n");
    kill(pid, SIGTERM);
    EXPECT_EQ(exitCode(), 0);
}

TEST_F(PlannerStartup, ATerminationRequestedBeforeTheHandlersAreInstalledCausesAGracefulShutdown) {
    spawnAndSend({SIGTERM, SIGTERM});
    EXPECT_FALSE(waitForLogLine("ended_on_signal").empty());
    EXPECT_EQ(exitCode(), 0);
}

/// All signals are pending when the process continues. It must shut down cleanly regardless of the order in
/// which they are handled.
TEST_F(PlannerProcess, ReloadsAroundARepeatedTerminationSignalDoNotDisturbTheShutdown) {
    startAtFreePort();
    kill(pid, SIGSTOP);
    for (const int signal : {SIGHUP, SIGTERM, SIGTERM, SIGHUP, SIGUSR1}) kill(pid, signal);
    kill(pid, SIGCONT);
    EXPECT_FALSE(waitForLogLine("ended_on_signal").empty());
    // The event loop has ended, so no handler is left for these signals.
    for (int k = 0; k < 50; ++k) kill(pid, k % 2 ? SIGTERM : SIGHUP);
    EXPECT_EQ(exitCode(), 0);
}

/// Regression: a reload that read a partially written file failed and was not retried, so the planner kept
/// using the old discovery address permanently.
TEST_F(PlannerProcess, AFileThatIsPartiallyWrittenWhenTheSignalArrivesIsReadAgainWithoutAnotherSignal) {
    const std::uint16_t port = startAtFreePort();
    TestConnection proxy = connect(port);
    TestConnection newDiscovery = unconnected();
    std::ofstream(startFilePath) << "{\"name\":\"n1\",";
    kill(pid, SIGHUP);
    EXPECT_NE(waitForLogLine("reloads_failed").find("start file: JSON at offset"), std::string::npos);
    tcp::acceptor newAcceptor{io, {asio::ip::address_v4::loopback(), 0}};
    // The complete file is written beside the old one and renamed over it, as tools commonly do.
    const std::string finalPath = std::exchange(startFilePath, startFilePath + ".new");
    writeStartFile("127.0.0.1:0", "discovery", newAcceptor.local_endpoint().port());
    std::rename(startFilePath.c_str(), finalPath.c_str());
    startFilePath = finalPath;
    newAcceptor.accept(newDiscovery.socket);
    EXPECT_EQ(newDiscovery.readUntil("\r\n"), "GET /api/targets HTTP/1.1\r\n");
    kill(pid, SIGTERM);
    EXPECT_NE(waitForLogLine(" counters ").find("reloads_failed=1 reloads_late=1"), std::string::npos);
    EXPECT_EQ(exitCode(), 0);
}

TEST_F(PlannerProcess, RestartsAtTheSameAddressAfterAKill) {
    const std::uint16_t port = startAtFreePort();
    TestConnection before = connect(port);
    before.write("hello proxy=2 zone=a weight=9 fresh=1\r\n");
    before.readLineWith("stamp=1");
    kill(pid, SIGKILL);
    EXPECT_EQ(exitCode(), -1);
    std::fclose(std::exchange(log, nullptr));
    start("127.0.0.1:" + std::to_string(port));
    EXPECT_FALSE(waitForLogLine("listening").empty());
    // The proxy still has the routing table of the previous incarnation, and possibly its exclusions, so s-0
    // is readmitted.
    TestConnection after = connect(port);
    after.write("hello proxy=2 zone=a weight=9 fresh=0\r\n");
    EXPECT_EQ(after.readUntil("\r\n"), "push replace=1 rows=s-0:1 part=1\r\n");
    EXPECT_FALSE(after.readLineWith("undrop=s-0").empty());
}

struct CommandResult {
    std::string output; ///< standard output and standard error
    int exitCode;       ///< -1 if a signal terminated the command
};

/// Runs a shell command and waits for it to exit.
CommandResult runCommand(const std::string& command) {
    std::string output;
    FILE* pipe = popen((command + " 2>&1").c_str(), "r");
    char buffer[4096];
    while (const auto size = std::fread(buffer, 1, sizeof buffer, pipe)) output.append(buffer, size);
    const int status = pclose(pipe);
    return {output, WIFEXITED(status) ? WEXITSTATUS(status) : -1};
}

TEST_F(PlannerProcess, TheOperatorFileEnablesAndDisablesPubsubAndAnInvalidOneIsRejected) {
    const std::string file = startFilePath + ".operator";
    const auto write = [&](std::string_view text) { std::ofstream(file) << text; };
    write(R"({"log":{"format":"json"},"channel":{"listen":"127.0.0.1:0","subscribers":9}})");
    start("127.0.0.1:0", "discovery", file);
    const auto addressIn = [](const std::string& line) {
        const auto at = line.find("127.0.0.1:");
        return line.substr(at, line.find_first_of("\" ", at) - at);
    };
    const std::string first = waitForLogLine("channel_on");
    EXPECT_EQ(first.find("{\"time\":\""), 0U);
    waitForLogLine("listening");
    const std::string program = ZINCSTACK_PROGRAM;
    const auto [table, code] =
        runCommand(program + " subscribe " + addressIn(first) + " --zone a --proxy 3 --changes 1 --json");
    EXPECT_EQ(code, 0);
    EXPECT_NE(table.find(R"("lines":{"s-0":1.0})"), std::string::npos) << table;
    EXPECT_EQ(runCommand(program + " subscribe " + addressIn(first) + " --zone nowhere").exitCode, 2);

    write(R"({"channel":{"listen":7}})");
    kill(pid, SIGHUP);
    EXPECT_NE(waitForLogLine("reloads_failed").find("/channel/listen"), std::string::npos);
    EXPECT_EQ(
        runCommand(program + " subscribe " + addressIn(first) + " --zone a --proxy 3 --changes 1").exitCode,
        0);
    write("{}");
    kill(pid, SIGHUP);
    EXPECT_FALSE(waitForLogLine("channel_off").empty());
    waitForLogLine("reload operator=");
    write(R"({"channel":{"listen":"127.0.0.1:0"}})");
    kill(pid, SIGHUP);
    const std::string again = waitForLogLine("channel_on");
    EXPECT_EQ(
        runCommand(program + " subscribe " + addressIn(again) + " --zone a --proxy 4 --changes 1").exitCode,
        0);
    kill(pid, SIGTERM);
    EXPECT_EQ(exitCode(), 0);
    unlink(file.c_str());
}

TEST_F(PlannerProcess, AnInvalidOperatorFileExitsWithCodeTwo) {
    const std::string file = startFilePath + ".operator";
    std::ofstream(file) << R"({"channel":{"listen":"127.0.0.1:0","subscribers":100000}})";
    start("127.0.0.1:0", "discovery", file);
    EXPECT_NE(waitForLogLine("unusable").find("/channel/subscribers"), std::string::npos);
    EXPECT_EQ(exitCode(), 2);
    unlink(file.c_str());
}

TEST_F(PlannerProcess, AnInvalidStartFileIsLoggedInOneLineAndExitsWithCodeTwo) {
    start("127.0.0.1:0", "discovered");
    EXPECT_NE(waitForLogLine("field discovery is missing").find("critical"), std::string::npos);
    EXPECT_EQ(exitCode(), 2);
}

TEST_F(PlannerProcess, AnAddressInUseExitsWithCodeOne) {
    start("127.0.0.1:" + std::to_string(discovery.local_endpoint().port()));
    EXPECT_NE(waitForLogLine("critical").find("Address already in use"), std::string::npos);
    EXPECT_EQ(exitCode(), 1);
}

} // namespace
} // namespace zincstack::tests
