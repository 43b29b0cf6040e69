// The holder of the right to give orders is turned away by the store. Another machine takes over, gives its orders and
// is stopped for a planned restart; then the store serves the first machine again.

#include "Runner.h"

#include <random>

using namespace Review;

namespace {

constexpr Milliseconds leaseTime { 3000 };
// Orders that arrive within this time after a machine was turned away are not judged.
constexpr Milliseconds thawSlack { 300 };
// A scene takes some 12 s.
constexpr Milliseconds playTime { 88'000 };

struct Order {
    std::string runner;
    std::string holder;
    Clock::time_point at;
};

class Play {
public:
    Play(Record& record, Store& store)
        : m_record(record)
        , m_store(store)
    {
    }

    void observe(const std::string& runner, const Json& body)
    {
        const std::scoped_lock lock(m_mutex);
        const Order order { runner, body.at("holder"), Clock::now() };
        m_record.write("order runner=" + runner + " holder=" + order.holder + " fence=" + body.at("fence").dump()
            + " version=" + body.at("version").dump());
        const auto before = m_last.find(runner);
        if (before != m_last.end() && before->second.holder != order.holder && order.at - m_servedAt >= thawSlack) {
            const auto apart = std::chrono::duration_cast<Milliseconds>(order.at - before->second.at);
            m_record.write("turn runner=" + runner + " from=" + before->second.holder + " to=" + order.holder
                + " apart_ms=" + std::to_string(apart.count()));
            if (apart < leaseTime) {
                m_record.write("BROKEN ONE: two holders within lease_ms");
                ++m_broken;
            }
        }
        m_last[runner] = order;
        m_holder = order.holder;
        ++m_orders;
    }

    std::string holder()
    {
        const std::scoped_lock lock(m_mutex);
        return m_holder;
    }
    int orders()
    {
        const std::scoped_lock lock(m_mutex);
        return m_orders;
    }
    int broken()
    {
        const std::scoped_lock lock(m_mutex);
        return m_broken;
    }

    void nameWeights()
    {
        ++m_version;
        m_record.write("operator names version " + std::to_string(m_version));
        m_store.put("op/version/m", Json { { "model", "m" }, { "version", m_version } }.dump());
    }
    long version() const { return m_version; }

    void setServed()
    {
        const std::scoped_lock lock(m_mutex);
        m_servedAt = Clock::now();
    }

private:
    Record& m_record;
    Store& m_store;
    std::mutex m_mutex;
    std::map<std::string, Order> m_last;
    std::string m_holder;
    Clock::time_point m_servedAt;
    int m_orders = 0;
    int m_broken = 0;
    long m_version = 1;
};

bool waitFor(Milliseconds time, const std::function<bool()>& condition)
{
    for (const auto until = Clock::now() + time; Clock::now() < until;) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(5));
    }
    return false;
}

enum class SceneResult { Held, Broken, NotPlayed };

