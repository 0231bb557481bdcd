// Example of the client library. Subscribes to the first planner that answers. Once a second it picks an
// endpoint for a request, at random in proportion to the weights, and reports its demand.
//
// Usage: zincstack_example_watch ADDRESS...
//   ADDRESS  address and port of a planner, for example 127.0.0.1:9400
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdio>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "client/subscription_client.h"
#include "net/address.h"

using namespace zincstack;
using namespace std::chrono_literals;

namespace {

constexpr const char* kRequestClass = "lookup";
constexpr std::uint32_t kRequestsPerSecond = 20;

/// Picks an eligible endpoint for a request of the class, at random in proportion to the weights. Returns an
/// empty string if there is none.
std::string pickEndpoint(const pubsub::Replica& replica, const char* requestClass, std::mt19937& random) {
    const pubsub::RoutingTable* table = replica.tableOf(requestClass);
    if (!table) return {};
    const auto endpoints = replica.eligibleEndpoints(*table, client::SubscriptionClient::now());
    double total = 0;
    for (const auto& [endpoint, weight] : endpoints) total += weight;
    double remaining = total * static_cast<double>(random()) / static_cast<double>(std::mt19937::max());
    for (const auto& [endpoint, weight] : endpoints) {
        remaining -= weight;
        if (remaining <= 0) return endpoint;
    }
    return {};
}

} // namespace

int main(int argumentCount, char** arguments) {
    std::vector<client::SubscriptionClient::Endpoint> planners;
    for (int k = 1; k < argumentCount; ++k)
        if (const auto address = net::parseAddress(arguments[k])) planners.push_back(*address);
    if (planners.empty()) {
        std::fprintf(stderr, "usage: zincstack_example_watch ADDRESS...\n");
        return 2;
    }

    boost::asio::io_context io;
    const client::Identity identity{.proxy = ProxyId{0}, .zone = "a", .weight = kRequestsPerSecond};
    const auto subscriber = std::make_shared<client::SubscriptionClient>(
        io, planners, identity, client::ReconnectConfig{}, std::random_device{}(), 10s,
        [](std::optional<pubsub::TopicId> topic) {
            if (topic) std::printf("topic %u changed\n", topic->value);
        },
        [](const std::string& line) { std::printf("%s\n", line.c_str()); });
    subscriber->start();

    std::mt19937 random(1);
    boost::asio::steady_timer timer(io);
    std::function<void()> sendRequests = [&] {
        timer.expires_after(1s);
        timer.async_wait([&](const boost::system::error_code& error) {
            if (error) return;
            const std::string endpoint =
                pickEndpoint(subscriber->subscription().replica(), kRequestClass, random);
            std::printf("request of class %s: endpoint %s\n", kRequestClass,
                        endpoint.empty() ? "none available" : endpoint.c_str());
            subscriber->reportDemand(kRequestClass, kRequestsPerSecond, 0, 1s);
            sendRequests();
        });
    };
    sendRequests();
    io.run();
}
