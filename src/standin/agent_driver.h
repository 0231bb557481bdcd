// The network side of the stand-in discovery agent: accepts connections and transfers bytes. ListAgent and
// AgentSession implement the protocol.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <list>
#include <memory>
#include <string>

#include "standin/list_agent.h"

namespace zincstack::standin {

/// Serves an agent on one address. Owns the acceptor; each connection is kept alive by its coroutine. All
/// work is done on the thread of `io`. `agent` must outlive the driver.
class AgentDriver {
public:
    /// Throws boost::system::system_error if the address cannot be bound.
    AgentDriver(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, ListAgent& agent);
    void start();
    boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    /// Answers the watches that are due. To be called after a change of the agent's list or of an injected
    /// fault.
    void notifyWatches();

private:
    /// An accepted connection: its socket and its protocol session.
    struct Connection {
        Connection(boost::asio::ip::tcp::socket accepted, const ListAgent& agent)
            : socket(std::move(accepted)), session(agent) {}
        boost::asio::awaitable<void> serve();
        void send(const std::string& bytes);

        static constexpr std::size_t kReadBufferBytes = 4096;
        boost::asio::ip::tcp::socket socket;
        AgentSession session;
        std::array<char, kReadBufferBytes> readBuffer{};
    };
    boost::asio::awaitable<void> acceptConnections();
    void waitForWatchDeadlines();
    static Micros now();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer watchTimer_;
    ListAgent& agent_;
    std::list<std::weak_ptr<Connection>> connections_;
};

} // namespace zincstack::standin
