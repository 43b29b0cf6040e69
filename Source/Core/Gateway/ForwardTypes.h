#pragma once

#include "Common/Clock.h"
#include "Common/Digest.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Gateway/RunnerTypes.h"
#include "Transport/HttpTypes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Pollenwind {

/// One part of a prompt; requests that begin with the same parts share their cache entries.
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Size of a generation as its caller declares it.
struct TokenCount {
    std::uint32_t prompt = 0;
    std::uint32_t largestOutput = 0;
};

/// A request that is passed on unchanged, with what its headers say of it.
struct ForwardRequest {
    RequestId id;
    /// Method, target, end-to-end headers and body. The caller's key and headers that the router sets are removed.
    HttpRequest message;
    std::string host;
    std::optional<Digest> keyDigest;
    /// How long the caller waits, from the arrival of the request.
    std::optional<std::chrono::milliseconds> timeout;
    std::string model;
    std::optional<TokenCount> tokens;
    /// Parts of the prompt from its start; the last one belongs to the request or its session alone.
    std::vector<PromptPart> parts;
    /// Id of the last stream event that the caller has, when it resumes a stream.
    std::optional<std::uint64_t> lastEventId;
};

/// What the router adds to a request for one attempt at a runner.
struct AttemptTerms {
    UpstreamId runner;
    std::optional<OrganisationId> organisation;
    std::chrono::milliseconds timeout { 0 };
    /// Rank from 0, the most urgent, to 9.
    unsigned urgency = 5;
    /// Separates the cache entries of isolated organisations and of different weights; empty for services without a
    /// cache.
    std::string cacheSalt;
    /// Weights that the runner must have; 0 for any.
    WeightsVersion expectedWeights = 0;
    /// Runner or store from which shared parts of the prompt are copied.
    std::optional<Endpoint> cacheSource;
    /// Store to which the runner copies the parts that it reads.
    std::optional<Endpoint> cacheStore;
    std::optional<std::uint64_t> lastEventId;
};

/// What the head of a runner's answer says.
enum class ReplyKind {
    /// The runner's own answer, good or bad.
    Answer,
    /// The runner states that it did not run the request.
    NotRun,
    /// Another runner has the address, or the runner has other weights; it did not run the request.
    Misdirected,
    /// Belongs to another request.
    Stray,
    /// Not an answer that the protocol allows.
    Malformed,
};

template <> struct EnumTable<ReplyKind> {
    static constexpr std::array rows {
        EnumName { ReplyKind::Answer, "answer" },
        EnumName { ReplyKind::NotRun, "not-run" },
        EnumName { ReplyKind::Misdirected, "misdirected" },
        EnumName { ReplyKind::Stray, "stray" },
        EnumName { ReplyKind::Malformed, "malformed" },
    };
};

/// Head of a runner's answer.
struct ReplyHead {
    ReplyKind kind = ReplyKind::Malformed;
    int status = 0;
    /// End-to-end headers to pass on.
    HttpHeaders headers;
    bool isEventStream = false;
    /// Runner that says it answered, where the answer tells.
    std::optional<UpstreamId> answeredBy;

    bool isSuccess() const { return status >= 200 && status < 300; }
};

} // namespace Pollenwind
