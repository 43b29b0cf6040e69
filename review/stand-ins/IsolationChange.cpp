#include "Kit.h"

#include <algorithm>
#include <set>
#include <sstream>

// Case: a new desired state makes a tenant isolated. The parts of prompts that its requests cached before are still
// used by requests of another tenant.

namespace {

using namespace Review;

// config_apply_ms of the small sites, and one second.
constexpr auto applyTime = 3000ms;
constexpr std::size_t machineCount = 3;
constexpr unsigned requestsPerTenant = 6;

/// KV cache of a runner: the tenant whose request made a part, by salt and part.
using Cache = std::map<std::pair<std::string, std::string>, std::string>;

class CachingRunner final : public Runner {
public:
    CachingRunner(const asio::any_io_executor& executor, std::string id, std::string zone,
        std::deque<CachingRunner>& all, Record& record, std::set<std::string>& isolated, unsigned& violations)
        : Runner(executor, std::move(id), "pool", std::move(zone), "m")
        , m_all(all)
        , m_record(record)
        , m_isolated(isolated)
        , m_violations(violations)
    {
    }

private:
    Task<> serve(HttpExchange& exchange) override
    {
        const auto request = exchange.request();
        const std::string tenant(request.header("X-Tenant").value_or(""));
        const std::string salt(request.header("X-Cache-Salt").value_or(""));
        const auto fetched = request.header("X-Kv-Fetch");
        const auto* source = &m_cache;
        if (fetched) {
            const auto other = std::ranges::find_if(
                m_all, [&](const CachingRunner& it) { return it.endpoint().toString() == *fetched; });
            source = other == m_all.end() ? source : &other->m_cache;
        }
        std::istringstream prompt { std::string(request.header("X-Prompt-Prefix").value_or("")) };
        std::string parts;
        bool isPrefixCached = true;
        for (std::string part; std::getline(prompt, part, ',');) {
            const std::pair key { salt, part };
            const auto own = m_cache.find(key);
            const auto found = own != m_cache.end() ? own : source->find(key);
            const bool isCached = isPrefixCached && (own != m_cache.end() || found != source->end());
            isPrefixCached = isCached;
            const auto maker = isCached ? found->second : tenant;
            parts += " " + part + (isCached ? " from the cache, made by " + maker : " computed");
            if (maker != tenant && (m_isolated.contains(maker) || m_isolated.contains(tenant))) {
                ++m_violations;
                parts += ": RULE BROKEN";
            }
            m_cache[key] = maker;
        }
        m_record.line(id() + " runs " + std::string(request.header("X-Request-Id").value_or("")) + " of " + tenant
            + " with salt \"" + salt + "\":" + parts);
        co_await sleepFor(20ms);
        co_await exchange.beginStream({ 200, "text/event-stream", "", answerHeaders(request) });
        co_await exchange.writeChunk("id: 1\ndata: token\n\n");
        co_await exchange.endStream();
    }

    std::deque<CachingRunner>& m_all;
    Record& m_record;
    std::set<std::string>& m_isolated;
    unsigned& m_violations;
    Cache m_cache;
};

class IsolationChange {
public:
    explicit IsolationChange(const asio::any_io_executor& executor)
        : m_executor(executor)
        , m_record(recordFile())
        , m_deployment(executor, machineCount)
    {
        const std::vector<std::string> zones { "a", "b", "c" };
        for (std::size_t i = 0; i < zones.size(); ++i) {
            m_runners.emplace_back(
                executor, "i-" + std::to_string(i + 1), zones[i], m_runners, m_record, m_isolated, m_violations);
        }
    }

