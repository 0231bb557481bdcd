// The stand-in of discovery, held against the planner's own side of that protocol.
#include <gtest/gtest.h>

#include "discovery/discovery_watch.h"
#include "standin/list_agent.h"

namespace zincstack::standin {
namespace {

using namespace std::chrono_literals;

json::Value members(std::initializer_list<std::pair<const char*, const char*>> all) {
    json::Value out = json::Value::array();
    for (const auto& [id, phase] : all) out.push_back({{"id", id}, {"phase", phase}});
    return out;
}

struct Agent : testing::Test {
    ListAgent agent;
    AgentSession session{agent};
    net::Counters counters;
    std::vector<std::pair<EndpointListUpdate, std::string>> told;
    net::DiscoveryWatch watch{"h:1",
                              [this](EndpointListUpdate news, const json::Value& list) {
                                  std::string text;
                                  for (const auto& one : list)
                                      text +=
                                          one["id"].get<std::string>() + one["phase"].get<std::string>()[0];
                                  told.emplace_back(news, text);
                                  return true;
                              },
                              counters, 1 << 20};
    std::string pending; // the watch's next request
    void connect() {
        agent.set(members({{"x", "Ready"}, {"y", "Ready"}}));
        pending = watch.feed(session.feed(watch.connected(), 0s));
    }
};

TEST_F(Agent, AWatchIsAnsweredWhenSomethingChangesOrItsTimeIsOver) {
    connect();
    EXPECT_EQ(told.back(), std::pair(EndpointListUpdate::Snapshot, std::string("xRyR")));
    EXPECT_EQ(session.feed(pending, 1s), "");
    EXPECT_EQ(session.turn(2s), "");
    agent.set(members({{"x", "Terminating"}, {"z", "Ready"}}));
    pending = watch.feed(session.turn(2s));
    EXPECT_EQ(told.back(), std::pair(EndpointListUpdate::Delta, std::string("xTyGzR")));
    EXPECT_EQ(session.feed(pending, 10s), "");
    EXPECT_EQ(session.turn(11s), "");
    pending = watch.feed(session.turn(12s)); // nothing new: no members
    EXPECT_EQ(told.size(), 2U);
    EXPECT_NE(pending.find("index=2&"), std::string::npos);
    agent.set(members({{"x", "Terminating"}, {"z", "Ready"}}));
    EXPECT_EQ(agent.revision(), 2U);
}

TEST_F(Agent, ItIsSilentOrStaleOnCommand) {
    connect();
    agent.silent(true);
    agent.set(members({{"x", "Ready"}}));
    EXPECT_EQ(session.feed(pending, 1s), "");
    EXPECT_EQ(session.turn(50s), "");
    agent.silent(false);
    pending = watch.feed(session.turn(50s));
    EXPECT_EQ(told.back().second, "yG");
    agent.stale(true);
    agent.set(members({{"x", "Terminating"}}));
    EXPECT_EQ(session.feed(pending, 51s), "");
    EXPECT_EQ(session.turn(52s), "");
    AgentSession another(agent); // the whole list is old, too
    net::DiscoveryWatch second{"h:1",
                               [this](EndpointListUpdate, const json::Value& list) {
                                   return told.emplace_back(EndpointListUpdate::Snapshot, list.dump()), true;
                               },
                               counters, 1 << 20};
    second.feed(another.feed(second.connected(), 55s));
    EXPECT_NE(told.back().second.find("Ready"), std::string::npos);
    agent.stale(false);
    watch.feed(session.turn(52s));
    EXPECT_EQ(told.back().second, "xT");
}

TEST_F(Agent, WhatIsNoRequestIsRefused) {
    agent.set(members({}));
    for (const std::string& bad :
         {std::string("POST / HTTP/1.1\r\n\r\n"), std::string("\r\n\r\n"), std::string(9000, 'x')}) {
        AgentSession other(agent);
        other.feed(bad, 0s);
        EXPECT_FALSE(other.usable());
    }
    EXPECT_NE(session.feed("GET /other HTTP/1.1\r\n\r\n", 0s).find("404"), std::string::npos);
    EXPECT_TRUE(session.usable());
    EXPECT_THROW(agent.set(json::Value{{{"phase", "Ready"}}}), InputError);
    EXPECT_THROW(agent.set(json::Value(3)), InputError);
}

} // namespace
} // namespace zincstack::standin
