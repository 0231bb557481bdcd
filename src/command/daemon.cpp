#include "command/daemon.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <exception>
#include <functional>
#include <optional>
#include <utility>

#include "errors/input_error.h"
#include "log/log.h"
#include "net/address.h"

namespace zincstack::command {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr Micros kDiscoveryGracePeriod = 500ms; // after it, the planner serves from the cached endpoint list

asio::ip::tcp::endpoint requireAddress(std::string_view field, const std::string& text) {
    const auto address = net::parseAddress(text);
    if (!address)
        throw InputError("the address " + std::string(field) + " is not an IP address and port: '" + text +
                         "'");
    return *address;
}

/// The lower of the configured limit and the limit of the process.
std::size_t availableDescriptors(std::uint32_t configuredLimit) {
    rlimit processLimit{};
    if (getrlimit(RLIMIT_NOFILE, &processLimit) != 0) return configuredLimit;
    return std::min<std::size_t>(configuredLimit, processLimit.rlim_cur);
}

/// The file descriptors that remain after one for each pub-sub subscriber. Throws InputError if none remain.
std::size_t remainingDescriptors(std::uint32_t configuredLimit,
                                 const std::optional<config::PubsubConfig>& pubsub) {
    const std::size_t available = availableDescriptors(configuredLimit);
    const std::size_t reserved = pubsub ? pubsub->maxSubscribers : 0;
    if (reserved >= available)
        throw InputError("/channel/subscribers: " + std::to_string(reserved) +
                         " subscribers need a file descriptor each, but only " + std::to_string(available) +
                         " are available for all connections");
    return available - reserved;
}

net::ResourceBudget resourceBudgetOf(const DaemonConfig& config) {
    const config::StartFile& startFile = config.startFile;
    return net::divideLimits(remainingDescriptors(startFile.maxDescriptors, config.operatorConfig.pubsub),
                             startFile.memoryMegabytes, config.settings.proxies.proxyCount,
                             config.settings.zoneNames.size());
}

std::unique_ptr<Planner> makePlannerOf(const DaemonConfig& config, routing::RoutingState& routingState) {
    const config::StartSettings& settings = config.settings;
    return makePlanner({config.startFile.seed, settings.fleet, settings.proxies, settings.controlChannel,
                        settings.safetyLimits, settings.requestClasses},
                       routingState);
}

std::optional<pubsub::PubsubService::ListenConfig>
pubsubListenConfigOf(const config::OperatorConfig& config) {
    if (!config.pubsub) return {};
    return pubsub::PubsubService::ListenConfig{config.pubsub->listen, config.pubsub->maxSubscribers};
}

/// Calls `handler` each time one of the signals arrives, as long as the event loop runs.
void handleSignals(asio::signal_set& signals, const std::function<void()>& handler) {
    signals.async_wait([&signals, handler](const boost::system::error_code& error, int) {
        if (error) return;
        handleSignals(signals, handler);
        handler();
    });
}

} // namespace

void configureLog(const config::LogConfig& config) {
    log::start(config.json ? log::Format::Json : log::Format::Text, config.minLevel);
}

Daemon::Daemon(DaemonConfig config)
    : config_(std::move(config)), listenAddress_(requireAddress("listen", config_.startFile.listen)),
      discoveryAddress_(requireAddress("discovery", config_.startFile.discovery)),
      budget_(resourceBudgetOf(config_)), lineBlocks_(budget_.lineBlocks),
      responseBlocks_(budget_.responseBlocks), pushBlocks_(budget_.pushBlocks), io_(1),
      terminationSignals_(io_, SIGTERM, SIGINT), statisticsSignals_(io_, SIGUSR1),
      reloadSignals_(io_, SIGHUP), names_(config_.settings.requestClassNames, config_.settings.zoneNames),
      routingState_(
          names_, counters_, [this](EndpointId endpoint) { prober_.probe(endpoint); },
          [this](Micros delay) { batchRunner_.scheduleWakeUp(delay); }, config_.settings.controlChannel),
      updateQueue_(routingState_, names_, counters_), planner_(makePlannerOf(config_, routingState_)),
      batchRunner_(io_, *planner_, routingState_, counters_, config_.settings.tick),
      inputTranslator_(batchRunner_, updateQueue_, names_, counters_, config_.settings.proxies.proxyCount),
      prober_(io_, names_, inputTranslator_, counters_, responseBlocks_, budget_.probes,
              config_.settings.connectTimeout, !config_.settings.reportColumns.empty()),
      sessionAcceptor_(inputTranslator_, counters_, lineBlocks_),
      listener_(std::make_shared<net::Listener>(
          io_, listenAddress_, budget_.peers, net::SessionAcceptor::kMaxQueuedBytes, counters_, pushBlocks_,
          [this](net::Connection& connection) { return sessionAcceptor_.accept(connection); })),
      discoveryWatch_(
          config_.startFile.discovery,
          [this](EndpointListUpdate update, const json::Value& members) {
              return applyEndpointList(update, members);
          },
          counters_, budget_.listBytes),
      discoveryDriver_(io_, discoveryAddress_, discoveryWatch_, responseBlocks_),
      pubsubConfig_(config_.operatorConfig.pubsub.value_or(config::PubsubConfig{})),
      pubsubService_(
          io_, counters_, pushBlocks_, [this] { return makeSubscriptionServer(); },
          pubsubConfig_.heartbeatInterval),
      readinessTimer_(io_), startFileReloader_(io_, counters_, "start file", [this] { reloadStartFile(); }),
      operatorConfigReloader_(io_, counters_, "operator's file", [this] { reloadOperatorConfig(); }) {}

