#include "command/subscribe.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <cstdio>
#include <map>
#include <random>

#include "client/subscription_client.h"
#include "errors/input_error.h"
#include "net/address.h"
#include "json/json.h"

namespace zincstack::command {

namespace {

constexpr Micros kForeignHold = std::chrono::seconds(10);

/// Prints what differs from what was printed last.
class Printer {
public:
    Printer(bool json, const client::SubscriptionClient* const& link) : json_(json), link_(link) {}

    void changed(std::optional<pubsub::TopicId> topic) {
        if (!topic) return; // it is current: nothing new to show
        const auto& replica = link_->subscription().replica();
        const Micros now = client::SubscriptionClient::now();
        for (const auto& [id, table] : replica.tables())
            if (id == *topic || *topic == pubsub::kWithdrawnTopic) show(id, table, now);
        std::fflush(stdout);
    }
    std::uint32_t shown() const { return shown_; }

private:
    struct Shown {
        std::map<std::string, double> lines; ///< that may be picked
        std::map<std::string, pubsub::AdmissionLimit> levels;
    };
    void show(pubsub::TopicId id, const pubsub::RoutingTable& table, Micros now) {
        const auto& replica = link_->subscription().replica();
        Shown next{{}, table.admission};
        for (const auto& [server, weight] : replica.picks(table, now)) next.lines[server] = weight;
        const auto found = shownOf_.find(id);
        const bool first = found == shownOf_.end();
        const Shown before = first ? Shown{} : found->second;
        if (!first && before.lines == next.lines && before.levels == next.levels) return;
        ++shown_;
        const auto sequence = replica.at(id).value_or(pubsub::Sequence{}).value;
        if (json_)
            asJson(id, table, next, sequence);
        else
            asText(id, table, before, next, sequence, first);
        shownOf_[id] = std::move(next);
    }
    void asJson(pubsub::TopicId id, const pubsub::RoutingTable& table, const Shown& now,
                std::uint64_t sequence) const {
        nlohmann::ordered_json out{{"topic", id.value},
                                   {"epoch", link_->subscription().replica().epoch().value},
                                   {"sequence", sequence},
                                   {"products", table.requestClasses},
                                   {"lines", now.lines}};
        auto& levels = out["levels"] = nlohmann::ordered_json::object();
        for (const auto& [product, level] : now.levels)
            levels[product] = {{"level", level.limit}, {"tries", static_cast<int>(level.retryPolicy)}};
        std::printf("%s\n", out.dump().c_str());
    }
    static void asText(pubsub::TopicId id, const pubsub::RoutingTable& table, const Shown& before,
                       const Shown& now, std::uint64_t sequence, bool first) {
        std::string products;
        for (const auto& one : table.requestClasses) products += (products.empty() ? "" : "+") + one;
        std::printf("table %u for %s, change %llu: %zu servers\n", id.value, products.c_str(),
                    static_cast<unsigned long long>(sequence), now.lines.size());
        for (const auto& [server, weight] : now.lines) {
            const auto was = before.lines.find(server);
            if (was == before.lines.end())
                std::printf("  %s %s at %g\n", first ? " " : "+", server.c_str(), weight);
            else if (was->second != weight)
                std::printf("  * %s from %g to %g\n", server.c_str(), was->second, weight);
        }
        for (const auto& [server, weight] : before.lines)
            if (!now.lines.contains(server)) std::printf("  - %s\n", server.c_str());
        for (const auto& [product, level] : now.levels)
            if (const auto was = before.levels.find(product);
                was == before.levels.end() || !(was->second == level))
                std::printf("  %s let in: %g\n", product.c_str(), level.limit);
    }

    const bool json_;
    const client::SubscriptionClient* const& link_;
    std::uint32_t shown_ = 0;
    std::map<pubsub::TopicId, Shown> shownOf_;
};

} // namespace

int subscribe(const Subscribe& order) {
    std::vector<client::SubscriptionClient::Endpoint> planners;
    for (const auto& text : order.planners) {
        const auto at = net::parseAddress(text);
        if (!at) throw InputError("subscribe: no address: '" + text + "'");
        planners.push_back(*at);
    }
    boost::asio::io_context io(1);
    boost::asio::signal_set end(io, SIGTERM, SIGINT);
    const client::SubscriptionClient* shared = nullptr;
    int code = 0;
    Printer printer(order.json, shared);
    const auto proxy = order.proxy ? std::optional(ProxyId{*order.proxy}) : std::nullopt;
    const auto link = std::make_shared<client::SubscriptionClient>(
        io, planners, client::Identity{proxy, order.zone, order.weight}, client::ReconnectConfig{},
        std::random_device{}(), kForeignHold,
        [&](std::optional<pubsub::TopicId> topic) {
            printer.changed(topic);
            if (order.changes && printer.shown() >= order.changes) io.stop();
        },
        [&](const std::string& told) {
            std::fprintf(stderr, "%s\n", told.c_str());
            const auto& mine = shared->subscription();
            if (!mine.refused() || mine.disconnectNotice()->retryAfter) return;
            code = 2; // it would be refused again
            io.stop();
        });
    shared = link.get();
    end.async_wait([&](const boost::system::error_code& error, int) {
        if (!error) io.stop();
    });
    link->start();
    io.run();
    link->stop();
    return code;
}

} // namespace zincstack::command
