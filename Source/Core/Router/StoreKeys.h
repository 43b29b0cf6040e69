#pragma once

#include "Common/Digest.h"

#include <string>
#include <string_view>

/// Keys of the records in the platform's store.
namespace Pollenwind::StoreKeys {

/// Prefix that all routers watch. Keys that only one request needs lie outside, so that they wake no watcher.
inline constexpr std::string_view shared = "/pollenwind/shared/";
inline constexpr std::string_view configuration = "/pollenwind/shared/config";
inline constexpr std::string_view keys = "/pollenwind/shared/keys/";
inline constexpr std::string_view shares = "/pollenwind/shared/shares";
inline constexpr std::string_view moves = "/pollenwind/shared/moves/";
/// Held by the router that drives the moves.
inline constexpr std::string_view moveLease = "/pollenwind/lease/moves";
/// Evidence of each router on running moves: one record for each service and VM.
inline constexpr std::string_view evidence = "/pollenwind/evidence/";
/// Never written; reading it returns the store's revision at little cost.
inline constexpr std::string_view probe = "/pollenwind/probe";

inline std::string keyRecord(const Digest& digest) { return std::string(keys) + toHex(digest); }

} // namespace Pollenwind::StoreKeys
