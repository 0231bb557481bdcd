#include "command/run.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <exception>

#include "config/operator_config.h"
#include "config/start_file.h"
#include "discovery/discovery_driver.h"
#include "engine/batch_runner.h"
#include "log/log.h"
#include "net/address.h"
#include "net/listener.h"
#include "net/resource_budget.h"
#include "platform/input_translator.h"
#include "platform/prober.h"
#include "platform/session_acceptor.h"
#include "pubsub/pubsub_service.h"

namespace zincstack::command {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr Micros kFirstListMost = 500ms; // then the list as last had must do
constexpr Micros kReadAgain = 250ms; // a file that was being replaced is read again, each time twice as late
constexpr int kReadsMost = 4;        // after the first

boost::asio::ip::tcp::endpoint addressOf(std::string_view field, const std::string& text) {
    const auto at = net::parseAddress(text);
    if (!at) throw InputError("the address " + std::string(field) + " can't be read: '" + text + "'");
    return *at;
}

std::size_t descriptorsMost(std::uint32_t told) {
    rlimit own{};
    if (getrlimit(RLIMIT_NOFILE, &own) != 0) return told;
    return std::min<std::size_t>(told, own.rlim_cur);
}

/// What the channel's subscribers leave to the rest.
std::size_t descriptorsLeft(std::uint32_t told, const std::optional<config::PubsubConfig>& channel) {
    const std::size_t all = descriptorsMost(told), taken = channel ? channel->subscribers : 0;
    if (taken >= all)
        throw InputError("/channel/subscribers: " + std::to_string(taken) + ", and there are " +
                         std::to_string(all) + " descriptors in all");
    return all - taken;
}

/// Calls `act` on each of the signals, for as long as the loop runs.
void onEach(asio::signal_set& signals, const std::function<void()>& act) {
    signals.async_wait([&signals, act](const boost::system::error_code& error, int) {
        if (error) return;
        onEach(signals, act);
        act();
    });
}

void startLog(const config::LogConfig& terms) {
    log::start(terms.json ? log::Format::Json : log::Format::Text, static_cast<log::Level>(terms.least));
}

void tell(const net::Counters& counters) {
    std::vector<log::Field> fields;
    for (const auto& [name, count] : counters.all()) fields.emplace_back(name, count);
    log::info("counters", fields);
}

std::optional<pubsub::PubsubService::Endpoint> placeOf(const std::optional<config::PubsubConfig>& channel) {
    if (!channel) return {};
    return pubsub::PubsubService::Endpoint{channel->listen, channel->subscribers};
}

/// What a SIGHUP asks for, tried again for some seconds where it fails. Guards against a file that is absent or
/// half-written as the signal comes: no second signal may follow.
class Reload {
public:
    Reload(asio::io_context& io, net::Counters& counters, const char* what, std::function<void()> act)
        : again_(io), counters_(counters), what_(what), act_(std::move(act)) {}

    void asked() {
        again_.cancel();
        attempt(0);
    }

private:
    void attempt(int before) {
        try {
            act_();
            counters_.add(before == 0 ? net::Counter::Reloads : net::Counter::ReloadsLate);
        } catch (const std::exception& error) {
            if (before == 0)
                counters_.recordIgnored(net::Counter::ReloadsFailed,
                                        std::string(what_) + ": " + error.what());
            if (before == kReadsMost) return;
            again_.expires_after(kReadAgain * (1 << before));
            again_.async_wait([this, before](const boost::system::error_code& stopped) {
                if (!stopped) attempt(before + 1);
            });
        }
    }

