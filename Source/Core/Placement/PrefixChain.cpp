#include "Placement/PrefixChain.h"

#include "Common/Digest.h"

#include <xxhash.h>

#include <string>

namespace Pollenwind {

std::uint32_t estimateTokens(std::string_view text)
{
    return static_cast<std::uint32_t>((text.size() + bytesPerToken - 1) / bytesPerToken);
}

std::string cacheSaltFor(const OrganisationId& organisation)
{
    return toHex(sha256("pollenwind cache salt " + organisation.value())).substr(0, 32);
}

ChainHash chainSalt(std::string_view cacheSalt, const ServiceId& service, const VersionId& version)
{
    // Names cannot contain the separating zero bytes.
    std::string text(cacheSalt);
    text += '\0';
    text += service.value();
    text += '\0';
    text += version.value();
    return XXH3_64bits(text.data(), text.size());
}

ChainHash chainSalt(const OrganisationId& organisation, const ServiceId& service, const VersionId& version)
{
    return chainSalt(cacheSaltFor(organisation), service, version);
}

PrefixChain makePrefixChain(ChainHash salt, std::string_view prompt, std::uint32_t blockTokens)
{
    PrefixChain chain;
    chain.blockTokens = blockTokens;
    chain.promptTokens = estimateTokens(prompt);
    const std::size_t blockBytes = static_cast<std::size_t>(blockTokens) * bytesPerToken;
    chain.hashes.reserve(prompt.size() / blockBytes);
    ChainHash parent = salt;
    for (std::size_t start = 0; start + blockBytes <= prompt.size(); start += blockBytes) {
        parent = XXH3_64bits_withSeed(prompt.data() + start, blockBytes, parent);
        chain.hashes.push_back(parent);
    }
    return chain;
}

} // namespace Pollenwind
