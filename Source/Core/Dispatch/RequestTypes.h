#pragma once

#include "Common/Clock.h"
#include "Common/Digest.h"
#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Config/ServiceDocument.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Pollenwind {

/// Who sent a request, as far as the router needs to know after the key check.
struct CallerIdentity {
    OrganisationId organisation;
    /// Digest of the caller's key; absent on a public route.
    std::optional<Digest> keyDigest;
};

/// Request for generated tokens.
struct CompletionRequest {
    RequestId id;
    CallerIdentity caller;
    ServiceId service;
    /// Name of the caller's route; versions are judged for each route.
    std::string route;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    int priority = 0;
    MonotonicTime deadline { 0 };
};

/// Tokens on their way to the caller.
struct TokenChunk {
    std::uint32_t index = 0;
    std::string text;
};

/// Facts about a completed request.
struct CompletionSummary {
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    std::uint32_t cachedTokens = 0;
    VersionId version;
};

/// Call to a plain service.
struct PlainRequest {
    RequestId id;
    CallerIdentity caller;
    ServiceId service;
    CallKind kind = CallKind::NonIdempotent;
    std::uint32_t costTokens = 0;
    std::string method;
    std::string target;
    std::string contentType;
    std::string idempotencyKey;
    std::string body;
    MonotonicTime deadline { 0 };
};

} // namespace Pollenwind
