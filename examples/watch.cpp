// An example of the client library: a front end that joins two planners' channel in turn, picks servers by weight
// from its table, and reports what its txns came to.
//
//   zincstack_example_watch 127.0.0.1:9400
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdio>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "client/subscription_client.h"
#include "net/address.h"

using namespace zincstack;

/// A server for a txn of the product, by the weights of the lines that may be picked; empty: none is known.
static std::string pick(const pubsub::Replica& replica, const char* product, std::mt19937& chance) {
    const pubsub::RoutingTable* table = replica.tableOf(product);
    if (!table) return {};
    const auto lines = replica.picks(*table, client::SubscriptionClient::now());
    double all = 0;
    for (const auto& [server, weight] : lines) all += weight;
    double place = all * static_cast<double>(chance()) / static_cast<double>(std::mt19937::max());
    for (const auto& [server, weight] : lines)
        if ((place -= weight) <= 0) return server;
    return {};
}

int main(int count, char** words) {
    std::vector<client::SubscriptionClient::Endpoint> planners;
    for (int k = 1; k < count; ++k)
        if (const auto at = net::parseAddress(words[k])) planners.push_back(*at);
    if (planners.empty()) return std::fprintf(stderr, "usage: zincstack_example_watch ADDRESS...\n"), 2;

    boost::asio::io_context io;
    const client::Identity me{.proxy = ProxyId{0}, .zone = "a", .weight = 20};
    const auto link = std::make_shared<client::SubscriptionClient>(
        io, planners, me, client::ReconnectConfig{}, std::random_device{}(), std::chrono::seconds(10),
        [](std::optional<pubsub::TopicId> topic) {
            if (topic) std::printf("topic %u has changed\n", topic->value);
        },
        [](const std::string& line) { std::printf("%s\n", line.c_str()); });
    link->start();

    std::mt19937 chance(1);
    boost::asio::steady_timer second(io);
    std::function<void()> work = [&] {
        second.expires_after(std::chrono::seconds(1));
        second.async_wait([&](const boost::system::error_code& error) {
            if (error) return;
            const std::string server = pick(link->subscription().replica(), "lookup", chance);
            std::printf("a lookup would go to %s\n", server.empty() ? "nobody" : server.c_str());
            link->reportDemand("lookup", 20, 0, std::chrono::seconds(1));
            work();
        });
    };
    work();
    io.run();
}
