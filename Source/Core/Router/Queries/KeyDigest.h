#pragma once

#include "Common/Error.h"
#include "Keys/Queries/KeyQueries.h"

#include <string>
#include <string_view>

namespace Pollenwind {

/// Finds a key's digest by its first digits.
/// @param digits 8 to 64 lower-case hexadecimal digits; a digest of all 64 need not be known here.
/// @return All 64 digits, or an error: Malformed, NotFound, or Conflict when several keys begin so.
Outcome<std::string> resolveKeyDigest(const KeyQueries& keys, std::string_view digits);

} // namespace Pollenwind
