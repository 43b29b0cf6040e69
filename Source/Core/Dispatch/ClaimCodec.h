#pragma once

#include "Dispatch/ClaimTypes.h"

#include <optional>
#include <string_view>

/// Text form of claims in the platform's store.
namespace Pollenwind::ClaimCodec {

/// Key of a claim. It holds the organisation, so that no organisation can reach another one's records.
std::string keyOf(const OrganisationId& organisation, std::string_view idempotencyKey);

std::string encode(const ClaimRecord& record);

/// @return The record, or nothing for damaged text.
std::optional<ClaimRecord> decode(std::string_view text);

} // namespace Pollenwind::ClaimCodec
