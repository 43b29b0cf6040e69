#pragma once

#include "Gateway/ChangeFeeds.h"
#include "Gateway/ChangeLog.h"
#include "Gateway/Commands/EvacuationCommands.h"
#include "Gateway/Commands/QuarantineRecordCommands.h"
#include "Gateway/Commands/QuotaCommands.h"
#include "Gateway/Commands/QuotaRecordCommands.h"
#include "Gateway/Commands/RolloutCommands.h"
#include "Gateway/Commands/RoutingCommands.h"
#include "Gateway/Commands/RunnerCommands.h"
#include "Gateway/FleetView.h"
#include "Gateway/KeyFreshness.h"
#include "Gateway/OrderLease.h"
#include "Gateway/Queries/FleetConfigurationQueries.h"
#include "Gateway/Queries/FreshnessQueries.h"
#include "Gateway/Queries/RecordCodec.h"
#include "Metrics/Commands/MetricCommands.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <functional>
#include <set>
#include <string>

namespace Pollenwind {

/// Dependencies of the synchronisation with the store.
struct GatewaySyncContext {
    const Clock& clock;
    ChangeFeeds& feeds;
    ChangeLog& log;
    const RecordCodec& codec;
    RoutingCommands& routing;
    RunnerCommands& runners;
    QuotaCommands& quota;
    FleetView& fleet;
    OrderLease& orders;
    TimelineCommands& timeline;
    MetricCommands& metrics;
    QuarantineRecordCommands& quarantine;
    RolloutCommands& rollouts;
    FleetConfigurationQueries& fleetConfigurations;
    /// nullptr if zones are never taken out of service.
    EvacuationCommands* evacuations = nullptr;
    /// nullptr if the organisations in heavy use are not recorded.
    QuotaRecordCommands* quotaRecords = nullptr;
};

/// Timeouts of the synchronisation.
struct GatewaySyncOptions {
    /// Longest time that a watch waits for a change. With 2.9 s, keys would be refused 0.7 s sooner after the store
    /// becomes unavailable.
    std::chrono::milliseconds watchWait { 2200 };
    /// Longest times that a watcher's and a follower's call wait in a large fleet. Their sum bounds the age of a
    /// follower's knowledge.
    std::chrono::milliseconds watcherWait { 700 };
    std::chrono::milliseconds followerWait { 500 };
    /// Age of the local copy up to which a watch may wait. The rest of the key limit is for the delay of the response.
    std::chrono::milliseconds freshnessGoal { 3000 };
    /// Delay after received changes before the next watch call, so that further changes arrive in one batch.
    std::chrono::milliseconds batchDelay { 500 };
    /// Batch delay in a large fleet, where changes are more frequent.
    std::chrono::milliseconds largeFleetBatchDelay { 800 };
    /// Batch delay of the VM that gives orders, which should receive new target weights early, and of a VM that follows
    /// another one, whose changes are gathered already.
    std::chrono::milliseconds shortBatchDelay { 100 };
    /// Age of the local copy from which API keys are no longer accepted.
    std::chrono::milliseconds keyLimit { 4300 };
    /// First delay after a failed call to the store; it doubles up to the longest one.
    std::chrono::milliseconds retryPause { 250 };
    /// Longest delay in a large fleet, where each VM may have to turn to the store; else it is the batch delay.
    std::chrono::milliseconds largeFleetRetryPause { 1000 };
    /// Interval at which VMs that have not answered are asked for a newer configuration than a restored store has.
    std::chrono::milliseconds inquiryInterval { 1000 };
};

/// Keeps the local tables in sync with the store: reads all records once, then follows the changes, from the store or
/// from a VM that follows it. When the store no longer has the changes, it reads all records again.
class GatewaySync final : public FreshnessQueries {
public:
    GatewaySync(GatewaySyncContext context, GatewaySyncOptions options)
        : m_context(context)
        , m_options(options)
        , m_pause(options.retryPause)
    {
    }

    /// Follows the store indefinitely.
    Task<> run();

    /// Takes over configurations from VMs that could not be asked when a restored store was read, indefinitely.
    Task<> followOtherVms();

    /// Sets a handler that is called after all records have been read.
    void onRead(std::function<void()> handler) { m_onRead = std::move(handler); }
    /// Sets a handler that is called after the records of a restored store have been read.
    void onRestored(std::function<void()> handler) { m_onRestored = std::move(handler); }

