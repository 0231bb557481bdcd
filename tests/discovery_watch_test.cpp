// Watching the endpoint list: which request is sent next, and which responses are accepted.
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "discovery/discovery_watch.h"

namespace zincstack::net {
namespace {

using namespace std::chrono_literals;

struct DiscoveryWatchTest : testing::Test {
    Counters counters;
    std::vector<std::pair<EndpointListUpdate, std::size_t>> handledLists;
    bool handlerResult = true; ///< returned by the list handler
    DiscoveryWatch watch{"h:1",
                         [this](EndpointListUpdate kind, const json::Value& members) {
                             handledLists.emplace_back(kind, members.size());
                             return handlerResult;
                         },
                         counters, 1 << 20};
    static std::string responseWith(std::string_view body, std::string_view status = "200 OK") {
        return "HTTP/1.1 " + std::string(status) + "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + std::string(body);
    }
};
constexpr std::string_view kSnapshot = R"({"revision":41,"complete":true,"members":[{"id":"s-1"}]})";
constexpr std::string_view kWatchRequest =
    "GET /api/targets?index=41&wait=2000 HTTP/1.1\r\nHost: h:1\r\n\r\n";

TEST_F(DiscoveryWatchTest, RequestsTheSnapshotAndThenWatchesFromItsRevision) {
    EXPECT_EQ(watch.connected(), "GET /api/targets HTTP/1.1\r\nHost: h:1\r\n\r\n");
    const std::string response = responseWith(kSnapshot);
    EXPECT_EQ(watch.feed(response.substr(0, 30)), "");
    EXPECT_EQ(watch.feed(response.substr(30)), kWatchRequest);
    EXPECT_EQ(watch.feed(responseWith(R"({"revision":41,"complete":false,"members":[]})")), kWatchRequest);
    EXPECT_NE(
        watch.feed(responseWith(R"({"revision":43,"complete":false,"members":[{},{}]})")).find("index=43"),
        std::string::npos);
    const std::vector<std::pair<EndpointListUpdate, std::size_t>> expected{{EndpointListUpdate::Snapshot, 1},
                                                                           {EndpointListUpdate::Delta, 2}};
    EXPECT_EQ(handledLists, expected);
    watch.connectionLost(); // the next watch starts from the last accepted revision
    EXPECT_NE(watch.connected().find("index=43"), std::string::npos);
}

TEST_F(DiscoveryWatchTest, RequestsTheSnapshotAgainAfterAnInvalidResponse) {
    for (const std::string& invalid :
         {responseWith("{"), responseWith("[]"), responseWith(kSnapshot, "503 No"),
          responseWith(R"({"revision":1,"complete":true})"), responseWith(kSnapshot) + "more",
          std::string("SSH-2.0\r\n")}) {
        EXPECT_NE(watch.connected(), kWatchRequest);
        EXPECT_EQ(watch.feed(invalid), "");
        EXPECT_FALSE(watch.usable());
    }
    EXPECT_EQ(counters.of(Counter::ListsWhole), 0U);
    watch.connected();
    watch.feed(responseWith(kSnapshot));
    handlerResult = false;
    EXPECT_EQ(watch.feed(responseWith(R"({"revision":43,"complete":false,"members":[{}]})")), "");
    EXPECT_NE(watch.connected(), kWatchRequest);
}

/// Regression: an outdated list was applied as an update, and a draining endpoint returned to the tables.
TEST_F(DiscoveryWatchTest, IgnoresOlderRevisionsUnlessNumberingRestarts) {
    const auto revision = [](int number, bool complete) {
        return responseWith(R"({"revision":)" + std::to_string(number) + R"(,"complete":)" +
                            (complete ? "true" : "false") + R"(,"members":[{"id":"s-1"}]})");
    };
    watch.connected();
    watch.feed(revision(41, true));
    for (int k = 0; k < 9; ++k) {
        EXPECT_EQ(watch.feed(revision(40, k % 2 == 0)), "");
        EXPECT_FALSE(watch.usable());
        EXPECT_EQ(watch.connected(), kWatchRequest);
    }
    EXPECT_EQ(handledLists.size(), 1U);
    EXPECT_EQ(watch.feed(revision(40, false)), ""); // a delta to an unknown list
    EXPECT_NE(watch.connected(), kWatchRequest);
    EXPECT_NE(watch.feed(revision(40, true)).find("index=40"), std::string::npos);
    EXPECT_EQ(handledLists.size(), 2U);
    // Later revisions are compared with the new numbering.
    EXPECT_NE(watch.feed(revision(42, false)).find("index=42"), std::string::npos);
    EXPECT_EQ(watch.feed(revision(41, false)), "");
}

/// A change that a dead watch misses counts as reported to the planner after 6 s. The watch must be given up,
/// and a new request answered, before that.
TEST_F(DiscoveryWatchTest, GivesUpADeadWatchWithinTheNotificationDeadline) {
    watch.connected();
    EXPECT_LE(watch.responseTimeout(), 2s);
    watch.feed(responseWith(kSnapshot));
    EXPECT_LE(watch.responseTimeout() + 1500ms, 6s);
}

} // namespace
} // namespace zincstack::net
