// Runs the health checks that the planner requests: one HTTP request and one result per probe.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <string>

#include "net/buffer_pool.h"
#include "platform/input_translator.h"
#include "routing/name_registry.h"

namespace zincstack::net {

/// Sends probes to endpoints. Probes beyond the concurrency limit complete with ProbeStatus::Rejected.
class Prober {
public:
    /// A `connectTimeout` of 0 selects the default. With `reportsLoad`, probes request `/-/load` instead of
    /// `/-/healthy`, because endpoints answer it with a load report.
    Prober(boost::asio::io_context& io, const NameRegistry& names, InputTranslator& inputs,
           Counters& counters, BufferPool& buffers, std::size_t maxConcurrentProbes, Micros connectTimeout,
           bool reportsLoad);
    /// Starts a probe. Its result is passed to the InputTranslator after this call has returned.
    void probe(EndpointId endpoint);

private:
    using Steady = std::chrono::steady_clock;
    struct Result {
        ProbeStatus status;
        std::string body;
    };
    boost::asio::awaitable<void> run(EndpointId endpoint);
    boost::asio::awaitable<Result> request(std::string address, Steady::time_point deadline);

    boost::asio::io_context& io_;
    const NameRegistry& names_;
    InputTranslator& inputs_;
    Counters& counters_;
    BufferPool& buffers_;
    const std::size_t maxConcurrentProbes_;
    const Micros connectTimeout_;
    const std::string path_;
    std::size_t runningProbes_ = 0;
};

} // namespace zincstack::net
