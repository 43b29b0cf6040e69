#include "Transport/Endpoint.h"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace Pollenwind {

Outcome<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return fail(ErrorCode::Malformed, "expected ADDRESS:PORT, got \"" + std::string(text) + "\"");
    }
    const std::string address(text.substr(0, colon));
    boost::system::error_code ec;
    const auto parsed = boost::asio::ip::make_address_v4(address, ec);
    // The parser stops at a NUL byte, so the result is compared with the whole text.
    if (ec || parsed.to_string() != address) {
        return fail(ErrorCode::Malformed, "not an IPv4 address: \"" + address + "\"");
    }
    const auto portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (error != std::errc() || end != portText.data() + portText.size() || port == 0) {
        return fail(ErrorCode::Malformed, "not a port: \"" + std::string(portText) + "\"");
    }
    return Endpoint { address, port };
}

} // namespace Pollenwind
