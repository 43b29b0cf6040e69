#pragma once

#include "Common/Error.h"
#include "Placement/PlacementTypes.h"
#include "Transport/HttpTypes.h"
#include "Upstream/UpstreamTypes.h"

#include <string_view>

/// Encoding of docs/upstream-protocol.md.
namespace Pollenwind::UpstreamCodec {

HttpRequest encodeGeneration(const GenerationCall& call);
HttpRequest encodePlain(const PlainCall& call);

/// Decodes the data of one server-sent event.
/// @param data Text after "data: ".
/// @param call The call that the event must belong to.
/// @return The event; Mismatch if it belongs to another request, ProtocolError if malformed or of another version.
Outcome<GenerationEvent> decodeEvent(std::string_view data, const GenerationCall& call);

/// @return True if the request has only the headers of the protocol, none of which contains a caller's key.
bool carriesNoCredentials(const HttpRequest& request);

/// Decodes the data of one cache event.
Outcome<CacheEvent> decodeCacheEvent(std::string_view data);

Outcome<HealthReport> decodeHealth(std::string_view body);

} // namespace Pollenwind::UpstreamCodec
