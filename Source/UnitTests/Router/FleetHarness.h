#pragma once

#include "Peer/LinkFaults.h"
#include "Router/Router.h"
#include "StandIn/StoreStandIn.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Pollenwind {

/// Peer link faults by which tests partition zones.
class ZoneFaults final : public LinkFaults {
public:
    LinkFault faultBetween(const VmId& sender, const VmId& receiver) const override;
    std::chrono::milliseconds delay() const override { return {}; }

    /// Zones that are partitioned from all others, by name.
    std::set<std::string> isolatedZones;
};

/// Several routers and a store on loopback. Each has its own io_context, so that a router can be paused or killed like
/// a process; one thread runs them in turn.
class Fleet {
public:
    /// @param test Number of the test; gives it its own addresses, since tests run at the same time.
    /// @param routers Number of routers, spread over the zones a, b and c.
    Fleet(int test, std::size_t routers, std::chrono::milliseconds startJitter = std::chrono::milliseconds(20));
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    void start(std::size_t router);
    /// Ends a router without a shutdown, as a crash does.
    void kill(std::size_t router);
    void setPaused(std::size_t router, bool isPaused);
    /// Sets for how long a router goes on to accept at a stop, from its next start on.
    void setShutdownListenTime(std::size_t router, std::chrono::milliseconds time);
    const Endpoint& callersEndpoint(std::size_t router) const { return m_nodes[router].settings.listenCallers; }

    std::size_t size() const { return m_nodes.size(); }
    nlohmann::json query(std::size_t router, const std::string& name);
    /// @return Status and body; status 0 when the router did not respond.
    std::pair<int, nlohmann::json> command(std::size_t router, const std::string& name, const nlohmann::json& body);

    /// Applies a service document with three zones.
    /// @return Its revision.
    std::int64_t apply(std::size_t router, const std::string& change);
    std::pair<int, nlohmann::json> setKey(std::size_t router, const std::string& key, const std::string& state);

    std::int64_t revisionOf(std::size_t router) { return query(router, "status").value("revision", 0); }
    std::string keyStateOf(std::size_t router, const std::string& key);
    /// Reads whether the store's record of a key is withdrawn.
    bool isWithdrawnInStore(const std::string& key);

    void runFor(std::chrono::milliseconds duration);
    /// Runs until a condition holds, or until a time limit that only failing tests reach.
    bool runUntil(const std::function<bool()>& isDone);
    /// Runs until a condition holds at all routers that run.
    bool runUntilAll(const std::function<bool(std::size_t)>& isDone);

    StoreStandIn& store() { return *m_store; }
    ZoneFaults faults;

private:
    struct Node {
        Settings settings;
        std::unique_ptr<asio::io_context> context;
        std::unique_ptr<Router> router;
        bool isPaused = false;
    };

    void step();
    std::pair<int, std::string> call(
        std::size_t router, const std::string& method, const std::string& path, const std::string& body);

    asio::io_context m_clientContext { 1 };
    std::unique_ptr<asio::io_context> m_storeContext;
    std::unique_ptr<StoreStandIn> m_store;
    std::vector<Node> m_nodes;
};

} // namespace Pollenwind
