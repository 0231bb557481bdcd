// `1.2.3.4:80` as an endpoint.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace zincstack::net {

std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text);

} // namespace zincstack::net
