#include "Kit.h"

#include <algorithm>
#include <csignal>

// Case: the machine that gives orders is stopped with SIGTERM right after an order, and its successor orders the same
// runner sooner than lease_ms later.

namespace {

using namespace Review;

constexpr auto leaseTime = 3000ms;
constexpr auto duration = 90s;
constexpr unsigned deploymentCount = 4;
constexpr std::size_t machineCount = 9;
constexpr auto heartbeat = 1200ms;
// Two versions are named one after the other, and a third one after the stop. The first one is named at this time after
// the heartbeats, so that the machines wait for changes when the stop comes.
constexpr auto namingPhase = 750ms;
constexpr auto secondVersionDelay = 500ms;
constexpr auto thirdVersionDelay = 1000ms;
// Longest wait for the order that is followed by the stop, and for all runners to take a version.
constexpr auto orderLimit = 3000ms;
constexpr auto loadLimit = 8000ms;

class QuickHandover {
public:
    QuickHandover(const asio::any_io_executor& executor, Record& record, unsigned index)
        : m_executor(executor)
        , m_record(record)
        , m_name("deployment " + std::to_string(index + 1) + ": ")
        , m_deployment(executor, machineCount, index)
    {
        const std::vector<std::string> zones { "a", "b", "c" };
        for (std::size_t i = 0; i < zones.size(); ++i) {
            m_runners.emplace_back(executor, "i-" + std::to_string(i + 1), "pool", zones[i], "m");
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
            runner.onOrder = [this, &runner](const Order& order) { recordOrder(runner, order); };
            asio::co_spawn(m_executor, runner.beat(m_deployment.store), asio::detached);
        }
        m_deployment.store.put("op/config", R"({"version":3,"routes":[{"name":"r","host":"h.example","prefix":"/q/",
            "kind":"streaming","timeout_ms":6000,"goal_ms":800,"priority":1,"service":"pool","max_attempts":1,
            "session_affinity":true}],"services":[{"name":"pool","health_path":"/health","max_conns":370,"engine":
            {"slots":64,"kv_capacity":101147,"kv_token_bytes":327680,"models":[{"name":"m"}]}}]})");
        nameVersion();
        m_deployment.startMachines();
        if (!co_await m_deployment.waitUntilReady()) {
            co_return couldNotRun;
        }
        const auto end = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < end) {
            co_await waitUntil(loadLimit, [this] { return areAllLoaded() && areAllRunning(); });
            co_await sleepFor(m_runners.front().beatAt() + namingPhase + heartbeat - std::chrono::steady_clock::now());
            nameVersion();
            co_await sleepFor(secondVersionDelay);
            nameVersion();
            m_isArmed = true;
            co_await waitUntil(orderLimit, [this] { return !m_isArmed; });
            co_await sleepFor(thirdVersionDelay);
            nameVersion();
        }
        m_record.line(m_name + "orders " + std::to_string(m_orders) + ", hand-overs " + std::to_string(m_handovers)
            + ", too soon " + std::to_string(m_violations));
        const bool isPlayed = m_orders > 10 && (m_handovers > 0 || !hasTrouble());
        co_return m_violations > 0 ? ruleBroken : isPlayed ? ruleHeld : couldNotRun;
    }

private:
    void nameVersion()
    {
        ++m_version;
        m_deployment.store.put("op/version/m", Json { { "model", "m" }, { "version", m_version } }.dump());
        m_record.line(m_name + "operator names version " + std::to_string(m_version));
    }

    bool areAllLoaded() const
    {
        return std::ranges::all_of(m_runners, [this](const Runner& it) { return it.version() == m_version; });
    }

    bool areAllRunning() const
    {
        return std::ranges::all_of(m_deployment.machines, [](const Machine& it) { return it.isRunning(); });
    }

    template <typename Condition> Task<> waitUntil(std::chrono::milliseconds limit, Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            co_await sleepFor(5ms);
        }
    }

    void recordOrder(const Runner& runner, const Order& order)
    {
        ++m_orders;
        const auto before = std::find_if(runner.orders().rbegin() + 1, runner.orders().rend(),
            [&order](const Order& it) { return it.holder != order.holder; });
        std::string gap;
        if (before != runner.orders().rend()) {
            const auto apart = order.at - before->at;
            gap = ", " + std::to_string(milliseconds(apart)) + " ms after one of " + before->holder;
            if (apart < leaseTime) {
                ++m_violations;
                gap += ": RULE BROKEN";
            }
        }
        m_record.line(m_name + runner.id() + " gets an order for version " + std::to_string(order.version) + " from "
            + order.holder + ", fence " + std::to_string(order.fence) + ", status " + std::to_string(order.status)
            + gap);
        if (order.holder != m_holder) {
            m_handovers += m_holder.empty() ? 0 : 1;
            m_holder = order.holder;
        }
        // The runner with the lowest id is among the first that the successor turns to.
        if (m_isArmed && order.version == m_version && runner.id() == m_runners.front().id()) {
            m_isArmed = false;
            for (const auto& machine : m_deployment.machines) {
                if (hasTrouble() && machine.name() == order.holder) {
                    machine.signal(SIGTERM);
                    m_record.line(m_name + "SIGTERM to " + machine.name());
                }
            }
        }
    }

    asio::any_io_executor m_executor;
    Record& m_record;
    std::string m_name;
    Deployment m_deployment;
    std::deque<Runner> m_runners;
    std::int64_t m_version = 1;
    std::string m_holder;
    bool m_isArmed = false;
    unsigned m_orders = 0;
    unsigned m_handovers = 0;
    unsigned m_violations = 0;
};

/// Plays the case in several deployments at once, since not each hand-over is quick enough to show it.
class Deployments {
public:
    explicit Deployments(const asio::any_io_executor& executor)
        : m_executor(executor)
        , m_record(recordFile())
    {
        for (unsigned i = 0; i < deploymentCount; ++i) {
            m_deployments.emplace_back(executor, m_record, i);
        }
    }

    Task<int> play()
    {
        std::vector<int> codes;
        for (auto& deployment : m_deployments) {
            asio::co_spawn(m_executor, deployment.play(),
                [&codes](const std::exception_ptr& error, int code) { codes.push_back(error ? couldNotRun : code); });
        }
        while (codes.size() < m_deployments.size()) {
            co_await sleepFor(20ms);
        }
        if (std::ranges::find(codes, ruleBroken) != codes.end()) {
            co_return ruleBroken;
        }
        co_return std::ranges::find(codes, couldNotRun) != codes.end() ? couldNotRun : ruleHeld;
    }

private:
    asio::any_io_executor m_executor;
    Record m_record;
    std::deque<QuickHandover> m_deployments;
};

} // namespace

int main() { return runCase<Deployments>(); }
