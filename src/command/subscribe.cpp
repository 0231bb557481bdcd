#include "command/subscribe.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <cstdio>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "client/subscription_client.h"
#include "errors/input_error.h"
#include "net/address.h"
#include "json/json.h"

namespace zincstack::command {

namespace {

constexpr Micros kUnconfirmedExclusionHold = std::chrono::seconds(10); // of exclusions by an earlier planner
constexpr int kExitRefused = 2; // permanently: the same greeting would be refused again

/// The contents of a routing table that a client uses: the eligible endpoints with their weights, and the
/// admission limits.
struct TableView {
    std::map<std::string, double> weights;
    std::map<std::string, pubsub::AdmissionLimit> admission;
    friend bool operator==(const TableView&, const TableView&) = default;
};

void printWeights(const TableView& previous, const TableView& current, bool isFirst) {
    for (const auto& [endpoint, weight] : current.weights) {
        const auto before = previous.weights.find(endpoint);
        if (before == previous.weights.end())
            std::printf("  %s %s at %g\n", isFirst ? " " : "+", endpoint.c_str(), weight);
        else if (before->second != weight)
            std::printf("  * %s from %g to %g\n", endpoint.c_str(), before->second, weight);
    }
    for (const auto& [endpoint, weight] : previous.weights)
        if (!current.weights.contains(endpoint)) std::printf("  - %s\n", endpoint.c_str());
}

void printAdmission(const TableView& previous, const TableView& current) {
    for (const auto& [requestClass, admission] : current.admission) {
        const auto before = previous.admission.find(requestClass);
        const bool isUnchanged = before != previous.admission.end() && before->second == admission;
        if (!isUnchanged) std::printf("  %s admission limit: %g\n", requestClass.c_str(), admission.limit);
    }
}

/// Prints the routing tables of a client as they change, as text or as one JSON object per line.
class TablePrinter {
public:
    explicit TablePrinter(bool asJson) : asJson_(asJson) {}

    /// Prints the tables that a change of this topic affects, except those that are the same as last printed.
    void onTopicChanged(const pubsub::Replica& replica, pubsub::TopicId topic) {
        const Micros now = client::SubscriptionClient::now();
        for (const auto& [candidate, table] : replica.tables())
            if (candidate == topic || topic == pubsub::kExclusionsTopic)
                printIfChanged(replica, candidate, table, now);
        std::fflush(stdout);
    }
    std::uint32_t printedCount() const { return printedCount_; }

private:
    void printIfChanged(const pubsub::Replica& replica, pubsub::TopicId topic,
                        const pubsub::RoutingTable& table, Micros now) {
        TableView current{{}, table.admission};
        for (const auto& [endpoint, weight] : replica.eligibleEndpoints(table, now))
            current.weights[endpoint] = weight;
        const auto [place, isFirst] = printed_.try_emplace(topic);
        const TableView previous = std::exchange(place->second, current);
        if (!isFirst && previous == current) return;
        ++printedCount_;
        if (asJson_)
            printJson(replica, topic, table, current);
        else
            printText(replica, topic, table, previous, current, isFirst);
    }
    static void printJson(const pubsub::Replica& replica, pubsub::TopicId topic,
                          const pubsub::RoutingTable& table, const TableView& current) {
        nlohmann::ordered_json out{{"topic", topic.value},
                                   {"epoch", replica.epoch().value},
                                   {"sequence", sequenceOf(replica, topic)},
                                   {"products", table.requestClasses},
                                   {"lines", current.weights}};
        auto& levels = out["levels"] = nlohmann::ordered_json::object();
        for (const auto& [requestClass, admission] : current.admission)
            levels[requestClass] = {{"level", admission.limit},
                                    {"tries", static_cast<int>(admission.retryPolicy)}};
        std::printf("%s\n", out.dump().c_str());
    }
    static void printText(const pubsub::Replica& replica, pubsub::TopicId topic,
                          const pubsub::RoutingTable& table, const TableView& previous,
                          const TableView& current, bool isFirst) {
        std::string requestClasses;
        for (const auto& name : table.requestClasses)
            requestClasses += (requestClasses.empty() ? "" : "+") + name;
        std::printf("table %u for %s, sequence %llu: %zu endpoints\n", topic.value, requestClasses.c_str(),
                    static_cast<unsigned long long>(sequenceOf(replica, topic)), current.weights.size());
        printWeights(previous, current, isFirst);
        printAdmission(previous, current);
    }
    static std::uint64_t sequenceOf(const pubsub::Replica& replica, pubsub::TopicId topic) {
        return replica.at(topic).value_or(pubsub::Sequence{}).value;
    }

    const bool asJson_;
    std::uint32_t printedCount_ = 0;
    std::map<pubsub::TopicId, TableView> printed_;
};

std::vector<client::SubscriptionClient::Endpoint> parsePlanners(const std::vector<std::string>& addresses) {
    std::vector<client::SubscriptionClient::Endpoint> planners;
    for (const auto& text : addresses) {
        const auto address = net::parseAddress(text);
        if (!address) throw InputError("subscribe: not an IP address and port: '" + text + "'");
        planners.push_back(*address);
    }
    return planners;
}

} // namespace

int subscribe(const SubscribeOptions& options) {
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    std::shared_ptr<client::SubscriptionClient> subscriber;
    int exitCode = 0;
    TablePrinter printer(options.json);
    const auto onChange = [&](std::optional<pubsub::TopicId> topic) {
        if (topic) printer.onTopicChanged(subscriber->subscription().replica(), *topic);
        if (options.maxChanges && printer.printedCount() >= options.maxChanges) io.stop();
    };
    const auto onStatus = [&](const std::string& line) {
        std::fprintf(stderr, "%s\n", line.c_str());
        const auto& subscription = subscriber->subscription();
        if (!subscription.refused() || subscription.disconnectNotice()->retryAfter) return;
        exitCode = kExitRefused;
        io.stop();
    };
    const auto proxy = options.proxy ? std::optional(ProxyId{*options.proxy}) : std::nullopt;
    subscriber = std::make_shared<client::SubscriptionClient>(
        io, parsePlanners(options.planners), client::Identity{proxy, options.zone, options.weight},
        client::ReconnectConfig{}, std::random_device{}(), kUnconfirmedExclusionHold, onChange, onStatus);
    signals.async_wait([&](const boost::system::error_code& error, int) {
        if (!error) io.stop();
    });
    subscriber->start();
    io.run();
    subscriber->stop();
    return exitCode;
}

} // namespace zincstack::command
