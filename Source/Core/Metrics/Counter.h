#pragma once

#include "Common/EnumTable.h"

namespace Pollenwind {

/// Counters of a process. The names appear in the Prometheus text format with the prefix "pollenwind_".
enum class Counter {
    Requests,
    RequestsCompleted,
    /// Requests that ended with an error and were not executed.
    RequestsRefused,
    /// Requests that ended with an error after they may have been executed.
    RequestsFailed,
    TokensDelivered,
    PromptTokens,
    CachedPromptTokens,
    RateRefusals,
    /// Requests that waited for the tokens of their organisation.
    QuotaWaits,
    KeyRefusals,
    KeyUnconfirmedRefusals,
    UpstreamAttempts,
    UpstreamFailures,
    Retries,
    RetryBudgetExhausted,
    /// Copies of requests that were sent to a second runner.
    HedgesSent,
    /// Copies whose response was the first.
    HedgesWon,
    /// Copies that were cancelled, refused or failed.
    HedgesLost,
    /// Slow requests that were not copied, by reason.
    HedgesSuppressedAttempts,
    HedgesSuppressedQuarantine,
    HedgesSuppressedRunners,
    HedgesSuppressedLoad,
    HedgesSuppressedRejections,
    HedgesSuppressedShare,
    HedgesSuppressedBudget,
    /// Requests that were not sent to the chosen runner because it became unavailable before its connection was made.
    RequestsDiverted,
    /// Refusals of runners that named a time for which they want no requests.
    BackOffs,
    /// Requests that were sent as a trial after such a time.
    BackOffTrials,
    /// Refusals of runners with a time that cannot be read.
    InvalidBackOffs,
    /// Requests that were refused because all runners are cold and this VM had used its share of their rate.
    ColdRunnerRefusals,
    /// Further attempts that continue a stream after its upstream failed.
    Resumes,
    /// Attempts that were ended since they would have begun on old weights too late.
    OldWeightsRecalls,
    /// Responses that belonged to another request.
    AnswerMismatches,
    StreamsCut,
    CallerDisconnects,
    /// Reads from callers after a time limit or a stop, of bytes that had arrived before the process reacted to it.
    CallerLateReads,
    /// Connections of callers that were closed after the time limit for the next request.
    CallerIdleCloses,
    /// Requests of callers of which a part had arrived when their time limit passed.
    CallerRequestTimeouts,
    /// Requests of callers whose connection ended in the middle of the request.
    CallerRequestsCutOff,
    /// Requests of callers that were being read when the server stopped.
    CallerRequestsStopped,
    /// Connections of callers beyond the limit of their number.
    CallerConnectionsRejected,
    /// Requests of callers that were handled without a complete response.
    CallerRequestsUnanswered,
    /// Requests that arrived when their idle connection had been closed.
    CallerRequestsCrossed,
    /// Exceptions that left a task or a handler.
    TaskFaults,
    /// Requests that were still running when the shutdown limit ended.
    ShutdownCuts,
    ClaimsCreated,
    /// Repeated idempotent requests that were served from the stored outcome.
    ClaimsReplayed,
    StoreCalls,
    StoreFailures,
    /// Reads of all records whose result was older than the local records.
    StoreReadsRejected,
    /// Times at which the store was found restored from an older copy.
    StoreRestores,
    StaleConfigurations,
    PeerBytesSent,
    PeerBytesReceived,
    PeerBadFrames,
    PeerAuthFailures,
    GrantsGiven,
    GrantsReceived,
    BreakerOpenings,
    /// Requests that were rejected because the admission queue was full or no engine had capacity in time.
    QueueShed,
    /// Those of them that were rejected because their organisation was above its fair share.
    FairShareRejections,
    /// Crashes of runners in which requests of this VM without output were lost.
    RunnerCrashesSeen,
    PartsQuarantined,
    PartsLifted,
    /// Requests that were refused because a part of their prompt crashes runners.
    QuarantineRefusals,
    /// Requests that were let through to test a quarantined part.
    QuarantineTrials,
    /// Records of the organisations in heavy use that this VM wrote.
    QuotaRecordsWritten,
    /// Writes of that record without an effect, or without an answer.
    QuotaRecordWritesFailed,
    /// Organisations that started without a debt and then took more than their rate allows.
    QuotaProbationsFailed,
    /// Requests to services with a roll-out that went to runners of the version in use before.
    RolloutCurrentRequests,
    RolloutCurrentFailures,
    /// Requests that went to runners of a roll-out's target version before its verdict.
    RolloutTargetRequests,
    RolloutTargetFailures,
    /// Refusals of memory for bytes of other processes, by use.
    MemoryRefusalsRequest,
    MemoryRefusalsUnparsedResponse,
    MemoryRefusalsRunnerResponse,
    MemoryRefusalsRunnerStream,
    MemoryRefusalsRunnerReport,
    MemoryRefusalsStoreResponse,
    MemoryRefusalsPeerFeed,
    MemoryRefusalsOperatorResponse,
};

template <> struct EnumTable<Counter> {
    static constexpr std::array rows {
        EnumName { Counter::Requests, "requests_total" },
        EnumName { Counter::RequestsCompleted, "requests_completed_total" },
        EnumName { Counter::RequestsRefused, "requests_refused_total" },
        EnumName { Counter::RequestsFailed, "requests_failed_total" },
        EnumName { Counter::TokensDelivered, "tokens_delivered_total" },
        EnumName { Counter::PromptTokens, "prompt_tokens_total" },
        EnumName { Counter::CachedPromptTokens, "cached_prompt_tokens_total" },
        EnumName { Counter::RateRefusals, "rate_refusals_total" },
        EnumName { Counter::QuotaWaits, "quota_waits_total" },
        EnumName { Counter::KeyRefusals, "key_refusals_total" },
        EnumName { Counter::KeyUnconfirmedRefusals, "key_unconfirmed_refusals_total" },
        EnumName { Counter::UpstreamAttempts, "upstream_attempts_total" },
        EnumName { Counter::UpstreamFailures, "upstream_failures_total" },
        EnumName { Counter::Retries, "retries_total" },
        EnumName { Counter::RetryBudgetExhausted, "retry_budget_exhausted_total" },
        EnumName { Counter::HedgesSent, "hedges_sent_total" },
        EnumName { Counter::HedgesWon, "hedges_won_total" },
        EnumName { Counter::HedgesLost, "hedges_lost_total" },
        EnumName { Counter::HedgesSuppressedAttempts, "hedges_suppressed_attempts_total" },
        EnumName { Counter::HedgesSuppressedQuarantine, "hedges_suppressed_quarantine_total" },
        EnumName { Counter::HedgesSuppressedRunners, "hedges_suppressed_runners_total" },
        EnumName { Counter::HedgesSuppressedLoad, "hedges_suppressed_load_total" },
        EnumName { Counter::HedgesSuppressedRejections, "hedges_suppressed_rejections_total" },
        EnumName { Counter::HedgesSuppressedShare, "hedges_suppressed_share_total" },
        EnumName { Counter::HedgesSuppressedBudget, "hedges_suppressed_budget_total" },
        EnumName { Counter::RequestsDiverted, "requests_diverted_total" },
        EnumName { Counter::BackOffs, "back_offs_total" },
        EnumName { Counter::BackOffTrials, "back_off_trials_total" },
        EnumName { Counter::InvalidBackOffs, "invalid_back_offs_total" },
        EnumName { Counter::ColdRunnerRefusals, "cold_runner_refusals_total" },
        EnumName { Counter::Resumes, "resumes_total" },
        EnumName { Counter::OldWeightsRecalls, "old_weights_recalls_total" },
        EnumName { Counter::AnswerMismatches, "answer_mismatches_total" },
        EnumName { Counter::StreamsCut, "streams_cut_total" },
        EnumName { Counter::CallerDisconnects, "caller_disconnects_total" },
        EnumName { Counter::CallerLateReads, "caller_late_reads_total" },
        EnumName { Counter::CallerIdleCloses, "caller_idle_closes_total" },
        EnumName { Counter::CallerRequestTimeouts, "caller_request_timeouts_total" },
        EnumName { Counter::CallerRequestsCutOff, "caller_requests_cut_off_total" },
        EnumName { Counter::CallerRequestsStopped, "caller_requests_stopped_total" },
        EnumName { Counter::CallerConnectionsRejected, "caller_connections_rejected_total" },
        EnumName { Counter::CallerRequestsUnanswered, "caller_requests_unanswered_total" },
        EnumName { Counter::CallerRequestsCrossed, "caller_requests_crossed_total" },
        EnumName { Counter::TaskFaults, "task_faults_total" },
        EnumName { Counter::ShutdownCuts, "shutdown_cuts_total" },
        EnumName { Counter::ClaimsCreated, "claims_created_total" },
        EnumName { Counter::ClaimsReplayed, "claims_replayed_total" },
        EnumName { Counter::StoreCalls, "store_calls_total" },
        EnumName { Counter::StoreFailures, "store_failures_total" },
        EnumName { Counter::StoreReadsRejected, "store_reads_rejected_total" },
        EnumName { Counter::StoreRestores, "store_restores_total" },
        EnumName { Counter::StaleConfigurations, "stale_configurations_total" },
        EnumName { Counter::PeerBytesSent, "peer_bytes_sent_total" },
        EnumName { Counter::PeerBytesReceived, "peer_bytes_received_total" },
        EnumName { Counter::PeerBadFrames, "peer_bad_frames_total" },
        EnumName { Counter::PeerAuthFailures, "peer_auth_failures_total" },
        EnumName { Counter::GrantsGiven, "grants_given_total" },
        EnumName { Counter::GrantsReceived, "grants_received_total" },
        EnumName { Counter::BreakerOpenings, "breaker_openings_total" },
        EnumName { Counter::QueueShed, "queue_shed_total" },
        EnumName { Counter::FairShareRejections, "fair_share_rejections_total" },
        EnumName { Counter::RunnerCrashesSeen, "runner_crashes_seen_total" },
        EnumName { Counter::PartsQuarantined, "parts_quarantined_total" },
        EnumName { Counter::PartsLifted, "parts_lifted_total" },
        EnumName { Counter::QuarantineRefusals, "quarantine_refusals_total" },
        EnumName { Counter::QuarantineTrials, "quarantine_trials_total" },
        EnumName { Counter::QuotaRecordsWritten, "quota_records_written_total" },
        EnumName { Counter::QuotaRecordWritesFailed, "quota_record_writes_failed_total" },
        EnumName { Counter::QuotaProbationsFailed, "quota_probations_failed_total" },
        EnumName { Counter::RolloutCurrentRequests, "rollout_current_requests_total" },
        EnumName { Counter::RolloutCurrentFailures, "rollout_current_failures_total" },
        EnumName { Counter::RolloutTargetRequests, "rollout_target_requests_total" },
        EnumName { Counter::RolloutTargetFailures, "rollout_target_failures_total" },
        EnumName { Counter::MemoryRefusalsRequest, "memory_refusals_request_total" },
        EnumName { Counter::MemoryRefusalsUnparsedResponse, "memory_refusals_unparsed_response_total" },
        EnumName { Counter::MemoryRefusalsRunnerResponse, "memory_refusals_runner_response_total" },
        EnumName { Counter::MemoryRefusalsRunnerStream, "memory_refusals_runner_stream_total" },
        EnumName { Counter::MemoryRefusalsRunnerReport, "memory_refusals_runner_report_total" },
        EnumName { Counter::MemoryRefusalsStoreResponse, "memory_refusals_store_response_total" },
        EnumName { Counter::MemoryRefusalsPeerFeed, "memory_refusals_peer_feed_total" },
        EnumName { Counter::MemoryRefusalsOperatorResponse, "memory_refusals_operator_response_total" },
    };
};

/// Present values of a process.
enum class Gauge {
    /// Runners that have announced their shutdown.
    RunnersLeaving,
    /// Runners that want no requests for a time that they named.
    RunnersInBackOff,
    /// Zones that the operator has taken out of service.
    ZonesEvacuated,
    /// Requests of this VM that still run at runners of such zones.
    EvacuatedZoneRequests,
    /// Runners that this VM takes for cold.
    RunnersCold,
    /// Runners that are clearly slower or faster than the median of their service.
    RunnersSlow,
    RunnersFast,
    /// Other zones whose relays report the work of their VMs.
    ZonesReportingWork,
    /// Engines that compute the prompts of yielding routes.
    PromptPoolEngines,
    /// Organisations with recent requests of yielding routes.
    FairShareOrganisations,
    /// Requests that were admitted from the reserves of organisations over their rates since the start.
    QuotaReserveAdmissions,
    /// Era of the platform's store; 0 if it does not tell its era.
    StoreEra,
    /// 1 while a restored copy of the store does not suffice to accept API keys, else 0.
    UnconfirmedCopy,
    /// Organisations that this process started without a debt, as they had used little before.
    QuotasStartedWithoutDebt,
    /// Estimate of the distinct shared tokens of prompts in use.
    SharedTokensInUse,
    /// 1 while the cache store of shared parts is chosen by prefix, 0 while it is chosen by zone.
    CacheStoresByPrefix,
    /// Bytes of other processes that are held, and the most that may be.
    MemoryHeld,
    MemoryBudget,
};

template <> struct EnumTable<Gauge> {
    static constexpr std::array rows {
        EnumName { Gauge::RunnersLeaving, "runners_leaving" },
        EnumName { Gauge::RunnersInBackOff, "runners_in_back_off" },
        EnumName { Gauge::ZonesEvacuated, "zones_evacuated" },
        EnumName { Gauge::EvacuatedZoneRequests, "evacuated_zone_requests" },
        EnumName { Gauge::RunnersCold, "runners_cold" },
        EnumName { Gauge::RunnersSlow, "runners_slow" },
        EnumName { Gauge::RunnersFast, "runners_fast" },
        EnumName { Gauge::ZonesReportingWork, "zones_reporting_work" },
        EnumName { Gauge::PromptPoolEngines, "prompt_pool_engines" },
        EnumName { Gauge::FairShareOrganisations, "fair_share_organisations" },
        EnumName { Gauge::QuotaReserveAdmissions, "quota_reserve_admissions" },
        EnumName { Gauge::StoreEra, "store_era" },
        EnumName { Gauge::UnconfirmedCopy, "store_copy_unconfirmed" },
        EnumName { Gauge::QuotasStartedWithoutDebt, "quotas_started_without_debt" },
        EnumName { Gauge::SharedTokensInUse, "shared_tokens_in_use" },
        EnumName { Gauge::CacheStoresByPrefix, "cache_stores_by_prefix" },
        EnumName { Gauge::MemoryHeld, "memory_held_bytes" },
        EnumName { Gauge::MemoryBudget, "memory_budget_bytes" },
    };
};

/// Distributions of a process, exported as Prometheus histograms.
enum class Distribution {
    TimeToFirstToken,
    TimeBetweenTokens,
    RequestDuration,
    /// Time for which requests wait for the tokens of their organisation.
    QuotaWait,
    StoreCallDuration,
};

template <> struct EnumTable<Distribution> {
    static constexpr std::array rows {
        EnumName { Distribution::TimeToFirstToken, "time_to_first_token_seconds" },
        EnumName { Distribution::TimeBetweenTokens, "time_between_tokens_seconds" },
        EnumName { Distribution::RequestDuration, "request_duration_seconds" },
        EnumName { Distribution::QuotaWait, "quota_wait_seconds" },
        EnumName { Distribution::StoreCallDuration, "store_call_duration_seconds" },
    };
};

} // namespace Pollenwind
