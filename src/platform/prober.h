// Probes servers where the planner wants it: one call, one result.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <string>

#include "net/buffer_pool.h"
#include "platform/input_translator.h"
#include "routing/name_registry.h"

namespace zincstack::net {

class Prober {
public:
    Prober(boost::asio::io_context& io, const NameRegistry& names, InputTranslator& intake,
           Counters& counters, BufferPool& pool, std::size_t atOnceMost, Micros connectMost, bool reports);
    void probe(EndpointId server);

private:
    struct Found {
        ProbeStatus status;
        std::string body;
    };
    boost::asio::awaitable<void> run(EndpointId server);
    using Steady = std::chrono::steady_clock;
    boost::asio::awaitable<Found> ask(std::string address, Steady::time_point until);

    boost::asio::io_context& io_;
    const NameRegistry& names_;
    InputTranslator& intake_;
    Counters& counters_;
    BufferPool& pool_;
    const std::size_t atOnceMost_;
    const Micros connectMost_;
    const std::string path_;
    std::size_t running_ = 0;
};

} // namespace zincstack::net
