#include "command/standin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdio>
#include <filesystem>
#include <functional>

#include "config/operator_config.h"
#include "log/log.h"
#include "net/address.h"
#include "standin/agent_driver.h"

namespace zincstack::command {

namespace {

namespace asio = boost::asio;
constexpr auto kLook = std::chrono::milliseconds(200); // how often the file is looked at

std::filesystem::file_time_type changedAt(const std::string& file) {
    std::error_code ignored;
    return std::filesystem::last_write_time(file, ignored);
}
json::Value membersOf(const std::string& file) {
    try {
        return json::member(json::read(config::readFile(file)), "members");
    } catch (const InputError& error) {
        const std::string what = error.what();
        throw InputError(what.starts_with(file) ? what : file + ": " + what);
    }
}

} // namespace

int standin(const Standin& order) {
    const auto at = net::parseAddress(order.listen);
    if (!at) throw InputError("standin: no address: '" + order.listen + "'");
    log::start(log::Format::Text, log::Level::Info);
    standin::ListAgent agent;
    agent.set(membersOf(order.file));
    auto read = changedAt(order.file);
    asio::io_context io(1);
    asio::signal_set end(io, SIGTERM, SIGINT);
    end.async_wait([&](const boost::system::error_code& error, int) {
        if (!error) io.stop();
    });
    standin::AgentDriver driver(io, *at, agent);
    driver.start();
    log::info("standin_discovery",
              {{"address", net::textOf(driver.address())}, {"revision", agent.revision()}});
    asio::steady_timer timer(io);
    std::function<void()> look = [&] {
        timer.expires_after(kLook);
        timer.async_wait([&](const boost::system::error_code& error) {
            if (error) return;
            if (const auto now = changedAt(order.file); now != read) {
                read = now;
                try {
                    agent.set(membersOf(order.file));
                    log::info("list", {{"revision", agent.revision()}});
                    driver.notifyWatches();
                } catch (const InputError& fault) { log::warn("list_unusable", {{"what", fault.what()}}); }
            }
            look();
        });
    };
    look();
    io.run();
    return 0;
}

} // namespace zincstack::command