/// Plays one scene with new processes.
SceneResult playScene(Record& record, std::mt19937& random)
{
    const bool trouble = hasTrouble();
    const auto drawTime = [&random](int most) { return Milliseconds(std::uniform_int_distribution(0, most)(random)); };
    const WorkFolder folder;
    const auto net = loopbackNet();
    Store store(net + "1");
    Play play(record, store);
    std::vector<std::unique_ptr<Runner>> runners;
    const auto serve = [&record](Runner& runner, Stream& stream, const Message& request) {
        const auto id = request.header("X-Request-Id");
        record.write("run " + id + " at " + runner.id());
        std::this_thread::sleep_for(Milliseconds(20));
        return Runner::beginEvents(stream, id) && stream.writeChunk(Runner::event(id, 1)) && stream.write("0\r\n\r\n");
    };
    for (int i = 0; i < 3; ++i) {
        runners.push_back(std::make_unique<Runner>(store, "i-" + std::to_string(i), "llm", "zone-a", 64,
            net + std::to_string(100 + i), serve,
            [&play](Runner& runner, const Json& body) { play.observe(runner.id(), body); }));
    }
    DesiredState state;
    state.routes.push_back(DesiredState::route("draft", "streaming", "llm", 6000, 800, 1, false));
    state.services.push_back(DesiredState::engineService("llm", 64));
    state.tenants.push_back(DesiredState::tenant("tenant-1", "key-1"));
    store.put("op/config", state.text(1));
    std::map<std::string, std::unique_ptr<Machine>> machines;
    for (const std::string name : { "edge-a-1", "edge-a-2" }) {
        machines[name] = std::make_unique<Machine>(
            name, "zone-a", net + (name == "edge-a-1" ? "11" : "12"), store.addressFor(name), folder.path());
        if (!machines[name]->start()) {
            return SceneResult::NotPlayed;
        }
    }
    for (const auto& [name, machine] : machines) {
        if (!machine->waitUntilReady(Milliseconds(10'000))) {
            record.write("not ready: " + name);
            return SceneResult::NotPlayed;
        }
    }
    std::atomic<bool> isOver { false };
    std::thread consumer([&] {
        for (int n = 1; !isOver; ++n) {
            const auto& machine = *machines.at(n % 2 == 0 ? "edge-a-1" : "edge-a-2");
            const auto id = "r" + std::to_string(n);
            record.write("send " + id + " to " + machine.name());
            const auto answer = request(machine.front(), "/draft/x", id,
                { { "Authorization", "Token key-1" }, { "X-Model", "m" }, { "X-Token-Count", "100,10" },
                    { "X-Prompt-Prefix", "5c1e07a2:80," + std::to_string(n) + ":20" } },
                2000);
            record.write("answer " + id + " " + std::to_string(answer.status));
            std::this_thread::sleep_for(Milliseconds(200));
        }
    });
    const auto areLoaded
        = [&] { return std::ranges::all_of(runners, [&](const auto& it) { return it->weights() == play.version(); }); };
    bool isPlayed = false;
    play.nameWeights();
    if (waitFor(Milliseconds(12'000), [&] { return play.orders() > 0 && areLoaded(); })) {
        const auto first = play.holder();
        const std::string second = first == "edge-a-1" ? "edge-a-2" : "edge-a-1";
        record.write(first + " gives the orders");
        std::this_thread::sleep_for(drawTime(900));
        if (trouble) {
            record.write("the store turns " + first + " away");
            store.setService(first, Service::Silent);
        }
        const auto troubleUntil = Clock::now() + Milliseconds(9000);
        // The other machine may give orders some 5 s after it.
        std::this_thread::sleep_for(Milliseconds(3500) + drawTime(3000));
        const auto before = play.orders();
        play.nameWeights();
        // The store serves the machine again before the limit, also if no orders are given.
        waitFor(Milliseconds(4000),
            [&] { return play.orders() > before || Clock::now() >= troubleUntil - Milliseconds(1000); });
        const auto last = play.holder();
        isPlayed = play.orders() > before && last == (trouble ? second : first);
        if (isPlayed) {
            std::this_thread::sleep_for(Milliseconds(50) + drawTime(350));
            record.write("SIGTERM to " + last);
            machines[last]->signal(SIGTERM);
            play.nameWeights();
            waitFor(Milliseconds(3000),
                [&] { return store.keysHolding(last + "/").empty() || Clock::now() >= troubleUntil; });
        }
        if (trouble) {
            record.write("the store serves " + first + " again");
            play.setServed();
            store.setService(first, Service::Serving);
        }
        waitFor(Milliseconds(4500), [&] { return play.broken() > 0; });
    }
    isOver = true;
    consumer.join();
    for (const auto& [name, machine] : machines) {
        machine->kill();
    }
    return play.broken() > 0 ? SceneResult::Broken : isPlayed ? SceneResult::Held : SceneResult::NotPlayed;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2) {
        return 2;
    }
    guardProcesses(std::chrono::seconds(118));
    Record record(argv[1]);
    std::mt19937 random(std::random_device {}());
    const auto end = Clock::now() + playTime;
    std::map<SceneResult, int> scenes;
    while (Clock::now() < end && scenes[SceneResult::Broken] == 0) {
        record.write("scene begins");
        ++scenes[playScene(record, random)];
    }
    const auto summary = "scenes: " + std::to_string(scenes[SceneResult::Held]) + " held, "
        + std::to_string(scenes[SceneResult::Broken]) + " broken, " + std::to_string(scenes[SceneResult::NotPlayed])
        + " not played";
    record.write(summary);
    std::cout << summary << "\n";
    return scenes[SceneResult::Broken] > 0 ? 1 : scenes[SceneResult::Held] > 0 ? 0 : 2;
}
