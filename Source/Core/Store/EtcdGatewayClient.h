#pragma once

#include "Metrics/Commands/MetricCommands.h"
#include "Store/Commands/StoreCommands.h"
#include "Store/Commands/VmListCommands.h"
#include "Store/Queries/StoreQueries.h"
#include "Transport/Endpoint.h"
#include "Transport/HttpClient.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Pollenwind {

/// Timeouts of the store client.
struct EtcdGatewayTimeouts {
    std::chrono::milliseconds call { 1000 };
    /// Longest time without a change or progress notice on a watch.
    std::chrono::milliseconds watchSilence { 3000 };
};

/// Client for a store that speaks the etcd v3 JSON gateway.
class EtcdGatewayClient final : public StoreCommands, public StoreQueries, public VmListCommands {
public:
    EtcdGatewayClient(
        asio::any_io_executor executor, Endpoint endpoint, EtcdGatewayTimeouts timeouts, MetricCommands& metrics);
    ~EtcdGatewayClient() override;

    Task<Outcome<StoreRange>> read(std::string key) override;
    Task<Outcome<StoreRange>> readPrefix(std::string prefix) override;
    Task<Outcome<WatchId>> openWatch(std::string prefix, std::int64_t fromRevision) override;
    Task<Outcome<StoreEvents>> nextEvents(WatchId watch) override;
    void closeWatch(WatchId watch) override;
    Task<Outcome<VmList>> listVms() override;
    Task<Outcome<void>> setListedVm(ListedVm vm) override;

    Task<Outcome<SwapResult>> compareAndSwap(
        std::string key, std::int64_t expectedRevision, std::string value, LeaseId lease) override;
    Task<Outcome<SwapResult>> compareAndErase(std::string key, std::int64_t expectedRevision) override;
    Task<Outcome<LeaseId>> grantLease(std::chrono::seconds timeToLive) override;
    Task<Outcome<std::chrono::seconds>> keepAlive(LeaseId lease) override;
    Task<Outcome<void>> revoke(LeaseId lease) override;

private:
    struct Watch;

    Task<Outcome<std::string>> call(std::string method, std::string path, std::string body);
    Task<Outcome<HttpAnswer>> exchange(HttpRequest request);

    asio::any_io_executor m_executor;
    Endpoint m_endpoint;
    EtcdGatewayTimeouts m_timeouts;
    MetricCommands& m_metrics;
    std::vector<std::unique_ptr<HttpConnection>> m_idle;
    std::map<WatchId, std::shared_ptr<Watch>> m_watches;
    std::uint64_t m_nextWatch = 1;
};

} // namespace Pollenwind
