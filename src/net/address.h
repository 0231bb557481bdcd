// Socket addresses as text: `1.2.3.4:80` or `[::1]:80`.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace zincstack::net {

/// None where the text is no address with a port. Host names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text);
/// The address and port, as `parseAddress` reads them.
std::string textOf(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace zincstack::net
