#pragma once

#include "Dispatch/ClaimTypes.h"

#include <cstddef>
#include <optional>

namespace Pollenwind {

/// Largest body of an answer that a claim keeps, in bytes.
inline constexpr std::size_t maxStoredBodyBytes = 64UL * 1024;

/// Judges a claim's record that another attempt created.
/// @param record The record found.
/// @param call Digest of the call that is asked for now.
/// @param now Wall time of this process.
ClaimResult evaluateClaim(const ClaimRecord& record, const Digest& call, WallTime now);

/// Record of a finished call.
/// @param answer The answer, or nothing when the outcome is unknown.
ClaimRecord finishedRecord(ClaimRecord record, std::optional<PlainAnswer> answer);

} // namespace Pollenwind
