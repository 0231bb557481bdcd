// zincstack: one planner on sockets. Wiring, signals and the exit code.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <exception>

#include "discovery/discovery_driver.h"
#include "engine/engine.h"
#include "net/address.h"
#include "net/listener.h"
#include "net/shares.h"
#include "platform/door.h"
#include "platform/intake.h"
#include "platform/prober.h"
#include "terms/station.h"

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using namespace zincstack;

constexpr Micros kFirstListMost = 500ms; // then the list as last had must do

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

/// Calls `act` on each of the signals, for as long as the loop runs.
void onEach(asio::signal_set& signals, const std::function<void()>& act) {
    signals.async_wait([&signals, act](const boost::system::error_code& error, int) {
        if (error) return;
        onEach(signals, act);
        act();
    });
}

int serve(const net::Station& station, const terms::StartTerms& start) {
    const auto listen = addressOf("listen", station.listen);
    const auto discovery = addressOf("discovery", station.discovery);

    net::Counters counters;
    const net::Shares shares = net::splitLimits(descriptorsMost(station.sockets), station.memoryMb,
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
        [&](Micros span) { wakes->wakeAfter(span); });
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
        [&](ListNews news, const net::Json& members) {
            const bool used = intake.list(news, members);
            if (used) door.serve();
            return used;
        },
        counters, shares.listBytes);
    net::DiscoveryDriver driver(io, discovery, watch, lines);

    if (const auto* members = station.known.find("members")) intake.list(ListNews::Cached, *members);
    listener->start();
    driver.start();
    asio::steady_timer first(io, kFirstListMost);
    first.async_wait([&](const boost::system::error_code& error) {
        if (!error) door.serve();
    });
    onEach(end, [&] { io.stop(); });
    onEach(ask, [&] { spdlog::info("counters: {}", counters.text()); });
    onEach(reload, [&] {
        try {
            const net::Station anew = net::stationOfFileAnew();
            driver.move(addressOf("discovery", anew.discovery), anew.discovery);
            counters.add(net::Count::Reloads);
            spdlog::info("reload: discovery at {}", anew.discovery);
        } catch (const Malformed& error) { counters.passedOver(net::Count::ReloadsFailed, error.what()); }
    });
    const auto at = listener->address();
    spdlog::info("{} listens on {}:{}, {} products, {} zones, {} proxies, room for {} peers, {} probes",
                 station.name, at.address().to_string(), at.port(), start.products.size(),
                 start.zoneNames.size(), start.forwarders.count, shares.peers, shares.probes);
    int code = 0;
    try {
        io.run();
    } catch (const std::exception& error) {
        spdlog::critical("ended by a failure: {}", error.what());
        code = 1;
    }
    spdlog::info("counters: {}", counters.text());
    if (code == 0) spdlog::info("ended on a signal");
    return code;
}

} // namespace

int main() {
    spdlog::set_default_logger(spdlog::stderr_logger_st("zincstack"));
    spdlog::set_pattern("%H:%M:%S.%e %l %v");
    try {
        const net::Station station = net::stationOfEnvironment();
        const auto start = terms::readStartTerms(station.flat);
        for (const auto& line : start.notices) spdlog::warn("{}", line);
        return serve(station, start);
    } catch (const Malformed& error) {
        spdlog::critical("{}", error.what());
        return 2;
    } catch (const std::exception& error) {
        spdlog::critical("{}", error.what());
        return 1;
    }
}
