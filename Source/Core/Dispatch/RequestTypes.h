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

/// Identity of a caller after authentication.
struct CallerIdentity {
    OrganisationId organisation;
    /// Digest of the caller's key; absent for an anonymous call on a public route.
    std::optional<Digest> keyDigest;
};

/// Generation request.
struct CompletionRequest {
    RequestId id;
    CallerIdentity caller;
    ServiceId service;
    /// Name of the caller's route; the results of a new version are evaluated per route.
    std::string route;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    int priority = 0;
    MonotonicTime deadline { 0 };
};

/// One generated token.
struct TokenChunk {
    /// Position in the response, from 0.
    std::uint32_t index = 0;
    std::string text;
};

/// Summary of a completed generation request.
struct CompletionSummary {
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    /// Prompt tokens that were in the engine's prefix cache.
    std::uint32_t cachedTokens = 0;
    VersionId version;
};

/// Call to a plain service.
struct PlainRequest {
    RequestId id;
    CallerIdentity caller;
    ServiceId service;
    CallKind kind = CallKind::NonIdempotent;
    /// Tokens that the call takes from the organisation's rate limit; 0 for an unmetered call.
    std::uint32_t costTokens = 0;
    std::string method;
    std::string target;
    std::string contentType;
    std::string idempotencyKey;
    std::string body;
    MonotonicTime deadline { 0 };
};

} // namespace Pollenwind