    asio::steady_timer again_;
    net::Counters& counters_;
    const char* what_;
    const std::function<void()> act_;
};

int serve(const net::StartFile& station, const config::StartSettings& start,
          const config::OperatorConfig& mine, const std::string& operatorFile, HeldSignals& held) {
    const auto listen = addressOf("listen", station.listen);
    const auto discovery = addressOf("discovery", station.discovery);

    net::Counters counters;
    const net::ResourceBudget shares =
        net::divideLimits(descriptorsLeft(station.sockets, mine.channel), station.memoryMb,
                          start.forwarders.proxyCount, start.zoneNames.size());
    // The pools outlive what the loop still holds when it ends.
    net::BufferPool lines(shares.lineBlocks), pushes(shares.pushBlocks);
    asio::io_context io(1);
    asio::signal_set end(io, SIGTERM, SIGINT), ask(io, SIGUSR1), reload(io, SIGHUP);
    net::NameRegistry names(start.productNames, start.zoneNames);
    net::BatchRunner* wakes = nullptr;
    net::Prober* probes = nullptr;
    routing::RoutingState book(
        names, counters, [&](EndpointId server) { probes->probe(server); },
        [&](Micros span) { wakes->scheduleWakeUp(span); }, start.channel);
    net::UpdateQueue outbox(book, names, counters);
    const auto planner = makePlanner(
        {station.seed, start.fleet, start.forwarders, start.channel, start.guards, start.products}, book);
    net::BatchRunner engine(io, *planner, book, counters, start.tick);
    wakes = &engine;
    net::InputTranslator intake(engine, outbox, names, counters, start.forwarders.proxyCount);
    net::Prober prober(io, names, intake, counters, lines, shares.probes, start.connectTimeout,
                       !start.reportColumns.empty());
    probes = &prober;
    net::SessionAcceptor door(intake, counters, lines);
    const auto listener = std::make_shared<net::Listener>(
        io, listen, shares.peers, net::SessionAcceptor::kQueueBytesMost, counters, lines, pushes,
        [&](net::Connection& connection) { return door.accept(connection); });
    net::DiscoveryWatch watch(
        station.discovery,
        [&](EndpointListUpdate news, const json::Value& members) {
            const bool used = intake.updateEndpoints(news, members);
            if (used) door.startServing();
            return used;
        },
        counters, shares.listBytes);
    net::DiscoveryDriver driver(io, discovery, watch, lines);
    const config::PubsubConfig channelTerms = mine.channel.value_or(config::PubsubConfig{});
    pubsub::PubsubService channel(
        io, counters, pushes,
        [&] {
            const pubsub::ServerConfig config{
                .plannerName = station.name,
                .epoch = pubsub::Epoch{static_cast<std::uint64_t>(engine.now().count())},
                .proxyCount = start.forwarders.proxyCount,
                .flowControl = {channelTerms.windowLines, channelTerms.windowBytes,
                                start.channel.maxQueuedLines, channelTerms.memoryBytes},
                .leases = {.heartbeatInterval = channelTerms.heartbeatInterval,
                           .leaseDuration = channelTerms.leaseDuration,
                           .stallTimeout = channelTerms.stallTimeout,
                           .reconnectsPerSecond = channelTerms.reconnectsPerSecond},
                .maxTombstones = channelTerms.maxTombstones};
            return std::make_unique<pubsub::SubscriptionServer>(
                book, names, counters, config, [&engine]() -> Planner& { return engine.openBatch(); },
                [&engine] { return engine.now(); });
        },
        channelTerms.heartbeatInterval);
    channel.configure(placeOf(mine.channel));

    if (const auto& members = json::member(station.known, "members"); members.is_array())
        intake.updateEndpoints(EndpointListUpdate::Cached, members);
    listener->start();
    driver.start();
    asio::steady_timer first(io, kFirstListMost);
    first.async_wait([&](const boost::system::error_code& error) {
        if (!error) door.startServing();
    });
    onEach(end, [&] { io.stop(); });
    onEach(ask, [&] { tell(counters); });
    // Each file is taken or left as a whole; one that can't be used does not keep the other from being read.
    Reload startFile(io, counters, "start file", [&] {
        const net::StartFile anew = net::reloadStartFile();
        driver.move(addressOf("discovery", anew.discovery), anew.discovery);
        log::info("reload", {{"discovery", anew.discovery}});
    });
    Reload operators(io, counters, "operator's file", [&] {
        const config::OperatorConfig anew = config::loadOperatorConfig(operatorFile);
        if (anew.channel && !mine.channel)
            descriptorsLeft(station.sockets, anew.channel); // its places are beside those shared out at start
        channel.configure(placeOf(anew.channel));
        startLog(anew.log);
        log::info("reload",
                  {{"operator", operatorFile}, {"channel", anew.channel ? anew.channel->listen : "off"}});
    });
    onEach(reload, [&] {
        startFile.asked();
        if (!operatorFile.empty()) operators.asked();
    });
    held.letIn();
    const auto at = listener->address();
    log::info("listening", {{"planner", station.name},
                            {"address", net::textOf(at)},
                            {"products", start.products.size()},
                            {"zones", start.zoneNames.size()},
                            {"proxies", start.forwarders.proxyCount},
                            {"room_for_peers", shares.peers},
                            {"probes_at_once", shares.probes}});
    int code = 0;
    try {
        io.run();
    } catch (const std::exception& error) {
        log::critical("ended_by_failure", {{"what", error.what()}});
        code = 1;
    }
    held.hold(); // from here on no handler is left that could run
    tell(counters);
    if (code == 0) log::info("ended_on_signal");
    return code;
}

} // namespace

int run(const Run& order, HeldSignals& held) {
    startLog({});
    try {
        const config::OperatorConfig mine = config::loadOperatorConfig(order.operatorFile);
        startLog(mine.log);
        const net::StartFile station = net::loadStartFile();
        const auto start = config::readStartSettings(station.flat);
        for (const auto& line : start.notices) log::warn("start_terms", {{"notice", line}});
        return serve(station, start, mine, order.operatorFile, held);
    } catch (const InputError& error) {
        log::critical("unusable", {{"what", error.what()}});
        return 2;
    } catch (const std::exception& error) {
        log::critical("failed", {{"what", error.what()}});
        return 1;
    }
}

} // namespace zincstack::command
