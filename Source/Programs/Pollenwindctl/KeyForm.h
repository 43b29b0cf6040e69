#pragma once

#include "Pollenwindctl/AdminClient.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace Pollenwind::Ctl {

/// Number of hexadecimal digits of a digest that identify a key in output; same as in the output of the routers.
inline constexpr std::size_t keyIdDigits = 12;

/// Generates a key from 256 random bits.
std::string generateKey();

/// Returns whether a text can be a digest prefix: 8 to 64 lower-case hexadecimal digits.
bool isKeyId(std::string_view text);

/// Returns whether a response to the `keys` query lists a key in a state.
/// @param keyId First digits of the digest, at least 8.
bool isKeyInState(const Json& keys, std::string_view keyId, std::string_view state);

} // namespace Pollenwind::Ctl
