#include "Kit.h"

#include <algorithm>
#include <csignal>

// Case: the holder's write that its orders are completed gets no answer and takes effect seconds later, when the holder
// has given further orders. Its successor finds no active holder and gives orders at once.

namespace {

using namespace Review;

constexpr std::string_view stateKey = "pollenwind/orders/state";
constexpr auto leaseTime = 3000ms;
constexpr std::size_t machineCount = 9;
constexpr unsigned rounds = 4;
// A write without an answer takes effect 1 to 6 s later. The holder has given its next orders by then.
constexpr auto lateWriteDelay = 3000ms;
constexpr auto nextVersionDelay = 300ms;
constexpr auto roundLimit = 20s;
constexpr auto calmTime = 4s;

class LateStateWrite {
public:
    explicit LateStateWrite(const asio::any_io_executor& executor)
        : m_executor(executor)
        , m_record(recordFile())
        , m_deployment(executor, machineCount)
    {
        const std::vector<std::string> zones { "a", "b", "c" };
        for (std::size_t i = 0; i < zones.size(); ++i) {
            m_runners.emplace_back(executor, "i-" + std::to_string(i + 1), "pool", zones[i], "m");
        }
    }

    Task<int> play()
    {
        auto& store = m_deployment.store;
        if (!m_deployment.listen()) {
            co_return couldNotRun;
        }
        unsigned n = 0;
        for (auto& runner : m_runners) {
            if (!runner.listen(m_deployment.address(2, ++n))) {
                co_return couldNotRun;
            }
            runner.onOrder = [this, &runner](const Order& order) { recordOrder(runner, order); };
            asio::co_spawn(m_executor, runner.beat(store), asio::detached);
        }
        store.put("op/config", R"({"version":3,"routes":[{"name":"r","host":"h.example","prefix":"/q/",
            "kind":"streaming","timeout_ms":6000,"goal_ms":800,"priority":1,"service":"pool","max_attempts":1,
            "session_affinity":true}],"services":[{"name":"pool","health_path":"/health","max_conns":370,"engine":
            {"slots":64,"kv_capacity":101147,"kv_token_bytes":327680,"models":[{"name":"m"}]}}]})");
        store.onWrite = [this](const std::string& key, const std::string& value) { return loseWrite(key, value); };
        store.onLateWrite = [this](bool holds) {
            m_record.line(
                std::string("the store carries out the late write: ") + (holds ? "done" : "condition failed"));
            m_hasLateWrite = true;
        };
        nameVersion();
        m_deployment.startMachines();
        if (!co_await m_deployment.waitUntilReady()) {
            co_return couldNotRun;
        }
        for (unsigned round = 0; round < rounds; ++round) {
            if (!co_await waitUntil([this] { return areAllLoaded() && areAllRunning(); })) {
                co_return couldNotRun;
            }
            m_isLossDue = true;
            // The holder writes that its orders are completed some seconds after the last one.
            if (!co_await waitUntil([this] { return !m_isLossDue; })) {
                co_return couldNotRun;
            }
            co_await sleepFor(nextVersionDelay);
            nameVersion();
            if (!co_await waitUntil([this] { return m_hasLateWrite && areAllLoaded(); })) {
                co_return couldNotRun;
            }
            for (const auto& machine : m_deployment.machines) {
                if (machine.name() == m_holder) {
                    machine.signal(SIGTERM);
                    m_record.line("SIGTERM to " + machine.name());
                }
            }
            nameVersion();
            co_await sleepFor(calmTime);
        }
        m_record.line("orders " + std::to_string(m_orders) + ", hand-overs " + std::to_string(m_handovers)
            + ", too soon " + std::to_string(m_violations));
        co_return m_violations > 0 ? ruleBroken : m_handovers > 0 ? ruleHeld : couldNotRun;
    }

private:
    std::optional<LateWrite> loseWrite(const std::string& key, const std::string& value)
    {
        if (key != stateKey) {
            return std::nullopt;
        }
        m_record.line("write of " + key + ": " + value);
        const auto state = Json::parse(value, nullptr, false);
        if (!m_isLossDue || !state.is_object() || state.value("active", true)) {
            return std::nullopt;
        }
        m_isLossDue = false;
        m_hasLateWrite = !hasTrouble();
        if (!hasTrouble()) {
            return std::nullopt;
        }
        m_record.line(
            "no answer to this write, which is carried out " + std::to_string(lateWriteDelay.count()) + " ms later");
        return LateWrite { lateWriteDelay };
    }

    void nameVersion()
    {
        ++m_version;
        m_deployment.store.put("op/version/m", Json { { "model", "m" }, { "version", m_version } }.dump());
        m_record.line("operator names version " + std::to_string(m_version));
    }

    bool areAllLoaded() const
    {
        return std::ranges::all_of(m_runners, [this](const Runner& it) { return it.version() == m_version; });
    }

    bool areAllRunning() const
    {
        return std::ranges::all_of(m_deployment.machines, [](const Machine& it) { return it.isRunning(); });
    }

    template <typename Condition> Task<bool> waitUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + roundLimit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            co_await sleepFor(5ms);
        }
        co_return condition();
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
        m_record.line(runner.id() + " gets an order for version " + std::to_string(order.version) + " from "
            + order.holder + ", fence " + std::to_string(order.fence) + ", status " + std::to_string(order.status)
            + gap);
        m_handovers += !m_holder.empty() && m_holder != order.holder ? 1 : 0;
        m_holder = order.holder;
    }

    asio::any_io_executor m_executor;
    Record m_record;
    Deployment m_deployment;
    std::deque<Runner> m_runners;
    std::int64_t m_version = 1;
    std::string m_holder;
    bool m_isLossDue = false;
    bool m_hasLateWrite = false;
    unsigned m_orders = 0;
    unsigned m_handovers = 0;
    unsigned m_violations = 0;
};

} // namespace

int main() { return runCase<LateStateWrite>(); }
