#pragma once

#include "Common/Clock.h"
#include "Config/Commands/ConfigurationCommands.h"
#include "Keys/Commands/KeyCommands.h"
#include "Metrics/Commands/MetricCommands.h"
#include "Moves/Commands/MoveCommands.h"
#include "Router/WithdrawalRepair.h"
#include "Store/Queries/StoreQueries.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <cstdint>
#include <deque>

namespace Pollenwind {

/// Dependencies of StoreSync. All references must outlive it.
struct StoreSyncContext {
    const Clock& clock;
    StoreQueries& store;
    ConfigurationCommands& configuration;
    KeyCommands& keys;
    MoveCommands& moves;
    TimelineCommands& timeline;
    MetricCommands& metrics;
    WithdrawalRepair& repair;
    /// Upper bound of the random delay before the first call.
    std::chrono::milliseconds startJitter { 0 };
};

/// Reads the shared records of the platform's store and applies their updates.
///
/// One task reads them and then follows a watch. A second task probes the store's revision each second: when the watch
/// has delivered everything up to a probed revision, the key table contains every withdrawal accepted before the probe
/// was sent. Arrival of watch data alone would not prove that, since the data may have been buffered while the VM was
/// paused.
class StoreSync {
public:
    explicit StoreSync(StoreSyncContext context);

    /// Follows the records until the process ends.
    Task<> followRecords();
    /// Probes the store until the process ends.
    Task<> probeRevision();

    bool isStoreUp() const { return m_isStoreUp; }

    /// @return Latest time by this process's clock at which the records are known to have been complete; 0 if none.
    MonotonicTime confirmedAt() const { return m_confirmedAt; }

private:
    struct Probe {
        std::int64_t revision = 0;
        MonotonicTime sentAt { 0 };
    };

    Task<Outcome<std::int64_t>> readAll();
    Task<Outcome<void>> followWatch(std::int64_t fromRevision);
    void applyEntry(const StoreEntry& entry);
    void onDelivered(std::int64_t revision);
    void setStoreState(bool isUp, const std::string& reason);

    StoreSyncContext m_context;
    std::int64_t m_deliveredRevision = 0;
    std::deque<Probe> m_probes;
    MonotonicTime m_confirmedAt { 0 };
    bool m_isStoreUp = false;
};

} // namespace Pollenwind
