// `1.2.3.4:80` as an endpoint.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace zincstack::net {

std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text);
/// As address and port, in the form that is read.
std::string textOf(const boost::asio::ip::tcp::endpoint& at);

} // namespace zincstack::net
