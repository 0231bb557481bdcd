// The built planner against a loopback stand-in of discovery, collectors and proxies, from the published protocol.
#include "daemon.h"

namespace zincstack::tests {
namespace {

TEST_F(Daemon, ServesProxiesFollowsTheListAndEndsCleanly) {
    const std::uint16_t port = startAnywhere();
    Peer stranger = dial(port), first = dial(port);
    first.write("probe\r\n");
    EXPECT_EQ(first.until("\r\n"), "alive\r\n"); // discovery says nothing yet: the list as last had must do
    first.write("hel");
    first.write("lo proxy=2 zone=a weight=9 fresh=1\r\n");
    EXPECT_EQ(first.until("\r\n"), "push replace=1 rows=s-0:1 part=1\r\n");
    EXPECT_EQ(first.until("\r\n"), "push gate=1000000 again=1 undrop=s-0 stamp=1\r\n");

    Peer agent{tcp::socket(io), {}};
    discovery.accept(agent.socket);
    EXPECT_EQ(agent.until("\r\n"), "GET /api/targets HTTP/1.1\r\n");
    agent.until("\r\n\r\n");
    first.write("line proxy=2\r\nack proxy=2 mark=1 took_ms=3\r\n");
    agent.write(answer(2, true, member("s-1", "Ready") + "," + member("s-2", "Ready")));
    const std::string changed = first.lineWith("s-1");
    EXPECT_NE(changed.find("s-0:0"), std::string::npos) << changed; // missing from a whole list: gone
    EXPECT_EQ(agent.until("\r\n"), "GET /api/targets?index=2&wait=2000 HTTP/1.1\r\n");

    Peer second = dial(port); // the proxy's new stream comes before the old one's end
    second.write("hello proxy=2 zone=a weight=9 fresh=0\r\n");
    second.lineWith("replace=1");
    first.socket.close();
    agent.write(answer(3, false, member("s-2", "Terminating")));
    second.lineWith("s-2:0");

    Peer flood = dial(port);
    boost::system::error_code gone;
    while (!gone) asio::write(flood.socket, asio::buffer(std::string(1 << 16, 'x')), gone);
    second.write("probe\r\n");
    EXPECT_EQ(second.lineWith("alive"), "alive\r\n");

    kill(pid, SIGUSR1);
    EXPECT_NE(logLine(" counters ").find("hellos=2 takeovers=1"), std::string::npos);
    kill(pid, SIGTERM);
    const std::string last = logLine(" counters ");
    EXPECT_NE(last.find("out_of_place=1 too_long=1"), std::string::npos) << last;
    EXPECT_EQ(exitCode(), 0);
}

/// SIGHUP ended the program; and what discovery said last at its old address must not hold at the new one.
TEST_F(Daemon, FollowsDiscoveryToItsNewAddressOnReloadAndKeepsStreamsAndABadFileChangesNothing) {
    const std::uint16_t port = startAnywhere();
    Peer proxy = dial(port), old{tcp::socket(io), {}}, anew{tcp::socket(io), {}};
    discovery.accept(old.socket);
    old.until("\r\n\r\n");
    old.write(answer(7, true, member("s-1", "Ready")));
    old.until("index=7");
    proxy.write("hello proxy=2 zone=a weight=9 fresh=1\r\n");
    proxy.lineWith("rows=s-1:1");

    std::ofstream(path) << "{\"name\":";
    kill(pid, SIGHUP);
    EXPECT_NE(logLine("reloads_failed").find("JSON at offset"), std::string::npos);

    tcp::acceptor elsewhere{io, {asio::ip::address_v4::loopback(), 0}};
    post("127.0.0.1:0", "discovery", elsewhere.local_endpoint().port());
    kill(pid, SIGHUP);
    elsewhere.accept(anew.socket);
    EXPECT_EQ(anew.until("\r\n"), "GET /api/targets HTTP/1.1\r\n"); // whole: revisions are counted anew
    boost::system::error_code gone;
    asio::read(old.socket, asio::dynamic_buffer(old.held), gone);
    EXPECT_TRUE(gone); // the old watch was left at once
    anew.until("\r\n\r\n");
    anew.write(answer(3, true, member("s-1", "Ready") + "," + member("s-4", "Ready")));
    proxy.lineWith("s-4"); // on the stream of before
    kill(pid, SIGTERM);
    EXPECT_NE(logLine(" counters ").find("reloads=1 reloads_failed=1"), std::string::npos);
    EXPECT_EQ(exitCode(), 0);
}

/// The start file is a pipe here, so that the test holds the program where it has begun to read it.
struct Beginning : Daemon {
    void SetUp() override { ASSERT_EQ(mkfifo(path.c_str(), 0600), 0); }
    void postFor(std::uint16_t discoveryPort) { post("127.0.0.1:0", "discovery", discoveryPort); }
    /// Opens as soon as the program opens its side.
    void spawnAndSend(std::initializer_list<int> signals) {
        spawn();
        std::ofstream held(path);
        for (const int one : signals) kill(pid, one);
        postFor(discovery.local_endpoint().port());
    }
};

/// A SIGHUP that came before its handler was set ended the program.
TEST_F(Beginning, AReloadAskedForBeforeTheHandlersAreSetIsHeardAfterThem) {
    spawnAndSend({SIGHUP, SIGHUP});
    ASSERT_FALSE(logLine("listening").empty()); // the first reading is over
    tcp::acceptor elsewhere{io, {asio::ip::address_v4::loopback(), 0}};
    postFor(elsewhere.local_endpoint().port()); // it reads anew, once for both
    ASSERT_FALSE(logLine("reload discovery=").empty());
    Peer agent{tcp::socket(io), {}};
    elsewhere.accept(agent.socket);
    EXPECT_EQ(agent.until("\r\n"), "GET /api/targets HTTP/1.1\r\n");
    kill(pid, SIGTERM);
    EXPECT_EQ(exitCode(), 0);
}

TEST_F(Beginning, AnEndAskedForBeforeTheHandlersAreSetIsACleanEnd) {
    spawnAndSend({SIGTERM, SIGTERM});
    EXPECT_FALSE(logLine("ended_on_signal").empty());
    EXPECT_EQ(exitCode(), 0);
}

/// All of them wait for the program as it goes on: the end is clean whichever is taken first.
TEST_F(Daemon, ReloadsAroundAnEndAskedForTwiceAreACleanEnd) {
    startAnywhere();
    kill(pid, SIGSTOP);
    for (const int one : {SIGHUP, SIGTERM, SIGTERM, SIGHUP, SIGUSR1}) kill(pid, one);
    kill(pid, SIGCONT);
    EXPECT_FALSE(logLine("ended_on_signal").empty());
    for (int k = 0; k < 50; ++k)
        kill(pid, k % 2 ? SIGTERM : SIGHUP); // the loop has ended: no handler is left
    EXPECT_EQ(exitCode(), 0);
}

/// A reload in the middle of the file's writing left the program at the old address for good.
TEST_F(Daemon, AFileThatIsHalfWrittenAsTheSignalComesIsReadAgainWithoutAnother) {
    const std::uint16_t port = startAnywhere();
    Peer proxy = dial(port), anew{tcp::socket(io), {}};
    std::ofstream(path) << "{\"name\":\"n1\",";
    kill(pid, SIGHUP);
    EXPECT_NE(logLine("reloads_failed").find("start file: JSON at offset"), std::string::npos);
    tcp::acceptor elsewhere{io, {asio::ip::address_v4::loopback(), 0}};
    const std::string place = std::exchange(path, path + ".new"); // put in its place at once, as tools do
    post("127.0.0.1:0", "discovery", elsewhere.local_endpoint().port());
    std::rename(path.c_str(), place.c_str());
    path = place;
    elsewhere.accept(anew.socket);
    EXPECT_EQ(anew.until("\r\n"), "GET /api/targets HTTP/1.1\r\n");
    kill(pid, SIGTERM);
    EXPECT_NE(logLine(" counters ").find("reloads_failed=1 reloads_late=1"), std::string::npos);
    EXPECT_EQ(exitCode(), 0);
}

TEST_F(Daemon, StartsOverUnderItsAddressAfterAKill) {
    const std::uint16_t port = startAnywhere();
    Peer before = dial(port);
    before.write("hello proxy=2 zone=a weight=9 fresh=1\r\n");
    before.lineWith("stamp=1");
    kill(pid, SIGKILL);
    EXPECT_EQ(exitCode(), -1);
    std::fclose(std::exchange(log, nullptr));
    start("127.0.0.1:" + std::to_string(port));
    EXPECT_FALSE(logLine("listening").empty());
    Peer after = dial(port); // it holds the table of the life before, and perhaps its withdrawals
    after.write("hello proxy=2 zone=a weight=9 fresh=0\r\n");
    EXPECT_EQ(after.until("\r\n"), "push replace=1 rows=s-0:1 part=1\r\n");
    EXPECT_FALSE(after.lineWith("undrop=s-0").empty());
}

/// What a command prints, and its exit code.
std::pair<std::string, int> outputOf(const std::string& command) {
    std::string out;
    FILE* pipe = popen((command + " 2>&1").c_str(), "r");
    char piece[4096];
    while (const auto got = std::fread(piece, 1, sizeof piece, pipe)) out.append(piece, got);
    const int status = pclose(pipe);
    return {out, WIFEXITED(status) ? WEXITSTATUS(status) : -1};
}

TEST_F(Daemon, TheChannelIsSwitchedOnMovedAndOffByTheOperatorsFileAndABadOneChangesNothing) {
    const std::string file = path + ".operator";
    const auto write = [&](std::string_view text) { std::ofstream(file) << text; };
    write(R"({"log":{"format":"json"},"channel":{"listen":"127.0.0.1:0","subscribers":9}})");
    start("127.0.0.1:0", "discovery", file);
    const auto addressIn = [](const std::string& line) {
        const auto at = line.find("127.0.0.1:");
        return line.substr(at, line.find_first_of("\" ", at) - at);
    };
    const std::string first = logLine("channel_on");
    EXPECT_EQ(first.find("{\"time\":\""), 0U);
    logLine("listening");
    const std::string program = ZINCSTACK_PROGRAM;
    const auto [table, code] =
        outputOf(program + " subscribe " + addressIn(first) + " --zone a --proxy 3 --changes 1 --json");
    EXPECT_EQ(code, 0);
    EXPECT_NE(table.find(R"("lines":{"s-0":1.0})"), std::string::npos) << table;
    EXPECT_EQ(outputOf(program + " subscribe " + addressIn(first) + " --zone nowhere").second, 2);

    write(R"({"channel":{"listen":7}})");
    kill(pid, SIGHUP);
    EXPECT_NE(logLine("reloads_failed").find("/channel/listen"), std::string::npos);
    EXPECT_EQ(outputOf(program + " subscribe " + addressIn(first) + " --zone a --proxy 3 --changes 1").second,
              0);
    write("{}");
    kill(pid, SIGHUP);
    EXPECT_FALSE(logLine("channel_off").empty());
    logLine("reload operator=");
    write(R"({"channel":{"listen":"127.0.0.1:0"}})");
    kill(pid, SIGHUP);
    const std::string again = logLine("channel_on");
    EXPECT_EQ(outputOf(program + " subscribe " + addressIn(again) + " --zone a --proxy 4 --changes 1").second,
              0);
    kill(pid, SIGTERM);
    EXPECT_EQ(exitCode(), 0);
    unlink(file.c_str());
}

TEST_F(Daemon, AnOperatorsFileThatCantBeUsedIsToldWithExitCodeTwo) {
    const std::string file = path + ".operator";
    std::ofstream(file) << R"({"channel":{"listen":"127.0.0.1:0","subscribers":100000}})";
    start("127.0.0.1:0", "discovery", file);
    EXPECT_NE(logLine("unusable").find("/channel/subscribers"), std::string::npos);
    EXPECT_EQ(exitCode(), 2);
    unlink(file.c_str());
}

TEST_F(Daemon, AnUnusableStartIsToldInOneLine) {
    start("127.0.0.1:0", "discovered");
    EXPECT_NE(logLine("field discovery is missing").find("critical"), std::string::npos);
    EXPECT_EQ(exitCode(), 2);
}

TEST_F(Daemon, AnAddressThatIsTakenIsToldWithExitCodeOne) {
    start("127.0.0.1:" + std::to_string(discovery.local_endpoint().port()));
    EXPECT_NE(logLine("critical").find("Address already in use"), std::string::npos);
    EXPECT_EQ(exitCode(), 1);
}

} // namespace
} // namespace zincstack::tests