    std::chrono::nanoseconds age() const override { return m_context.clock.now() - m_freshness.changesUntil(); }
    bool mayAcceptKeys() const override
    {
        const auto knownUntil = m_freshness.withdrawalsUntil();
        return knownUntil.count() > 0 && m_context.clock.now() - knownUntil < m_options.keyLimit;
    }

private:
    /// Records that belong together.
    struct Listing {
        std::vector<RunnerEntry> runners;
        std::set<VmId> vms;
        std::set<ZoneId> evacuatedZones;
        bool hasHolder = false;
    };

    Task<Outcome<void>> readAll(ChangeFeed& feed);
    /// Reads configurations that other VMs know and a restored store has lost.
    Task<std::vector<StoreEntry>> readLostConfigurations(const StoreRange& range);
    /// Asks other VMs for what a restored copy lacks, before it is used.
    /// @return Whether enough of them have answered to tell, and what they know can be read.
    Task<bool> compareWithOtherVms(const StoreRange& range);
    /// @param isConfirmed Whether the other VMs know no withdrawals that this one lacks.
    void recordCopy(MonotonicTime readAt, bool isConfirmed);
    /// This VM knows all withdrawals of API keys that the restored copy lacks.
    void confirmCopy(std::string_view source);
    /// Takes over configurations of other VMs that are newer than the one in force.
    /// @return Whether all of them can be read.
    bool applyLostConfigurations(const std::vector<StoreEntry>& entries);
    /// Version of the configuration among the records; 0 if there is none.
    std::int64_t configurationVersionOf(const StoreRange& range) const;
    /// Takes over all records.
    /// @param isRestored Whether they come from a later era of the store than the local ones.
    void applyAll(const StoreRange& range, bool isRestored);
    /// Decides what to read next after a failed call, and waits before it.
    /// @param watcher VM whose feed failed; nothing for the store.
    Task<> onFailure(std::optional<VmId> watcher, Error error);
    /// Whether all records may be read without a delay after a feed no longer had the changes. A feed that never has
    /// them is not read without end.
    bool takeImmediateRead();
    Task<Outcome<void>> readChanges(ChangeFeed& feed, bool isFollower);
    /// Takes over changes that were requested at a given time.
    /// @param delay Time for which changes may have waited in this VM's feed.
    /// @param isTimely Whether the feed has answered in time since the changes before.
    void applyChanges(
        const FeedChanges& reply, MonotonicTime requestedAt, std::chrono::nanoseconds delay, bool isTimely);
    /// @param writtenAfter Earliest time at which the entry may have been written; 0 when that is not known.
    void apply(const StoreEntry& entry, MonotonicTime writtenAfter, ChangeSource source);
    void applyConfiguration(RoutingConfiguration configuration, const StoreEntry& entry);
    /// Adds a record to a listing, or applies it if it is of another kind.
    void list(const StoreEntry& entry, Listing& listing);
    void applyErased(const std::string& key);
    /// Logs a record that cannot be read when it was readable or absent before.
    void recordUnreadable(const std::string& key, const std::string& cause);
    /// Longest wait of the next call for changes.
    std::chrono::milliseconds nextWait(bool isFollower) const;
    /// @param isFollower Whether the changes came from another VM.
    std::chrono::milliseconds batchDelay(bool isFollower) const;
    /// Counts a read whose records are older than the local ones; the first one in a row is logged.
    void recordRejectedRead(std::int64_t revision);
    void setReachable(bool isReachable, std::string_view why);

    GatewaySyncContext m_context;
    GatewaySyncOptions m_options;
    std::int64_t m_revision = 0;
    KeyFreshness m_freshness;
    /// Time of the last answer.
    MonotonicTime m_answeredAt { 0 };
    /// Whether a call has failed since then.
    bool m_isAnswerLost = false;
    bool m_isReachable = false;
    /// Whether the last read was rejected.
    bool m_isReadRejected = false;
    /// Whether the changes since the last read may be incomplete.
    bool m_needsRead = true;
    /// Whether another VM has a newer configuration than the copy, which cannot be read.
    bool m_isNewerUnreadable = false;
    /// Keys whose records cannot be read. Their writers repeat them with each heartbeat.
    std::set<std::string> m_unreadableKeys;
    /// Version of the configuration in force, and the one last received.
    std::int64_t m_configuration = 0;
    std::int64_t m_receivedConfiguration = 0;
    /// Delay after the next failed call to the store.
    std::chrono::milliseconds m_pause;
    /// Time of the last read without a delay.
    MonotonicTime m_immediateReadAt { 0 };
    std::function<void()> m_onRead;
    std::function<void()> m_onRestored;
};

} // namespace Pollenwind
