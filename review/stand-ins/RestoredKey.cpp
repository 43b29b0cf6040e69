#include "Kit.h"

#include <csignal>

// Case: a machine starts while the store is away. The store comes back from a copy that still has a withdrawn key, and
// the machine accepts it, although the other machines know of the withdrawal.

namespace {

using namespace Review;

constexpr std::size_t machineCount = 3;
constexpr unsigned rounds = 4;
// revoke_ms of the small sites.
constexpr auto withdrawalLimit = 5000ms;
// From the withdrawal to the outage; the copy is made shortly before the withdrawal.
constexpr auto outageDelay = 5500ms;
constexpr auto copyDelay = 500ms;
constexpr auto outage = 2000ms;
constexpr auto killDelay = 300ms;
// From the return of the store to the operator's write of what is missing.
constexpr auto operatorDelay = 700ms;
constexpr auto calmTime = 3000ms;
constexpr auto requestInterval = 40ms;

class RestoredKey {
public:
    explicit RestoredKey(const asio::any_io_executor& executor)
        : m_executor(executor)
        , m_record(recordFile())
        , m_deployment(executor, machineCount)
    {
        for (const auto* zone : { "a", "b", "c" }) {
            m_runners.emplace_back(executor, std::string("i-") + zone, "app", zone, "");
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
            runner.onRequest = [this, &runner](const HttpRequest& request) { checkRun(runner, request); };
            asio::co_spawn(m_executor, runner.beat(m_deployment.store), asio::detached);
        }
        writeConfiguration({ "key-0", "key-valid" });
        m_deployment.startMachines();
        if (!co_await m_deployment.waitUntilReady()) {
            co_return couldNotRun;
        }
        asio::co_spawn(m_executor, sendRequests(), asio::detached);
        for (unsigned round = 0; round < rounds; ++round) {
            co_await playRound(round);
        }
        m_isOver = true;
        m_record.line("runs with a valid key " + std::to_string(m_validRuns)
            + ", with a key withdrawn more than 5 s before " + std::to_string(m_violations));
        co_return m_violations > 0 ? ruleBroken : m_validRuns > 100 ? ruleHeld : couldNotRun;
    }

private:
    Task<> playRound(unsigned round)
    {
        auto& store = m_deployment.store;
        co_await sleepFor(calmTime);
        const auto withdrawn = "key-" + std::to_string(round);
        store.copy();
        co_await sleepFor(copyDelay);
        writeConfiguration({ "key-" + std::to_string(round + 1), "key-valid" });
        m_withdrawn = withdrawn;
        m_withdrawnAt = std::chrono::steady_clock::now();
        m_record.line("the store confirms the withdrawal of " + withdrawn);
        co_await sleepFor(outageDelay);
        if (!hasTrouble()) {
            co_await sleepFor(outage + operatorDelay);
            co_return;
        }
        m_record.line("the store is away");
        store.setAway(true);
        co_await sleepFor(killDelay);
        m_deployment.machines.back().signal(SIGKILL);
        m_record.line("SIGKILL to " + m_deployment.machines.back().name());
        co_await sleepFor(outage - killDelay);
        store.restore();
        store.setAway(false);
        m_record.line("the store is back from its copy");
        co_await sleepFor(operatorDelay);
        store.put("op/config", m_configuration);
        for (auto& runner : m_runners) {
            store.put("servers/" + runner.id(), runner.entry());
        }
        m_record.line("the operator and the runners have written again what was missing");
    }

    void writeConfiguration(const std::vector<std::string>& keys)
    {
        m_version += 4;
        const Json route { { "name", "r" }, { "host", "h.example" }, { "prefix", "/book/" }, { "kind", "unsafe" },
            { "timeout_ms", 1200 }, { "goal_ms", 150 }, { "priority", 2 }, { "service", "app" }, { "max_attempts", 1 },
            { "skip_auth", false } };
        const Json tenant { { "name", "north" }, { "api_keys", keys }, { "priority", 1 }, { "unit", "tokens" },
            { "uncached_tokens", 200 }, { "isolated", false }, { "rate_per_s", 96644 }, { "burst", 96644 } };
        const Json configuration { { "version", m_version }, { "routes", Json::array({ route }) },
            { "services", Json::array({ { { "name", "app" }, { "health_path", "/health" }, { "max_conns", 110 } } }) },
            { "limits",
                { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                    { "idle_timeout_ms", 15000 } } },
            { "tenants", Json::array({ tenant }) } };
        m_configuration = configuration.dump();
        m_deployment.store.put("op/config", m_configuration);
        m_record.line("the operator writes version " + std::to_string(m_version));
    }

    /// Sends requests to each machine in turn, by turns with a valid and the last withdrawn key.
    Task<> sendRequests()
    {
        for (unsigned n = 0; !m_isOver; ++n) {
            const auto& machine = m_deployment.machines[n / 2 % machineCount];
            const auto key = n % 2 == 0 || m_withdrawn.empty() ? std::string("key-valid") : m_withdrawn;
            const bool isLate
                = key == m_withdrawn && std::chrono::steady_clock::now() - m_withdrawnAt > withdrawalLimit;
            const auto id = "q" + std::to_string(n) + (isLate ? "-late" : "");
            asio::co_spawn(m_executor, sendRequest(machine, id, key), asio::detached);
            co_await sleepFor(requestInterval);
        }
    }

    Task<> sendRequest(const Machine& machine, std::string id, std::string key)
    {
        const HttpRequest request { "POST", "/book/x", "",
            { { "Host", "h.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "2500" },
                { "Authorization", "Token " + key } },
            "booking" };
        const auto answer = co_await call(machine.front(), request);
        m_record.line(id + " with " + key + " at " + machine.name() + ": status " + std::to_string(answer.status));
    }

    void checkRun(const Runner& runner, const HttpRequest& request)
    {
        const std::string id(request.header("X-Request-Id").value_or(""));
        const bool isLate = id.ends_with("-late");
        m_validRuns += isLate ? 0 : 1;
        m_violations += isLate ? 1 : 0;
        if (isLate) {
            m_record.line(runner.id() + " runs " + id + ", sent more than 5 s after the withdrawal: RULE BROKEN");
        }
    }

    asio::any_io_executor m_executor;
    Record m_record;
    Deployment m_deployment;
    std::deque<Runner> m_runners;
    int m_version = -1;
    std::string m_configuration;
    std::string m_withdrawn;
    SteadyTime m_withdrawnAt;
    bool m_isOver = false;
    unsigned m_validRuns = 0;
    unsigned m_violations = 0;
};

} // namespace

int main() { return runCase<RestoredKey>(); }