int Daemon::run(SignalMask& signals) {
    pubsubService_.configure(pubsubListenConfigOf(config_.operatorConfig));
    loadCachedEndpoints();
    startNetwork();
    startReadinessTimer();
    installSignalHandlers();
    signals.unblock();
    logListening();
    int exitCode = 0;
    try {
        io_.run();
    } catch (const std::exception& error) {
        log::critical("ended_by_failure", {{"what", error.what()}});
        exitCode = 1;
    }
    signals.block(); // the event loop has ended, so no handler can run any more
    logCounters();
    if (exitCode == 0) log::info("ended_on_signal");
    return exitCode;
}

/// Returns false if the list is invalid. After the first valid list the planner is ready to serve.
bool Daemon::applyEndpointList(EndpointListUpdate update, const json::Value& members) {
    const bool usable = inputTranslator_.updateEndpoints(update, members);
    if (usable) sessionAcceptor_.startServing();
    return usable;
}

std::unique_ptr<pubsub::SubscriptionServer> Daemon::makeSubscriptionServer() {
    const pubsub::Epoch epoch{static_cast<std::uint64_t>(batchRunner_.now().count())};
    const pubsub::FlowControlLimits flowControl{pubsubConfig_.windowLines, pubsubConfig_.windowBytes,
                                                config_.settings.controlChannel.maxQueuedLines,
                                                pubsubConfig_.memoryBytes};
    const pubsub::LeaseConfig leases{.heartbeatInterval = pubsubConfig_.heartbeatInterval,
                                     .leaseDuration = pubsubConfig_.leaseDuration,
                                     .stallTimeout = pubsubConfig_.stallTimeout,
                                     .reconnectsPerSecond = pubsubConfig_.reconnectsPerSecond};
    const pubsub::ServerConfig serverConfig{.plannerName = config_.startFile.name,
                                            .epoch = epoch,
                                            .proxyCount = config_.settings.proxies.proxyCount,
                                            .flowControl = flowControl,
                                            .leases = leases,
                                            .maxTombstones = pubsubConfig_.maxTombstones};
    return std::make_unique<pubsub::SubscriptionServer>(
        routingState_, names_, counters_, serverConfig,
        [this]() -> Planner& { return batchRunner_.openBatch(); }, [this] { return batchRunner_.now(); });
}

void Daemon::loadCachedEndpoints() {
    const auto& members = json::member(config_.startFile.cachedEndpoints, "members");
    if (members.is_array()) inputTranslator_.updateEndpoints(EndpointListUpdate::Cached, members);
}

void Daemon::startNetwork() {
    listener_->start();
    discoveryDriver_.start();
}

/// If discovery does not answer in time, the planner starts serving from the cached list.
void Daemon::startReadinessTimer() {
    readinessTimer_.expires_after(kDiscoveryGracePeriod);
    readinessTimer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) sessionAcceptor_.startServing();
    });
}

void Daemon::installSignalHandlers() {
    handleSignals(terminationSignals_, [this] { io_.stop(); });
    handleSignals(statisticsSignals_, [this] { logCounters(); });
    handleSignals(reloadSignals_, [this] {
        startFileReloader_.request();
        if (!config_.operatorFile.empty()) operatorConfigReloader_.request();
    });
}

/// Only the address of discovery can change while the planner runs; other changed fields are ignored.
void Daemon::reloadStartFile() {
    const config::StartFile reloaded = config::reloadStartFile();
    discoveryDriver_.changeAddress(requireAddress("discovery", reloaded.discovery), reloaded.discovery);
    log::info("reload", {{"discovery", reloaded.discovery}});
}

/// Applies the file completely or not at all: all steps that can fail precede the first change.
void Daemon::reloadOperatorConfig() {
    const config::OperatorConfig reloaded = config::loadOperatorConfig(config_.operatorFile);
    // If the channel was off at the start, the resource budget has no descriptors for its subscribers: they
    // come on top.
    if (reloaded.pubsub && !config_.operatorConfig.pubsub)
        remainingDescriptors(config_.startFile.maxDescriptors, reloaded.pubsub);
    pubsubService_.configure(pubsubListenConfigOf(reloaded));
    configureLog(reloaded.log);
    const std::string channel = reloaded.pubsub ? reloaded.pubsub->listen : "off";
    log::info("reload", {{"operator", config_.operatorFile}, {"channel", channel}});
}

void Daemon::logListening() const {
    log::info("listening", {{"planner", config_.startFile.name},
                            {"address", net::textOf(listener_->address())},
                            {"products", config_.settings.requestClasses.size()},
                            {"zones", config_.settings.zoneNames.size()},
                            {"proxies", config_.settings.proxies.proxyCount},
                            {"room_for_peers", budget_.peers},
                            {"probes_at_once", budget_.probes}});
}

void Daemon::logCounters() const {
    std::vector<log::Field> fields;
    for (const auto& [name, count] : counters_.all()) fields.emplace_back(name, count);
    log::info("counters", fields);
}

} // namespace zincstack::command
