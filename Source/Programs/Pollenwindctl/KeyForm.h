#pragma once

#include "Pollenwindctl/AdminClient.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace Pollenwind::Ctl {

/// Digits of a digest that name a key in output; the routers show as many.
inline constexpr std::size_t keyIdDigits = 12;

/// Makes a key from 256 random bits.
std::string generateKey();

/// Tells whether a text is the start of a digest: 8 to 64 lower-case hexadecimal digits.
bool isKeyId(std::string_view text);

/// Tells whether a `keys` answer shows a key in a state.
/// @param keyId Digits of the digest, at least 8.
bool isKeyInState(const Json& keys, std::string_view keyId, std::string_view state);

} // namespace Pollenwind::Ctl
