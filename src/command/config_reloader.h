// Reloads one configuration file on request and retries if the file is invalid.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

#include "metrics/counters.h"

namespace zincstack::command {

/// Runs a reload function once per request. A reload that throws is retried a limited number of times with
/// exponential backoff: the file may be absent or half written when SIGHUP arrives, and no second signal may
/// follow.
class ConfigReloader {
public:
    /// `name` identifies the file in the log. `reload` must throw std::exception if the file is invalid.
    ConfigReloader(boost::asio::io_context& io, net::Counters& counters, std::string name,
                   std::function<void()> reload);

    /// Reloads immediately and cancels pending retries of an earlier request.
    void request();

private:
    void attempt(int retry);
    void scheduleRetry(int retry);

    boost::asio::steady_timer retryTimer_;
    net::Counters& counters_;
    const std::string name_;
    const std::function<void()> reload_;
};

} // namespace zincstack::command
