// One planner process: all parts that `zincstack run` creates, and the event loop that runs them until
// SIGTERM or SIGINT.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

#include "command/config_reloader.h"
#include "command/signal_mask.h"
#include "config/operator_config.h"
#include "config/start_file.h"
#include "discovery/discovery_driver.h"
#include "engine/batch_runner.h"
#include "metrics/counters.h"
#include "net/buffer_pool.h"
#include "net/listener.h"
#include "net/resource_budget.h"
#include "platform/input_translator.h"
#include "platform/prober.h"
#include "platform/session_acceptor.h"
#include "platform/update_queue.h"
#include "pubsub/pubsub_service.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"

namespace zincstack::command {

/// The configuration that a planner process is started with.
struct DaemonConfig {
    config::StartFile startFile;
    config::StartSettings settings;
    config::OperatorConfig operatorConfig;
    std::string operatorFile; ///< path, reloaded on SIGHUP; empty: none
};

/// Owns the event loop and all parts of one planner, and connects them. Single-threaded.
///
/// The order of the members matters: they are destroyed in reverse, so that the buffer pools and the event
/// loop outlive the members that use them.
class Daemon {
public:
    /// Binds the listening socket of the planner. Throws InputError if the configuration is invalid, and
    /// boost::system::system_error if the address cannot be bound.
    explicit Daemon(DaemonConfig config);
    ~Daemon() = default;
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Serves until SIGTERM or SIGINT and returns the exit code. `signals` are unblocked while the event loop
    /// handles them.
    int run(SignalMask& signals);

private:
    bool applyEndpointList(EndpointListUpdate update, const json::Value& members);
    std::unique_ptr<pubsub::SubscriptionServer> makeSubscriptionServer();
    void loadCachedEndpoints();
    void startNetwork();
    void startReadinessTimer();
    void installSignalHandlers();
    void reloadStartFile();
    void reloadOperatorConfig();
    void logListening() const;
    void logCounters() const;

    const DaemonConfig config_;
    const boost::asio::ip::tcp::endpoint listenAddress_;
    const boost::asio::ip::tcp::endpoint discoveryAddress_;

    net::Counters counters_;
    const net::ResourceBudget budget_;
    net::BufferPool lineBlocks_;
    net::BufferPool responseBlocks_;
    net::BufferPool pushBlocks_;

    boost::asio::io_context io_;
    boost::asio::signal_set terminationSignals_;
    boost::asio::signal_set statisticsSignals_;
    boost::asio::signal_set reloadSignals_;

    net::NameRegistry names_;
    routing::RoutingState routingState_;
    net::UpdateQueue updateQueue_;
    const std::unique_ptr<Planner> planner_;
    net::BatchRunner batchRunner_;
    net::InputTranslator inputTranslator_;
    net::Prober prober_;
    net::SessionAcceptor sessionAcceptor_;
    const std::shared_ptr<net::Listener> listener_;
    net::DiscoveryWatch discoveryWatch_;
    net::DiscoveryDriver discoveryDriver_;
    const config::PubsubConfig pubsubConfig_; // as of the start; the defaults if the channel was off
    pubsub::PubsubService pubsubService_;

    boost::asio::steady_timer readinessTimer_;
    ConfigReloader startFileReloader_;
    ConfigReloader operatorConfigReloader_;
};

/// Sets the format and the minimum level of the log.
void configureLog(const config::LogConfig& config);

} // namespace zincstack::command
