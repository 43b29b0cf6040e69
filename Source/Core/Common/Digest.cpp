#include "Common/Digest.h"

#include "Common/Invariant.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace Pollenwind {

namespace {

    constexpr std::string_view hexDigits = "0123456789abcdef";

    std::string hexOf(const std::uint8_t* bytes, std::size_t size)
    {
        std::string text;
        text.reserve(size * 2);
        for (std::size_t i = 0; i < size; ++i) {
            text += hexDigits[bytes[i] >> 4U];
            text += hexDigits[bytes[i] & 15U];
        }
        return text;
    }

} // namespace

Digest sha256(std::string_view text)
{
    Digest digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return digest;
}

Digest hmacSha256(std::string_view secret, std::string_view message)
{
    Digest digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
        reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest.data(), &size);
    return digest;
}

bool equalConstantTime(const Digest& a, const Digest& b) { return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0; }

std::string toHex(const Digest& digest) { return hexOf(digest.data(), digest.size()); }

std::optional<Digest> digestFromHex(std::string_view text)
{
    Digest digest {};
    if (text.size() != digest.size() * 2) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < digest.size(); ++i) {
        const auto high = hexDigits.find(text[2 * i]);
        const auto low = hexDigits.find(text[2 * i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        digest[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return digest;
}

std::uint64_t randomBits()
{
    std::uint64_t bits = 0;
    const int ok = RAND_bytes(reinterpret_cast<unsigned char*>(&bits), sizeof bits);
    checkInvariant(ok == 1, "operating system provides random bytes");
    return bits;
}

std::string randomToken()
{
    std::array<std::uint8_t, 16> bytes {};
    const int ok = RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    checkInvariant(ok == 1, "operating system provides random bytes");
    return hexOf(bytes.data(), bytes.size());
}

std::string base64Encode(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::optional<std::string> base64Decode(std::string_view text)
{
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (n < 0) {
        return std::nullopt;
    }
    auto size = static_cast<std::size_t>(n);
    if (text.ends_with("==")) {
        size -= 2;
    } else if (text.ends_with('=')) {
        size -= 1;
    }
    bytes.resize(size);
    return bytes;
}

} // namespace Pollenwind
