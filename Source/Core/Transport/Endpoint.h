#pragma once

#include "Common/Error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Pollenwind {

/// IP address and port. Host names are not resolved; all processes use IP addresses.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
    std::string toString() const { return address + ":" + std::to_string(port); }
};

/// Parses "ADDRESS:PORT" with an IPv4 address and a port from 1 to 65535.
/// @return The endpoint, or Malformed with a message that quotes the invalid part.
Outcome<Endpoint> parseEndpoint(std::string_view text);

} // namespace Pollenwind
