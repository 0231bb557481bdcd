#include "command/run.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <exception>

#include "discovery/discovery_driver.h"
#include "engine/engine.h"
#include "log/log.h"
#include "net/address.h"
#include "net/listener.h"
#include "net/shares.h"
#include "platform/door.h"
#include "platform/intake.h"
#include "platform/prober.h"
#include "pubsub/channel.h"
#include "terms/operator_terms.h"
#include "terms/station.h"

namespace zincstack::command {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr Micros kFirstListMost = 500ms; // then the list as last had must do
constexpr Micros kReadAgain = 250ms; // a file that was being replaced is read again, each time twice as late
constexpr int kReadsMost = 4;        // after the first

boost::asio::ip::tcp::endpoint addressOf(std::string_view field, const std::string& text) {
    const auto at = net::parseAddress(text);
    if (!at) throw Malformed("the address " + std::string(field) + " can't be read: '" + text + "'");
    return *at;
}

std::size_t descriptorsMost(std::uint32_t told) {
    rlimit own{};
    if (getrlimit(RLIMIT_NOFILE, &own) != 0) return told;
    return std::min<std::size_t>(told, own.rlim_cur);
}

/// What the channel's subscribers leave to the rest.
std::size_t descriptorsLeft(std::uint32_t told, const std::optional<terms::PubsubTerms>& channel) {
    const std::size_t all = descriptorsMost(told), taken = channel ? channel->subscribers : 0;
    if (taken >= all)
        throw Malformed("/channel/subscribers: " + std::to_string(taken) + ", and there are " +
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

void startLog(const terms::LogTerms& terms) {
    log::start(terms.json ? log::Format::Json : log::Format::Text, static_cast<log::Level>(terms.least));
}

void tell(const net::Counters& counters) {
    std::vector<log::Field> fields;
    for (const auto& [name, count] : counters.all()) fields.emplace_back(name, count);
    log::info("counters", fields);
}

std::optional<pubsub::Channel::Place> placeOf(const std::optional<terms::PubsubTerms>& channel) {
    if (!channel) return {};
    return pubsub::Channel::Place{channel->listen, channel->subscribers};
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
            counters_.add(before == 0 ? net::Count::Reloads : net::Count::ReloadsLate);
        } catch (const std::exception& error) {
            if (before == 0)
                counters_.passedOver(net::Count::ReloadsFailed, std::string(what_) + ": " + error.what());
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

int serve(const net::Station& station, const terms::StartTerms& start, const terms::OperatorTerms& mine,
          const std::string& operatorFile, HeldSignals& held) {
    const auto listen = addressOf("listen", station.listen);
    const auto discovery = addressOf("discovery", station.discovery);

    net::Counters counters;
    const net::Shares shares =
        net::splitLimits(descriptorsLeft(station.sockets, mine.channel), station.memoryMb,
                         start.forwarders.count, start.zoneNames.size());
    // The pools outlive what the loop still holds when it ends.
    net::BufferPool lines(shares.lineBlocks), pushes(shares.pushBlocks);
    asio::io_context io(1);
    asio::signal_set end(io, SIGTERM, SIGINT), ask(io, SIGUSR1), reload(io, SIGHUP);
    net::Names names(start.productNames, start.zoneNames);
    net::Engine* wakes = nullptr;
    net::Prober* probes = nullptr;
    orders::OrderBook book(
        names, counters, [&](ServerId server) { probes->probe(server); },
        [&](Micros span) { wakes->wakeAfter(span); }, start.channel);
    net::Outbox outbox(book, names, counters);
    const auto planner = makePlanner(station.seed, start.fleet, start.forwarders, start.channel, start.guards,
                                     start.products, book);
    net::Engine engine(io, *planner, book, counters, start.tick);
    wakes = &engine;
    net::Intake intake(engine, book, outbox, names, counters, start.forwarders.count);
    net::Prober prober(io, names, intake, counters, lines, shares.probes, start.connectTimeout,
                       !start.reportColumns.empty());
    probes = &prober;
    net::Door door(intake, counters, lines);
    const auto listener = std::make_shared<net::Listener>(
        io, listen, shares.peers, net::Door::kQueueBytesMost, counters, lines, pushes,
        [&](net::Connection& connection) { return door.peer(connection); });
    net::DiscoveryWatch watch(
        station.discovery,
        [&](ListNews news, const json::Value& members) {
            const bool used = intake.list(news, members);
            if (used) door.serve();
            return used;
        },
        counters, shares.listBytes);
    net::DiscoveryDriver driver(io, discovery, watch, lines);
    const terms::PubsubTerms channelTerms = mine.channel.value_or(terms::PubsubTerms{});
    pubsub::Channel channel(
        io, counters, pushes,
        [&] {
            return std::make_unique<pubsub::Hub>(
                book, names, counters, station.name,
                pubsub::Epoch{static_cast<std::uint64_t>(engine.now().count())}, start.forwarders.count,
                pubsub::PaceTerms{channelTerms.windowLines, channelTerms.windowBytes, start.channel.queueMost,
                                  channelTerms.memoryBytes},
                pubsub::LeaseTerms{.beat = channelTerms.beat,
                                   .lease = channelTerms.lease,
                                   .stall = channelTerms.stall,
                                   .backASecond = channelTerms.backASecond},
                channelTerms.remembered, [&engine]() -> Planner& { return engine.input(); },
                [&engine] { return engine.now(); });
        },
        channelTerms.beat);
    channel.be(placeOf(mine.channel));

    if (const auto& members = json::member(station.known, "members"); members.is_array())
        intake.list(ListNews::Cached, members);
    listener->start();
    driver.start();
    asio::steady_timer first(io, kFirstListMost);
    first.async_wait([&](const boost::system::error_code& error) {
        if (!error) door.serve();
    });
    onEach(end, [&] { io.stop(); });
    onEach(ask, [&] { tell(counters); });
    // Each file is taken or left as a whole; one that can't be used does not keep the other from being read.
    Reload startFile(io, counters, "start file", [&] {
        const net::Station anew = net::stationOfFileAnew();
        driver.move(addressOf("discovery", anew.discovery), anew.discovery);
        log::info("reload", {{"discovery", anew.discovery}});
    });
    Reload operators(io, counters, "operator's file", [&] {
        const terms::OperatorTerms anew = terms::operatorTermsOfFile(operatorFile);
        if (anew.channel && !mine.channel)
            descriptorsLeft(station.sockets, anew.channel); // its places are beside those shared out at start
        channel.be(placeOf(anew.channel));
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
                            {"proxies", start.forwarders.count},
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
        const terms::OperatorTerms mine = terms::operatorTermsOfFile(order.operatorFile);
        startLog(mine.log);
        const net::Station station = net::stationOfEnvironment();
        const auto start = terms::readStartTerms(station.flat);
        for (const auto& line : start.notices) log::warn("start_terms", {{"notice", line}});
        return serve(station, start, mine, order.operatorFile, held);
    } catch (const Malformed& error) {
        log::critical("unusable", {{"what", error.what()}});
        return 2;
    } catch (const std::exception& error) {
        log::critical("failed", {{"what", error.what()}});
        return 1;
    }
}

} // namespace zincstack::command
