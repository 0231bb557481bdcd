// Conversion of socket addresses from and to text.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace zincstack::net {

/// Parses an address with a port, such as `1.2.3.4:80` or `[::1]:80`. Returns std::nullopt if the text is
/// invalid; host names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text);
/// Formats the address and port for `parseAddress`. IPv6 addresses have no brackets.
std::string textOf(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace zincstack::net
