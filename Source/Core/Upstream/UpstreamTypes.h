#pragma once

#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Transport/Endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Pollenwind {

/// State that an upstream reports; Unreachable is set by the router.
enum class UpstreamState {
    Ready,
    Loading,
    Leaving,
    Unreachable,
};

template <> struct EnumTable<UpstreamState> {
    static constexpr std::array rows {
        EnumName { UpstreamState::Ready, "ready" },
        EnumName { UpstreamState::Loading, "loading" },
        EnumName { UpstreamState::Leaving, "leaving" },
        EnumName { UpstreamState::Unreachable, "unreachable" },
    };
};

/// Response of an upstream to a health query.
struct HealthReport {
    UpstreamState state = UpstreamState::Unreachable;
    Incarnation incarnation;
    std::vector<VersionId> versions;
    std::uint32_t running = 0;
    double queuedTokens = 0;
};

/// One generation call to an engine.
struct GenerationCall {
    RequestId request;
    ServiceId service;
    VersionId version;
    OrganisationId organisation;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    int priority = 0;
    /// Number of tokens already delivered to the caller; above 0 for a resumed stream.
    std::uint32_t resumeFrom = 0;
    /// Text of the tokens already delivered.
    std::string resumeText;
};

/// Identifies an open stream of generated tokens.
using StreamId = Id<struct StreamTag, std::uint64_t>;

/// Kind of a stream's event.
enum class GenerationEventKind {
    Token,
    Finished,
};

template <> struct EnumTable<GenerationEventKind> {
    static constexpr std::array rows {
        EnumName { GenerationEventKind::Token, "token" },
        EnumName { GenerationEventKind::Finished, "finished" },
    };
};

/// One event of a stream of generated tokens.
struct GenerationEvent {
    GenerationEventKind kind = GenerationEventKind::Token;
    std::uint32_t index = 0;
    std::string text;
    std::string finishReason;
    /// Counts of a Finished event; engines may omit them.
    std::uint32_t promptTokens = 0;
    std::optional<std::uint32_t> completionTokens;
    std::uint32_t cachedTokens = 0;
};

/// One call to a plain service.
struct PlainCall {
    RequestId request;
    OrganisationId organisation;
    std::string method;
    std::string target;
    std::string contentType;
    std::string idempotencyKey;
    std::string body;
    /// True if the call must not run twice. It is sent over a new connection, because after a failure on a pooled one
    /// it is unknown whether the upstream received the call.
    bool needsFreshConnection = false;
};

/// Response of a plain service.
struct PlainAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
};

} // namespace Pollenwind
