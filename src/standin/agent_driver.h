// The stand-in agent on a socket. A thin driver.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <list>
#include <memory>

#include "standin/list_agent.h"

namespace zincstack::standin {

class AgentDriver {
public:
    /// Throws boost::system::system_error where the address can't be listened on.
    AgentDriver(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& at, ListAgent& agent);
    void start();
    boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    /// The list, or a fault, has changed: watches are looked at.
    void poke();

private:
    struct Visitor {
        Visitor(boost::asio::ip::tcp::socket its, const ListAgent& agent)
            : socket(std::move(its)), session(agent) {}
        boost::asio::awaitable<void> serve();
        void say(const std::string& bytes);
        boost::asio::ip::tcp::socket socket;
        AgentSession session;
        std::array<char, 4096> room{};
    };
    boost::asio::awaitable<void> accept();
    static Micros now();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer turns_;
    ListAgent& agent_;
    std::list<std::weak_ptr<Visitor>> visitors_;
};

} // namespace zincstack::standin
