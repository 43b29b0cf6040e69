#pragma once

#include "Common/Clock.h"
#include "Common/Digest.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Gateway/RunnerTypes.h"
#include "Transport/HttpTypes.h"

#include <array>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Pollenwind {

/// One part of a prompt. Requests whose prompts begin with the same parts share their cache entries.
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Id of a part as callers write it: in hexadecimal.
inline std::string partName(std::uint64_t id)
{
    std::array<char, 16> text {};
    const auto result = std::to_chars(text.begin(), text.end(), id, 16);
    return { text.begin(), result.ptr };
}

/// Size of a generation in tokens, as its caller declares it.
struct TokenCount {
    std::uint32_t prompt = 0;
    std::uint32_t maxOutput = 0;
};

/// A request that is forwarded unchanged, with the values read from its headers.
struct ForwardRequest {
    RequestId id;
    /// Method, target, end-to-end headers and body. The caller's key and headers that the router sets are removed.
    HttpRequest message;
    std::string host;
    std::optional<Digest> keyDigest;
    /// How long the caller waits for the response, from the arrival of the request.
    std::optional<std::chrono::milliseconds> timeout;
    std::string model;
    std::optional<TokenCount> tokens;
    /// Parts of the prompt from its start. The last one belongs to the request or its session alone.
    std::vector<PromptPart> parts;
    /// Id of the last stream event that the caller received, if it resumes a stream.
    std::optional<std::uint64_t> lastEventId;
};

/// Values that the router adds to a request for one attempt at a runner.
struct AttemptTerms {
    UpstreamId runner;
    std::optional<OrganisationId> organisation;
    std::chrono::milliseconds timeout { 0 };
    /// From 0, the most urgent, to 9.
    unsigned urgency = 5;
    /// Separates the cache entries of isolated organisations and of different weights; empty for services without a
    /// cache.
    std::string cacheSalt;
    /// Weights that the runner must have, else it refuses the request; 0 for any.
    WeightsVersion expectedWeights = 0;
    /// Runner or store from which the runner copies shared parts of the prompt.
    std::optional<Endpoint> cacheSource;
    /// Store to which the runner saves the parts that it processes.
    std::optional<Endpoint> cacheStore;
    /// Id of the event after which the runner resumes the stream.
    std::optional<std::uint64_t> lastEventId;
};

/// How far an attempt at a runner got.
enum class AttemptPhase {
    /// No connection was made, so the runner has not received the request.
    NotSent,
    /// The request was sent; no response has arrived.
    Sent,
    /// The head of the response has arrived, but no complete event and no complete body.
    HeadReceived,
    /// A complete event or the complete body has arrived.
    Answering,
};

template <> struct EnumTable<AttemptPhase> {
    static constexpr std::array rows {
        EnumName { AttemptPhase::NotSent, "not-sent" },
        EnumName { AttemptPhase::Sent, "sent" },
        EnumName { AttemptPhase::HeadReceived, "head-received" },
        EnumName { AttemptPhase::Answering, "answering" },
    };
};

/// Kind of a runner's response, as its head shows it.
enum class ReplyKind {
    /// The response of the runner to the request, with any status.
    Answer,
    /// The runner states that it did not run the request.
    NotRun,
    /// Another process has the address, or the runner has other weights. The request did not run.
    Misdirected,
    /// A response to another request.
    Stray,
    /// Violates the protocol.
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

/// What shows who sent a response and for which request.
struct ReplyOrigin {
    /// The response names the request.
    bool namesRequest = false;
    /// The response has the proof that runners add.
    bool isStamped = false;
    /// Nothing was sent or received on the connection before.
    bool isFirstOnConnection = false;
};

/// Head of a runner's response.
struct ReplyHead {
    ReplyKind kind = ReplyKind::Malformed;
    int status = 0;
    /// End-to-end headers to forward to the caller.
    HttpHeaders headers;
    bool isEventStream = false;
    /// Runner that names itself as the sender of the response, if any.
    std::optional<UpstreamId> answeredBy;
    ReplyOrigin origin;
    /// The sender shuts down and wants no further requests.
    bool isLeaving = false;
    /// Time for which the sender of a refusal wants no further requests, if it names one.
    std::optional<std::chrono::milliseconds> unwantedFor;
    /// The time is there but cannot be read.
    bool isUnwantedTimeInvalid = false;

    bool isSuccess() const { return status >= 200 && status < 300; }

    /// Whether the response shows the state of a runner. A late copy of the response to another request, or the
    /// response of another process at the address, must not take a sound runner out of use.
    /// @param runner Runner to which the request was sent.
    bool showsStateOf(const UpstreamId& runner) const
    {
        if (answeredBy && *answeredBy != runner) {
            return false;
        }
        switch (kind) {
        case ReplyKind::Answer:
            // It is passed on to the caller, so the router has to act on it as well.
            return true;
        case ReplyKind::NotRun:
            return origin.namesRequest || origin.isFirstOnConnection;
        case ReplyKind::Misdirected:
            // Without a name it may be from another process at the address.
            return answeredBy.has_value();
        case ReplyKind::Malformed:
            return origin.isStamped && (origin.namesRequest || origin.isFirstOnConnection);
        case ReplyKind::Stray:
            break;
        }
        return false;
    }
};

} // namespace Pollenwind
