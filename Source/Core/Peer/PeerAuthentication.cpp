#include "Peer/PeerAuthentication.h"

#include "Common/Digest.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // Short nonces could repeat, and a recorded proof would then be valid again.
    constexpr std::size_t minNonceBytes = 16;

    /// Joins the fields with their lengths, so that different lists of fields never give the same text.
    std::string joinFields(std::initializer_list<std::string_view> fields)
    {
        std::string text;
        for (const auto field : fields) {
            text += std::to_string(field.size());
            text += ':';
            text += field;
        }
        return text;
    }

} // namespace

std::string makeProof(std::string_view secret, LinkSide side, const PeerHello& hello, std::string_view otherNonce)
{
    const auto& it = hello.identity;
    const auto digest = hmacSha256(secret,
        joinFields({ nameOf(side), otherNonce, hello.nonce, std::to_string(hello.minVersion),
            std::to_string(hello.maxVersion), it.vm.value(), it.zone.value(), std::to_string(it.incarnation.value()),
            std::to_string(it.startedAtMicroseconds), it.peers.toString(), it.admin.toString() }));
    return { digest.begin(), digest.end() };
}

bool isProofValid(std::string_view secret, LinkSide side, const PeerHello& hello, std::string_view otherNonce)
{
    const auto expected = makeProof(secret, side, hello, otherNonce);
    if (hello.proof.size() != expected.size() || hello.nonce.size() < minNonceBytes) {
        return false;
    }
    Digest a {};
    Digest b {};
    std::ranges::copy(expected, a.begin());
    std::ranges::copy(hello.proof, b.begin());
    return equalConstantTime(a, b);
}

std::optional<std::uint16_t> negotiateVersion(const PeerHello& a, const PeerHello& b)
{
    const auto version = std::min(a.maxVersion, b.maxVersion);
    return version >= std::max(a.minVersion, b.minVersion) ? std::optional(version) : std::nullopt;
}

} // namespace Pollenwind
