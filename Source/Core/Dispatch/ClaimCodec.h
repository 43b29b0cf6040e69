#pragma once

#include "Dispatch/ClaimTypes.h"

#include <optional>
#include <string_view>

/// JSON encoding of claim records in the platform's store.
namespace Pollenwind::ClaimCodec {

/// Store key of a claim. It contains the organisation, so that no organisation can reach another one's records.
std::string keyOf(const OrganisationId& organisation, std::string_view idempotencyKey);

std::string encode(const ClaimRecord& record);

/// @return The record, or nothing if the text is malformed.
std::optional<ClaimRecord> decode(std::string_view text);

} // namespace Pollenwind::ClaimCodec
