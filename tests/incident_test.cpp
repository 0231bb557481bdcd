// Reproduces the incident of docs/incidents/2026-12-backlog-drain.md on the built planner, with proxies on
// loopback sockets that acknowledge late or never, or disconnect. The tests measure time by the planner's own
// timeouts, which show as its connections to discovery.
#include "planner_process.h"

#include <deque>
#include <set>
#include <string>
#include <string_view>

#include "push_message_reader.h"

namespace zincstack::tests {
namespace {

constexpr double kMaxQueuedLines = 2000;
constexpr double kMessageOverheadLines = 6;
constexpr int kEndpointCount = 40;
constexpr std::string_view kIncidentSettings =
    R"({"Balancers":1,"Classes":[{"Name":"lookup","AimS":1.0,"DeadlineS":3.0,
    "Effect":"retryable","Worth":3.0}],"Contract":{"ColdS":16.0,"DrainGraceS":2.0,"FallMultiple":4.0,
    "OverloadForS":3.0,"StartCapacity":0.19},"Discovery":"automatic","Extra":{"BlackholeS":3.0,"DataPlaneSize":100,
    "EgressPerS":1300.0,"Envelope":6.0,"QueueCap":2000.0,"PushDelayS":0.2,"WorstTransitS":0.4,"Standing":6,
    "ThrottleBy":"rps","PeriodS":1.0},"TickS":0.005,"WeightKind":"rough","Zones":["a","b"]})";

/// Entries of an endpoint list for the endpoints from `first` up to, and not including, `end`. Those below
/// `firstReady` are draining.
std::string endpointList(int first, int firstReady, int end) {
    std::string list;
    for (int k = first; k < end; ++k) {
        if (!list.empty()) list += ",";
        list += listEntry("s-" + std::to_string(k), k < firstReady ? "Terminating" : "Ready");
    }
    return list;
}

bool contains(std::string_view text, std::string_view part) {
    return text.find(part) != std::string_view::npos;
}

/// The number of channel lines of one push line, as the protocol counts them. A message may consist of
/// several push lines. Its last one has no `part`, and the overhead of the message is added there.
double countPartLines(std::string_view line) {
    return countLines(line) + (contains(line, " part=1") ? 0 : kMessageOverheadLines);
}

/// Whether a proxy that applies the line stops picking s-1.
bool removesEndpointOne(const std::string& line) {
    const auto exclusions = line.find(" drop=");
    const bool isExcluded =
        exclusions != std::string::npos && line.find("s-1", exclusions) != std::string::npos;
    const bool isReplaced = contains(line, "replace=1") && !contains(line, "s-1:");
    const bool isRemoved = contains(line, "s-1:0,") || contains(line, "s-1:0 ") || contains(line, "s-1:0\r");
    return isExcluded || isReplaced || isRemoved;
}

struct IncidentTest : PlannerProcess {
    /// A proxy's stream. It counts the lines that it receives.
    struct Proxy {
        TestConnection peer;
        int number;
        double lines = 0;

        void join() { peer.write("hello proxy=" + std::to_string(number) + " zone=a weight=9 fresh=0\r\n"); }
        std::string readLine() {
            const std::string line = peer.readUntil("\r\n");
            if (line.starts_with("push")) lines += countPartLines(line);
            return line;
        }
        void acknowledge(const std::string& line) {
            constexpr std::string_view kBarrier = " stamp=";
            const auto barrier = line.find(kBarrier);
            if (!line.starts_with("push") || barrier == std::string::npos) return;
            peer.write("ack proxy=" + std::to_string(number) + " mark=" +
                       std::to_string(std::stoi(line.substr(barrier + kBarrier.size()))) + " took_ms=1\r\n");
        }
        /// Reads all that the planner has written so far, and calls `handleLine` for each line. Sends a probe
        /// and reads until its answer, which the planner writes after everything else.
        void readAll(const auto& handleLine) {
            peer.write("probe\r\n");
            for (std::string line; line != "alive\r\n";) {
                line = readLine();
                handleLine(line);
            }
        }
        void readAll() {
            readAll([](const std::string&) {});
        }
    };

