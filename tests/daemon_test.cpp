// The built planner against a loopback stand-in of discovery, collectors and proxies, from the published protocol.
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

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::string_view kTerms = R"({"Balancers":1,"Classes":[{"Name":"lookup","AimS":1.0,"DeadlineS":3.0,
    "Effect":"retryable","Worth":3.0}],"Contract":{"ColdS":16.0,"DrainGraceS":2.0,"FallMultiple":4.0,
    "OverloadForS":3.0,"StartCapacity":0.19},"Discovery":"automatic","Extra":{"BlackholeS":3.0,"DataPlaneSize":6,
    "EgressPerS":7000.0,"Envelope":6.0,"QueueCap":14000.0,"ThrottleBy":"rps","PeriodS":1.0},"TickS":0.005,
    "WeightKind":"rough","Zones":["a","b"]})";

std::string member(std::string_view name, std::string_view phase) {
    return R"({"id":")" + std::string(name) +
           R"(","host_port":"127.0.0.1:1","locality":"a","flavor":"m","cell":1,"phase":")" +
           std::string(phase) + R"(","size":1.0,"up_since_ms":0})";
}
std::string answer(int revision, bool whole, const std::string& members) {
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
    pid_t pid = 0;
    FILE* log = nullptr;

    void post(const std::string& listen, std::string_view discoveryField, std::uint16_t discoveryPort) {
        std::ofstream(path)
            << R"({"name":"n1","listen":")" << listen << R"(",")" << discoveryField << R"(":"127.0.0.1:)"
            << discoveryPort
            << R"(","seed":"1f","limits":{"sockets":256},"known":{"revision":1,"complete":true,"members":[)"
            << member("s-0", "Ready") << R"(]},"settings":)" << kTerms << "}";
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
