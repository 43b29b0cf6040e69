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
    /// Longest time for each step of a call: connecting, the response head, the response body.
    std::chrono::milliseconds call { 1000 };
    /// Longest time without a change or progress notice on a watch.
    std::chrono::milliseconds watchSilence { 3000 };
};

/// Client of a store with the etcd v3 JSON gateway API. The platform's list of VMs is read at the same endpoint.
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

    /// Makes a call and records its metrics. A status other than 200 is an error.
    /// @return The response body.
    Task<Outcome<std::string>> call(std::string method, std::string path, std::string body);
    /// Sends a request over an idle or a new connection and reads the whole response.
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
