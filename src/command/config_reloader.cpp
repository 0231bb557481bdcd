#include "command/config_reloader.h"

#include <chrono>
#include <exception>
#include <utility>

namespace zincstack::command {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::microseconds kInitialBackoff = 250ms; // doubled with each retry
constexpr int kMaxRetries = 4; // 3.75 s in total, longer than any tool takes to write the file

} // namespace

ConfigReloader::ConfigReloader(boost::asio::io_context& io, net::Counters& counters, std::string name,
                               std::function<void()> reload)
    : retryTimer_(io), counters_(counters), name_(std::move(name)), reload_(std::move(reload)) {}

void ConfigReloader::request() {
    retryTimer_.cancel();
    attempt(0);
}

void ConfigReloader::attempt(int retry) {
    try {
        reload_();
        counters_.add(retry == 0 ? net::Counter::Reloads : net::Counter::ReloadsLate);
    } catch (const std::exception& error) {
        if (retry == 0) counters_.recordIgnored(net::Counter::ReloadsFailed, name_ + ": " + error.what());
        if (retry < kMaxRetries) scheduleRetry(retry + 1);
    }
}

void ConfigReloader::scheduleRetry(int retry) {
    retryTimer_.expires_after(kInitialBackoff * (1 << (retry - 1)));
    retryTimer_.async_wait([this, retry](const boost::system::error_code& cancelled) {
        if (!cancelled) attempt(retry);
    });
}

} // namespace zincstack::command
