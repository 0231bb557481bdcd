#include "net/address.h"

#include <charconv>

namespace zincstack::net {

std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) return {};
    auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) host = host.substr(1, host.size() - 2);
    const auto digits = text.substr(colon + 1);
    const char* const digitsBegin = digits.data();
    const char* const digitsEnd = digitsBegin + digits.size();
    std::uint16_t port = 0;
    const auto [end, portError] = std::from_chars(digitsBegin, digitsEnd, port);
    if (portError != std::errc{} || end != digitsEnd) return {};
    boost::system::error_code hostError;
    const auto address = boost::asio::ip::make_address(host, hostError);
    if (hostError) return {};
    return boost::asio::ip::tcp::endpoint(address, port);
}

std::string textOf(const boost::asio::ip::tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace zincstack::net
