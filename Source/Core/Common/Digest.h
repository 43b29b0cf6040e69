#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Pollenwind {

/// SHA-256 digest.
using Digest = std::array<std::uint8_t, 32>;

/// Computes the SHA-256 digest of a text.
Digest sha256(std::string_view text);

/// Computes HMAC-SHA256.
/// @param secret The shared secret.
/// @param message The authenticated bytes.
Digest hmacSha256(std::string_view secret, std::string_view message);

/// Compares two digests in constant time.
bool equalConstantTime(const Digest& a, const Digest& b);

/// Lower-case hexadecimal form of a digest.
std::string toHex(const Digest& digest);

/// Parses the hexadecimal form of a digest.
/// @return The digest, or nothing when the text is not 64 hexadecimal digits.
std::optional<Digest> digestFromHex(std::string_view text);

/// 64 random bits from the operating system's generator.
std::uint64_t randomBits();

/// Random identifier: 128 random bits in hexadecimal.
std::string randomToken();

/// Base64 encoding (RFC 4648, with padding).
std::string base64Encode(std::string_view bytes);

/// Decodes base64.
/// @return The bytes, or nothing for malformed text.
std::optional<std::string> base64Decode(std::string_view text);

} // namespace Pollenwind
