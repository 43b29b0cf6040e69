// A key is withdrawn while the store turns one machine away. Then the store is away for a moment and comes back from a
// copy in which the key is still there, and serves that machine again.

#include "Runner.h"

using namespace Review;

namespace {

constexpr Milliseconds revokeTime { 5000 };
constexpr Milliseconds awayTime { 2000 };
// Time from the store's return until the operator has written its desired state again.
constexpr Milliseconds operatorDelay { 700 };
constexpr int rounds = 4;
constexpr const char* keptKey = "key-kept";

enum class RoundResult { Held, Broken, NotPlayed };

std::string keyOf(int round) { return "key-" + std::to_string(round); }

std::string stateOf(int version, const std::vector<std::string>& keys)
{
    DesiredState state;
    state.routes.push_back(DesiredState::route("commit", "unsafe", "app", 2500, 150, 1, false));
    state.services.push_back(
        { { "name", "app" }, { "health_path", "/health" }, { "max_conns", 110 }, { "protocol", "h1" } });
    auto tenant = DesiredState::tenant("tenant-1", keptKey);
    for (const auto& key : keys) {
        tenant["api_keys"].push_back(key);
    }
    state.tenants.push_back(tenant);
    return state.text(version);
}

class Case {
public:
    explicit Case(Record& record)
        : m_record(record)
        , m_net(loopbackNet())
        , m_store(m_net + "1")
    {
    }

    bool start()
    {
        const auto serve = [this](Runner& runner, Stream& stream, const Message& message) {
            const auto id = message.header("X-Request-Id");
            recordRun(id, runner.id());
            return stream.answer(200, "done", { { "X-Request-Id", id }, { "X-Server-Stamp", "stamp-" + id } });
        };
        for (int i = 0; i < 3; ++i) {
            m_runners.push_back(std::make_unique<Runner>(
                m_store, "i-" + std::to_string(i), "app", "zone-a", 6, m_net + std::to_string(100 + i), serve));
        }
        std::vector<std::string> keys;
        for (int round = 0; round < rounds; ++round) {
            keys.push_back(keyOf(round));
        }
        m_keys = keys;
        m_store.put("op/config", stateOf(++m_version, m_keys));
        for (int i = 0; i < 3; ++i) {
            const auto name = "edge-a-" + std::to_string(i + 1);
            m_machines.push_back(std::make_unique<Machine>(
                name, "zone-a", m_net + std::to_string(11 + i), m_store.addressFor(name), m_folder.path()));
            if (!m_machines.back()->start()) {
                return false;
            }
        }
        return std::ranges::all_of(m_machines, [](const auto& it) { return it->waitUntilReady(Milliseconds(10'000)); });
    }

    RoundResult play(int round)
    {
        const auto key = keyOf(round);
        const auto& cut = *m_machines[static_cast<std::size_t>(round) % m_machines.size()];
        std::this_thread::sleep_for(Milliseconds(3000));
        if (send(cut, key) != 200) {
            return RoundResult::NotPlayed;
        }
        m_store.copy();
        if (hasTrouble()) {
            m_record.write("the store turns " + cut.name() + " away");
            m_store.setService(cut.name(), Service::Refusing);
        }
        std::this_thread::sleep_for(Milliseconds(300));
        std::erase(m_keys, key);
        const auto withdrawn = stateOf(++m_version, m_keys);
        m_store.put("op/config", withdrawn);
        const auto confirmedAt = Clock::now();
        m_record.write("withdrawal of " + key + " confirmed");
        std::this_thread::sleep_until(confirmedAt + Milliseconds(4000));
        if (hasTrouble()) {
            m_record.write("the store is away");
            for (const auto& machine : m_machines) {
                m_store.setService(machine->name(), Service::Refusing);
            }
        }
        std::this_thread::sleep_for(awayTime);
        if (hasTrouble()) {
            m_store.restore();
            for (const auto& machine : m_machines) {
                m_store.setService(machine->name(), Service::Serving);
            }
            m_record.write("the store is back from its copy and serves all");
        }
        const auto backAt = Clock::now();
        bool isWritten = false;
        while (Clock::now() < backAt + Milliseconds(3000)) {
            if (hasTrouble() && !isWritten && Clock::now() >= backAt + operatorDelay) {
                m_store.put("op/config", withdrawn);
                m_record.write("the operator has written again");
                isWritten = true;
            }
            for (const auto& machine : m_machines) {
                send(*machine, key);
            }
            std::this_thread::sleep_for(Milliseconds(20));
        }
        const std::scoped_lock lock(m_mutex);
        bool isBroken = false;
        for (const auto& [id, run] : m_runs) {
            if (run.key == key && run.sentAt > confirmedAt + revokeTime && run.runs > 0) {
                const auto late = std::chrono::duration_cast<Milliseconds>(run.sentAt - confirmedAt).count();
                m_record.write("BROKEN CONFIG: " + id + " ran with " + key + ", sent to " + run.machine + " "
                    + std::to_string(late) + " ms after the confirmation");
                isBroken = true;
                ++m_broken;
            }
        }
        return isBroken ? RoundResult::Broken : RoundResult::Held;
    }

    int broken() const { return m_broken; }

private:
    struct Request {
        std::string key;
        std::string machine;
        Clock::time_point sentAt;
        int runs = 0;
    };

    void recordRun(const std::string& id, const std::string& runner)
    {
        const std::scoped_lock lock(m_mutex);
        ++m_runs[id].runs;
        m_record.write("run " + id + " at " + runner);
    }

    int send(const Machine& machine, const std::string& key)
    {
        const auto id = "r" + std::to_string(++m_lastId);
        {
            const std::scoped_lock lock(m_mutex);
            m_runs[id] = { key, machine.name(), Clock::now() };
        }
        m_record.write("send " + id + " with " + key + " to " + machine.name());
        const auto answer = request(machine.front(), "/commit/x", id, { { "Authorization", "Token " + key } }, 1000);
        m_record.write("answer " + id + " " + std::to_string(answer.status));
        return answer.status;
    }

    Record& m_record;
    WorkFolder m_folder;
    std::string m_net;
    std::mutex m_mutex;
    std::map<std::string, Request> m_runs;
    Store m_store;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::vector<std::unique_ptr<Machine>> m_machines;
    std::vector<std::string> m_keys;
    int m_version = 0;
    int m_lastId = 0;
    int m_broken = 0;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2) {
        return 2;
    }
    guardProcesses(std::chrono::seconds(115));
    Record record(argv[1]);
    Case play(record);
    if (!play.start()) {
        record.write("the machines were not ready");
        return 2;
    }
    std::map<RoundResult, int> results;
    for (int round = 0; round < rounds; ++round) {
        ++results[play.play(round)];
    }
    const auto summary = "rounds: " + std::to_string(results[RoundResult::Held]) + " held, "
        + std::to_string(results[RoundResult::Broken]) + " broken, " + std::to_string(results[RoundResult::NotPlayed])
        + " not played; requests that ran with a withdrawn key too late: " + std::to_string(play.broken());
    record.write(summary);
    std::cout << summary << "\n";
    return results[RoundResult::Broken] > 0 ? 1 : results[RoundResult::Held] > 0 ? 0 : 2;
}
