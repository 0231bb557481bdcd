#include "net/address.h"

#include <charconv>

namespace zincstack::net {

std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) return {};
    auto host = text.substr(0, colon);
    const auto digits = text.substr(colon + 1);
    if (host.starts_with('[') && host.ends_with(']')) host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const auto [end, failed] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    if (error || failed != std::errc{} || end != digits.data() + digits.size()) return {};
    return boost::asio::ip::tcp::endpoint(address, port);
}

std::string textOf(const boost::asio::ip::tcp::endpoint& at) {
    return at.address().to_string() + ":" + std::to_string(at.port());
}

} // namespace zincstack::net
