#pragma once

#include "Common/Error.h"
#include "Store/StoreTypes.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

/// Encodes requests to the etcd v3 JSON gateway and decodes its responses. Byte strings are base64 and 64-bit numbers
/// are strings. The decoders return StoreUnavailable with RunState::Unknown for a malformed response.
namespace Pollenwind::EtcdCodec {

std::string encodeRange(std::string_view key, bool isPrefix);
std::string encodeSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, LeaseId lease);
std::string encodeErase(std::string_view key, std::int64_t expectedRevision);
std::string encodeWatch(std::string_view prefix, std::int64_t fromRevision);
std::string encodeLeaseGrant(std::chrono::seconds timeToLive);
std::string encodeLeaseId(LeaseId lease);
std::string encodeListedVm(const ListedVm& vm);

Outcome<StoreRange> decodeRange(std::string_view body);
Outcome<SwapResult> decodeSwap(std::string_view body);
Outcome<StoreEvents> decodeWatchLine(std::string_view line);
Outcome<LeaseId> decodeLeaseGrant(std::string_view body);
Outcome<std::chrono::seconds> decodeKeepAlive(std::string_view body);
Outcome<VmList> decodeVmList(std::string_view body);

/// Smallest key that is greater than every key with a prefix: the exclusive end of the prefix's range.
std::string prefixEnd(std::string prefix);

} // namespace Pollenwind::EtcdCodec
