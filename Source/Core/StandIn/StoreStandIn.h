#pragma once

#include "Common/EnumTable.h"
#include "Common/Task.h"
#include "Store/StoreTypes.h"
#include "Transport/HttpServer.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Pollenwind {

/// Faults that can be injected into the store stand-in.
enum class StoreFault {
    /// All connections are closed without a response, those of open watches included.
    Down,
    /// Every call is delayed before it is executed; the value is the delay in milliseconds.
    Slow,
    /// The next calls take effect but their connections are closed without a response; the value is their number.
    LoseAnswers,
    /// Calls above a rate are refused with status 429; the value is the rate in calls per second.
    RateLimit,
    /// The VM list shows an earlier state; the value is the lag in milliseconds.
    ListLag,
    /// Range reads return an earlier state; the value is the number of changes that they lag behind.
    StaleReads,
    /// Open watches stay open and send nothing, not even progress notifications.
    SilentWatches,
};

template <> struct EnumTable<StoreFault> {
    static constexpr std::array rows {
        EnumName { StoreFault::Down, "down" },
        EnumName { StoreFault::Slow, "slow" },
        EnumName { StoreFault::LoseAnswers, "lose-answers" },
        EnumName { StoreFault::RateLimit, "rate-limit" },
        EnumName { StoreFault::ListLag, "list-lag" },
        EnumName { StoreFault::StaleReads, "stale-reads" },
        EnumName { StoreFault::SilentWatches, "silent-watches" },
    };
};

/// Test double of the platform: a key-value store with the etcd v3 JSON gateway API, and the VM list. Faults are set
/// with setFault() or POST /stand-in/faults {"fault": NAME, "value": N}; 0 ends a fault.
class StoreStandIn final : public HttpHandler {
public:
    explicit StoreStandIn(asio::any_io_executor executor);

    /// Starts serving on an address.
    /// @return The bound address, or an error.
    Outcome<Endpoint> listen(const Endpoint& endpoint) { return m_server.listen(endpoint); }

    void setFault(StoreFault fault, std::int64_t value);
    /// Adds a VM to the platform's list, or replaces its entry.
    void setVm(const ListedVm& vm);
    /// Removes a VM from the platform's list, as when it was terminated.
    void removeVm(const VmId& vm);

    /// Number of calls received, except while the store is down. Includes rate-limited calls; a watch counts once.
    std::uint64_t callCount() const { return m_calls; }
    std::uint64_t writeCount() const { return m_writes; }
    /// Number of reads of a single key, except while the store is down. Reads of a prefix do not count.
    std::uint64_t readCount(const std::string& key) const;
    /// Number of transactions, and of those whose condition did not hold.
    std::uint64_t transactionCount() const { return m_transactions; }
    std::uint64_t conflictCount() const { return m_conflicts; }
    std::int64_t revision() const { return m_revision; }

    Task<> handle(HttpExchange& exchange) override;
    HttpAnswer refusal(int status, std::string_view reason) const override;

private:
    struct Change {
        std::int64_t revision = 0;
        StoreEvent event;
    };
    struct Lease {
        std::chrono::steady_clock::time_point expiresAt;
        std::chrono::seconds timeToLive { 0 };
        std::set<std::string> keys;
    };
    struct ListState {
        std::chrono::steady_clock::time_point since;
        VmList list;
    };

    std::int64_t faultValue(StoreFault fault) const;
    bool isOverRate();
    void expireLeases();
    void put(const std::string& key, const std::string& value, std::int64_t lease);
    void erase(const std::string& key);
    void notifyWatches();
    std::map<std::string, StoreEntry> visibleEntries() const;

    std::optional<HttpAnswer> handleCall(const HttpRequest& request);
    std::string handleRange(const std::string& body);
    std::string handleTransaction(const std::string& body);
    std::string handleLeaseGrant(const std::string& body);
    std::string handleKeepAlive(const std::string& body);
    std::string handleRevoke(const std::string& body);
    std::string handleVmList() const;
    std::string handleFaultRequest(const std::string& body);
    std::string handleVmUpdate(const std::string& body);
    Task<> serveWatch(HttpExchange& exchange);

    asio::any_io_executor m_executor;
    HttpServer m_server;
    std::int64_t m_revision = 1;
    std::map<std::string, StoreEntry> m_entries;
    std::deque<Change> m_changes;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_nextLease = 7000;
    std::map<std::uint64_t, asio::steady_timer*> m_watchWakeups;
    std::uint64_t m_nextWatch = 1;
    VmList m_vms;
    std::deque<ListState> m_listHistory;
    std::map<StoreFault, std::int64_t> m_faults;
    std::deque<std::chrono::steady_clock::time_point> m_recentCalls;
    std::uint64_t m_calls = 0;
    std::uint64_t m_writes = 0;
    std::map<std::string, std::uint64_t> m_reads;
    std::uint64_t m_transactions = 0;
    std::uint64_t m_conflicts = 0;
};

} // namespace Pollenwind
