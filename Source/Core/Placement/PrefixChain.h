#pragma once

#include "Common/Ids.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Pollenwind {

/// Hash of a piece of a prompt and of everything before it.
using ChainHash = std::uint64_t;

/// Average bytes of text in one token. Engines count tokens exactly; the router estimates.
inline constexpr std::size_t bytesPerToken = 4;

/// Estimated number of tokens of a text.
std::uint32_t estimateTokens(std::string_view text);

/// Chain of hashes of a prompt's whole pieces.
struct PrefixChain {
    /// One hash for each whole piece, from the start of the prompt.
    std::vector<ChainHash> hashes;
    std::uint32_t blockTokens = 0;
    std::uint32_t promptTokens = 0;
};

/// Salt of a chain. Entries of another organisation, model or weights version have another salt and cannot match.
ChainHash chainSalt(const OrganisationId& organisation, const ServiceId& service, const VersionId& version);

/// Same salt from the cache salt that an engine receives in place of the organisation's id.
ChainHash chainSalt(std::string_view cacheSalt, const ServiceId& service, const VersionId& version);

/// Text that an engine receives in place of the organisation's id, to keep organisations' cache blocks apart.
std::string cacheSaltFor(const OrganisationId& organisation);

/// Cuts a prompt into pieces and hashes them as a chain.
/// @param salt Result of chainSalt().
/// @param prompt The whole prompt.
/// @param blockTokens Tokens in one piece.
PrefixChain makePrefixChain(ChainHash salt, std::string_view prompt, std::uint32_t blockTokens);

} // namespace Pollenwind
