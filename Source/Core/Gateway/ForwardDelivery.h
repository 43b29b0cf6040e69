#pragma once

#include "Common/MemoryBudget.h"
#include "Gateway/Commands/RunnerClient.h"
#include "Gateway/ForwardAdmission.h"
#include "Gateway/ForwardDispatcher.h"
#include "Gateway/Queries/RunnerPolicy.h"

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Pollenwind {

/// State of one attempt of a request.
struct AttemptState {
    RunnerChoice runner;
    /// Salt of the attempt's cache entries, without the weights.
    std::string cacheSalt;
    /// How far the attempt got.
    AttemptPhase phase = AttemptPhase::NotSent;
    /// The attempt was ended because it would have begun on old weights too late.
    bool isTakenBack = false;
    /// The attempt is a trial after a back-off of its runner, whose result is not known yet.
    bool isRunnerTrial = false;
    /// The attempt was not sent because its runner became unavailable.
    bool isDiverted = false;
    /// Version of the software of the runner.
    std::optional<VersionId> lastVersion;
    /// The attempt as evidence on that version.
    RolloutAttemptId rolloutAttempt;
    MonotonicTime chosenAt { 0 };
    /// When the request was sent to the runner.
    MonotonicTime sentAt { 0 };
    /// When a copy of the request is sent if its response has not begun; nothing if there is to be none.
    std::optional<MonotonicTime> hedgeAt;
    /// Status of the attempt's response; 0 before its head.
    int status = 0;
    /// When the attempt's last events were sent to the caller.
    MonotonicTime lastOutputAt { 0 };
    /// Time spent waiting for the runner after its first event, without the time in which the caller reads.
    std::chrono::nanoseconds answeringTime { 0 };
    /// The answer shows that the prompt does not crash the runner.
    bool isAnswerProven = false;
};

/// An attempt at a silent runner, which goes on until another runner has accepted the request.
struct SilentAttempt {
    RunnerExchange& exchange;
    AttemptState state;
};

/// State of one request over all its attempts, and of the current or last one.
struct ForwardDispatcher::Delivery : AdmittedRequest, AttemptState {
    /// A runner's error response.
    struct Failure {
        ReplyHead head;
        std::string body;
        MemoryBudget::Share held;
    };

    explicit Delivery(AdmittedRequest admitted)
        : AdmittedRequest(std::move(admitted))
    {
    }

    MonotonicTime receivedAt { 0 };
    MonotonicTime deadline { 0 };
    /// Urgency under which the request's work is counted.
    RouteUrgency urgency = RouteUrgency::Urgent;
    /// Parts of the prompt that other requests may share.
    std::vector<PartId> parts;
    /// Runners that the request lost before its answer was proven.
    unsigned losses = 0;
    /// A part had been lost in an earlier crash when the request lost a runner.
    bool wasSuspected = false;
    /// The request tests a quarantined part, so it is sent once.
    bool isTrial = false;

    /// Runners to which the request was sent.
    std::set<UpstreamId> tried;
    /// Attempts that a runner may have run.
    unsigned runs = 0;
    unsigned refusals = 0;
    /// Attempts in total.
    unsigned sends = 0;
    /// The head of a streamed response was sent to the caller.
    bool isBegun = false;
    /// The request was copied to a second runner.
    bool isHedged = false;
    /// The time to the begin of the response was recorded.
    bool isBeginRecorded = false;
    /// Attempt that the current one is to replace.
    SilentAttempt* silent = nullptr;
    /// The result of the last attempt is that of the one which replaced it, and has been recorded.
    bool isReplaced = false;
    RunState runState = RunState::NotRun;
    /// Id of the last event that was sent to the caller.
    std::optional<std::uint64_t> lastEventId;
    /// A runner's error response, which the caller gets if no other attempt succeeds or begins a stream.
    std::optional<Failure> failure;
};

} // namespace Pollenwind
