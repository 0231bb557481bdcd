#include "command/standin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <utility>

#include "config/operator_config.h"
#include "log/log.h"
#include "net/address.h"
#include "standin/agent_driver.h"

namespace zincstack::command {

namespace {

namespace asio = boost::asio;

constexpr auto kFileCheckInterval = std::chrono::milliseconds(200); // short enough for a file edited by hand

std::filesystem::file_time_type modificationTime(const std::string& file) {
    std::error_code ignored;
    return std::filesystem::last_write_time(file, ignored);
}

json::Value readMembers(const std::string& file) {
    try {
        return json::member(json::read(config::readFile(file)), "members");
    } catch (const InputError& error) { throw error.withDocument(file); }
}

asio::ip::tcp::endpoint requireListenAddress(const std::string& text) {
    const auto address = net::parseAddress(text);
    if (!address) throw InputError("standin: --listen is not an IP address and port: '" + text + "'");
    return *address;
}

/// Serves the endpoint list of a file and polls the file for changes.
class FileDiscoveryAgent {
public:
    FileDiscoveryAgent(std::string file, asio::ip::tcp::endpoint listen)
        : file_(std::move(file)), listen_(std::move(listen)), modifiedAt_(loadInitialList()) {}

    void run() {
        terminationSignals_.async_wait([this](const boost::system::error_code& error, int) {
            if (!error) io_.stop();
        });
        standin::AgentDriver driver(io_, listen_, agent_);
        driver.start();
        log::info("standin_discovery",
                  {{"address", net::textOf(driver.address())}, {"revision", agent_.revision()}});
        scheduleFileCheck(driver);
        io_.run();
    }

private:
    /// Runs before the signal handlers are installed, so that a signal during the load ends the process
    /// immediately.
    std::filesystem::file_time_type loadInitialList() {
        agent_.set(readMembers(file_));
        return modificationTime(file_);
    }

    void scheduleFileCheck(standin::AgentDriver& driver) {
        fileCheckTimer_.expires_after(kFileCheckInterval);
        fileCheckTimer_.async_wait([this, &driver](const boost::system::error_code& error) {
            if (error) return;
            reloadIfModified(driver);
            scheduleFileCheck(driver);
        });
    }

    void reloadIfModified(standin::AgentDriver& driver) {
        const auto modifiedAt = modificationTime(file_);
        if (modifiedAt == modifiedAt_) return;
        modifiedAt_ = modifiedAt;
        try {
            agent_.set(readMembers(file_));
            log::info("list", {{"revision", agent_.revision()}});
            driver.notifyWatches();
        } catch (const InputError& error) { log::warn("list_unusable", {{"what", error.what()}}); }
    }

    const std::string file_;
    const asio::ip::tcp::endpoint listen_;
    standin::ListAgent agent_;
    std::filesystem::file_time_type modifiedAt_;
    asio::io_context io_{1};
    asio::signal_set terminationSignals_{io_, SIGTERM, SIGINT};
    asio::steady_timer fileCheckTimer_{io_};
};

} // namespace

int standin(const StandinOptions& options) {
    const auto listen = requireListenAddress(options.listen);
    log::start(log::Format::Text, log::Level::Info);
    FileDiscoveryAgent(options.file, listen).run();
    return 0;
}

} // namespace zincstack::command
