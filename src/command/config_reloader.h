// Reloads one configuration file on request, with retries while the file can't be used.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

#include "metrics/counters.h"

namespace zincstack::command {

/// Runs a reload function once per request. A reload that throws is retried with exponential backoff, because the
/// file may be absent or half written when SIGHUP arrives and no second signal may follow.
class ConfigReloader {
public:
    /// `name` of the file stands in the log; `reload` throws where the file can't be used.
    ConfigReloader(boost::asio::io_context& io, net::Counters& counters, std::string name,
                   std::function<void()> reload);

    /// Reloads at once; pending retries of an earlier request are dropped.
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