    std::uint16_t startIncident() {
        settings = kIncidentSettings;
        return startAtFreePort();
    }
    std::deque<Proxy> joinProxies(std::uint16_t port, int first, int end) {
        std::deque<Proxy> proxies;
        for (int k = first; k < end; ++k) {
            proxies.push_back({connect(port), k});
            proxies.back().join();
        }
        return proxies;
    }
    /// Accepts the planner's next connection to discovery. The planner closes an unanswered connection about
    /// 3.5 s after its request, and then opens the next one.
    TestConnection acceptWatch() {
        TestConnection watch = unconnected();
        discovery.accept(watch.socket);
        watch.readUntil("\r\n\r\n");
        return watch;
    }
};

/// Regression: the planner assumed that unacknowledged lines had left the channel after ten seconds and wrote
/// as many again, so a slow channel exceeded its queue limit (1,051 times in the incident's second replay).
TEST_F(IncidentTest, UnacknowledgedLinesNeverExceedTheQueueLimit) {
    const std::uint16_t port = startIncident();
    std::deque<Proxy> proxies = joinProxies(port, 0, 60);
    for (int round = 0; round < 5; ++round) { // each takes more than 3 s
        TestConnection watch = acceptWatch();
        watch.write(listResponse(2 + round, true, endpointList(0, 4 * round, kEndpointCount + 4 * round)));
        watch.readUntil("\r\n\r\n"); // the planner's next watch request, which is not answered
        boost::system::error_code end;
        asio::read(watch.socket, asio::dynamic_buffer(watch.received), end);
        EXPECT_EQ(end, asio::error::eof); // the planner has closed the watch
    }
    double unacknowledgedLines = 0;
    for (Proxy& proxy : proxies) {
        proxy.readAll();
        unacknowledgedLines += proxy.lines;
    }
    EXPECT_LE(unacknowledgedLines, kMaxQueuedLines);
    EXPECT_GT(unacknowledgedLines, 0);
}

/// Regression: lines written to streams that had since closed counted as queued for ten seconds. Meanwhile
/// the other proxies were not notified of a drain (294 times in the incident's first replay, the first 9.7 s
/// late).
TEST_F(IncidentTest, DrainIsSentWhileLinesOfClosedStreamsAreUnacknowledged) {
    const std::uint16_t port = startIncident();
    TestConnection watch = acceptWatch();
    watch.write(listResponse(2, true, endpointList(0, 0, kEndpointCount)));
    watch.readUntil("\r\n\r\n");
    {
        std::deque<Proxy> leaving = joinProxies(port, 0, 60);
        for (Proxy& proxy : leaving) proxy.peer.write("probe\r\n");
        for (Proxy& proxy : leaving) proxy.peer.readLineWith("alive");
        // One endpoint drains, of which all proxies are notified as far as the channel has capacity.
        watch.write(listResponse(3, false, endpointList(0, 1, 1)));
        watch.readUntil("\r\n\r\n");
        for (int k = 0; k < 5; ++k) // gives the planner time for some batches
            for (Proxy& proxy : leaving) proxy.readAll();
    }
    std::deque<Proxy> staying = joinProxies(port, 60, 80);
    watch.write(listResponse(4, false, endpointList(1, 2, 2)));
    watch.readUntil("\r\n\r\n");

    // Each proxy has to stop using s-1 before the planner closes this watch.
    discovery.non_blocking(true);
    std::set<int> proxiesToNotify;
    for (const Proxy& proxy : staying) proxiesToNotify.insert(proxy.number);
    TestConnection nextWatch = unconnected();
    boost::system::error_code acceptError;
    while (!proxiesToNotify.empty()) {
        discovery.accept(nextWatch.socket, acceptError);
        if (!acceptError) break;
        for (Proxy& proxy : staying)
            proxy.readAll([&](const std::string& line) {
                proxy.acknowledge(line);
                if (removesEndpointOne(line)) proxiesToNotify.erase(proxy.number);
            });
    }
    EXPECT_TRUE(proxiesToNotify.empty())
        << proxiesToNotify.size() << " of " << staying.size() << " proxies were not notified in time";
}

} // namespace
} // namespace zincstack::tests
