#pragma once

#include "Dispatch/ClaimTypes.h"

#include <cstddef>
#include <optional>

namespace Pollenwind {

/// Largest response body that is stored with a claim, in bytes.
inline constexpr std::size_t maxStoredBodyBytes = 64UL * 1024;

/// Evaluates a claim record that another attempt created.
/// @param record The stored record.
/// @param call Digest of the call that is requested now.
/// @param now Wall time of this process.
ClaimResult evaluateClaim(const ClaimRecord& record, const Digest& call, WallTime now);

/// Returns the record of a finished call.
/// @param answer The response, or nothing if the outcome is unknown.
ClaimRecord finishedRecord(ClaimRecord record, std::optional<PlainAnswer> answer);

} // namespace Pollenwind
