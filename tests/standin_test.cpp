// The stand-in discovery agent, tested with the planner's client for the protocol.
#include <gtest/gtest.h>

#include "discovery/discovery_watch.h"
#include "standin/list_agent.h"

namespace zincstack::standin {
namespace {

using namespace std::chrono_literals;

json::Value listOf(std::initializer_list<std::pair<const char*, const char*>> entries) {
    json::Value out = json::Value::array();
    for (const auto& [id, phase] : entries) out.push_back({{"id", id}, {"phase", phase}});
    return out;
}

struct ListAgentTest : testing::Test {
    ListAgent agent;
    AgentSession session{agent};
    net::Counters counters;
    struct Received {
        EndpointListUpdate kind;
        std::string entries; ///< of each entry: the id and the first letter of the phase
        bool operator==(const Received&) const = default;
    };
    std::vector<Received> received;
    net::DiscoveryWatch watch{"h:1",
                              [this](EndpointListUpdate kind, const json::Value& list) {
                                  std::string entries;
                                  for (const auto& entry : list)
                                      entries += entry["id"].get<std::string>() +
                                                 entry["phase"].get<std::string>()[0];
                                  received.push_back({kind, entries});
                                  return true;
                              },
                              counters, 1 << 20};
    std::string pending; // the next request of the watch
    void connect() {
        agent.set(listOf({{"x", "Ready"}, {"y", "Ready"}}));
        pending = watch.feed(session.feed(watch.connected(), 0s));
    }
};

TEST_F(ListAgentTest, WatchIsAnsweredOnAChangeOrAtItsDeadline) {
    connect();
    EXPECT_EQ(received.back(), (Received{EndpointListUpdate::Snapshot, "xRyR"}));
    EXPECT_EQ(session.feed(pending, 1s), "");
    EXPECT_EQ(session.answerIfDue(2s), "");
    agent.set(listOf({{"x", "Terminating"}, {"z", "Ready"}}));
    pending = watch.feed(session.answerIfDue(2s));
    EXPECT_EQ(received.back(), (Received{EndpointListUpdate::Delta, "xTyGzR"}));
    EXPECT_EQ(session.feed(pending, 10s), "");
    EXPECT_EQ(session.answerIfDue(11s), "");
    pending = watch.feed(session.answerIfDue(12s)); // no change: no members
    EXPECT_EQ(received.size(), 2U);
    EXPECT_NE(pending.find("index=2&"), std::string::npos);
    agent.set(listOf({{"x", "Terminating"}, {"z", "Ready"}}));
    EXPECT_EQ(agent.revision(), 2U);
}

TEST_F(ListAgentTest, SilentAgentDoesNotAnswerAndStaleAgentServesTheOldList) {
    connect();
    agent.setSilent(true);
    agent.set(listOf({{"x", "Ready"}}));
    EXPECT_EQ(session.feed(pending, 1s), "");
    EXPECT_EQ(session.answerIfDue(50s), "");
    agent.setSilent(false);
    pending = watch.feed(session.answerIfDue(50s));
    EXPECT_EQ(received.back().entries, "yG");
    agent.setStale(true);
    agent.set(listOf({{"x", "Terminating"}}));
    EXPECT_EQ(session.feed(pending, 51s), "");
    EXPECT_EQ(session.answerIfDue(52s), "");
    AgentSession another(agent); // snapshots are stale as well
    net::DiscoveryWatch second{"h:1",
                               [this](EndpointListUpdate, const json::Value& list) {
                                   received.push_back({EndpointListUpdate::Snapshot, list.dump()});
                                   return true;
                               },
                               counters, 1 << 20};
    second.feed(another.feed(second.connected(), 55s));
    EXPECT_NE(received.back().entries.find("Ready"), std::string::npos);
    agent.setStale(false);
    watch.feed(session.answerIfDue(52s));
    EXPECT_EQ(received.back().entries, "xT");
}

TEST_F(ListAgentTest, InvalidRequestsAreRejected) {
    agent.set(listOf({}));
    for (const std::string& invalid :
         {std::string("POST / HTTP/1.1\r\n\r\n"), std::string("\r\n\r\n"), std::string(9000, 'x')}) {
        AgentSession other(agent);
        other.feed(invalid, 0s);
        EXPECT_FALSE(other.usable());
    }
    EXPECT_NE(session.feed("GET /other HTTP/1.1\r\n\r\n", 0s).find("404"), std::string::npos);
    EXPECT_TRUE(session.usable());
    EXPECT_THROW(agent.set(json::Value{{{"phase", "Ready"}}}), InputError);
    EXPECT_THROW(agent.set(json::Value(3)), InputError);
}

} // namespace
} // namespace zincstack::standin