    Task<int> play()
    {
        if (!m_deployment.listen()) {
            co_return couldNotRun;
        }
        unsigned n = 0;
        for (auto& runner : m_runners) {
            if (!runner.listen(m_deployment.address(2, ++n))) {
                co_return couldNotRun;
            }
            asio::co_spawn(m_executor, runner.beat(m_deployment.store), asio::detached);
        }
        m_deployment.store.put("op/version/m", R"({"model":"m","version":1})");
        writeConfiguration(3, false);
        m_deployment.startMachines();
        if (!co_await m_deployment.waitUntilReady()) {
            co_return couldNotRun;
        }
        co_await sleepFor(applyTime);
        const bool isServed = co_await send("north", "key-north");
        if (hasTrouble()) {
            writeConfiguration(7, true);
            co_await sleepFor(applyTime);
            m_isolated.insert("north");
        }
        const bool isOtherServed = co_await send("south", "key-south");
        m_record.line("uses of another tenant's cache beside an isolated tenant: " + std::to_string(m_violations));
        co_return !isServed || !isOtherServed ? couldNotRun : m_violations > 0 ? ruleBroken : ruleHeld;
    }

private:
    void writeConfiguration(int version, bool isIsolated)
    {
        const auto tenant = [](const char* name, const char* key, bool isolated) {
            return Json { { "name", name }, { "api_keys", { key } }, { "priority", 1 }, { "unit", "tokens" },
                { "uncached_tokens", 200 }, { "isolated", isolated }, { "rate_per_s", 96644 }, { "burst", 96644 } };
        };
        const Json route { { "name", "r" }, { "host", "h.example" }, { "prefix", "/q/" }, { "kind", "streaming" },
            { "timeout_ms", 6000 }, { "goal_ms", 800 }, { "priority", 1 }, { "service", "pool" }, { "max_attempts", 1 },
            { "skip_auth", false }, { "session_affinity", true }, { "allow_resume", false }, { "gap_target_ms", 400 } };
        const Json service { { "name", "pool" }, { "health_path", "/health" }, { "max_conns", 370 },
            { "engine",
                { { "slots", 64 }, { "kv_capacity", 101147 }, { "kv_token_bytes", 327680 },
                    { "models", { { { "name", "m" } } } } } } };
        const Json configuration { { "version", version }, { "routes", { route } }, { "services", { service } },
            { "limits",
                { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                    { "idle_timeout_ms", 15000 } } },
            { "tenants", { tenant("north", "key-north", isIsolated), tenant("south", "key-south", false) } } };
        m_deployment.store.put("op/config", configuration.dump());
        m_record.line("the store confirms version " + std::to_string(version) + ", north is "
            + (isIsolated ? "isolated" : "not isolated"));
    }

    /// Sends requests of a tenant to all machines in turn. They share the first two parts of their prompts.
    Task<bool> send(std::string tenant, std::string key)
    {
        bool isServed = true;
        for (unsigned i = 0; i < requestsPerTenant; ++i) {
            const auto id = tenant + "-" + std::to_string(i + 1);
            const HttpRequest request { "POST", "/q/x", "",
                { { "Host", "h.example" }, { "X-Request-Id", id }, { "X-Model", "m" }, { "X-Token-Count", "6670,13" },
                    { "X-Prompt-Prefix", "5c1e07a2:2520,91bd3f06:3780,e44" + std::to_string(++m_sent) + ":370" },
                    { "X-Deadline-Ms", "6000" }, { "Authorization", "Token " + key } },
                "prompt" };
            const auto& machine = m_deployment.machines[i % m_deployment.machines.size()];
            const auto answer = co_await call(machine.front(), request);
            m_record.line(id + " at " + machine.name() + ": status " + std::to_string(answer.status));
            isServed = isServed && answer.status == 200;
            co_await sleepFor(100ms);
        }
        co_return isServed;
    }

    asio::any_io_executor m_executor;
    Record m_record;
    Deployment m_deployment;
    std::deque<CachingRunner> m_runners;
    std::set<std::string> m_isolated;
    unsigned m_violations = 0;
    unsigned m_sent = 0;
};

} // namespace

int main() { return runCase<IsolationChange>(); }
