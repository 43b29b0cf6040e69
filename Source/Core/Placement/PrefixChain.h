#pragma once

#include "Common/Ids.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Pollenwind {

/// Hash of a block of a prompt and of everything before it.
using ChainHash = std::uint64_t;

/// Average bytes of text in one token. Engines count tokens exactly; the router estimates.
inline constexpr std::size_t bytesPerToken = 4;

/// Estimated number of tokens of a text.
std::uint32_t estimateTokens(std::string_view text);

/// Hash chain of the complete blocks of a prompt.
struct PrefixChain {
    /// One hash for each complete block, from the start of the prompt.
    std::vector<ChainHash> hashes;
    std::uint32_t blockTokens = 0;
    std::uint32_t promptTokens = 0;
};

/// Salt of a chain. Chains of different organisations, models or weights versions have different salts and never match.
ChainHash chainSalt(const OrganisationId& organisation, const ServiceId& service, const VersionId& version);

/// Same salt, computed from the cache salt that an engine receives instead of the organisation's id.
ChainHash chainSalt(std::string_view cacheSalt, const ServiceId& service, const VersionId& version);

/// Cache salt that an engine receives instead of the organisation's id, to separate the cache blocks of organisations.
std::string cacheSaltFor(const OrganisationId& organisation);

/// Splits a prompt into blocks and hashes them as a chain.
/// @param salt Result of chainSalt().
/// @param prompt The whole prompt.
/// @param blockTokens Tokens per block, by estimateTokens().
PrefixChain makePrefixChain(ChainHash salt, std::string_view prompt, std::uint32_t blockTokens);

} // namespace Pollenwind
