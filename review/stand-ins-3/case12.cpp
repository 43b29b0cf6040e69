// Large desired states in quick succession: the memory of every gateway grows by each of them.
#include "scenario.h"

using namespace stand;

namespace {

/// Anonymous memory in MB: without the program's file and libraries, so less than the platform may count.
double anonymousMemory(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("RssAnon:")) {
            return std::atof(line.c_str() + 8) / 1024;
        }
    }
    return 0;
}

} // namespace

int main(int, char** argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    const auto net = ownNetwork();
    const auto folder = temporaryFolder();
    constexpr double seconds = 100;
    constexpr double stormSeconds = 4;
    constexpr double stormGap = 0.33;
    constexpr double stormPause = 1;
    Store store;
    Runs runs;
    Runner runner(store, "i-1", "workshop-app", "z-a");
    const auto serve = [&](Runner& self, const Request& request, Channel& channel) {
        const auto id = request.header("X-Request-Id");
        runs.add(id, self.id, self.service);
        sleepFor(0.03);
        return channel.write(answerText(200, self.stamped(id), "booked"));
    };
    if (!store.listen(net + "1") || !runner.start(net + "2", serve)) {
        cannotRun(record, "no loopback addresses");
    }
    const Json routes = Json::array({ route("booking-commit", "/booking/", "workshop-app") });
    const Json services = Json::array({ service("workshop-app") });
    const Json tenants = manyTenants(1'000'000);
    int version = 0;
    const auto write = [&] {
        const auto text = desiredState(++version, routes, services, tenants);
        store.put("op/config", text);
        record.line("operator: desired state %d of %zu bytes confirmed", version, text.size());
    };
    write();
    std::deque<Gateway> gateways;
    for (int n = 1; n <= 3; ++n) {
        auto& gateway = gateways.emplace_back(
            "edge-" + std::to_string(n), "z-a", net + std::to_string(10 + n), folder, store.address());
        gateway.start();
    }
    for (auto& gateway : gateways) {
        if (!gateway.waitReady(15)) {
            cannotRun(record, gateway.node + " is not ready");
        }
    }
    std::atomic<bool> isOver = false;
    std::atomic<int> kills = 0;
    std::map<std::string, int> killsOf;
    // The platform: a process that exceeds memory_mb is killed, and started again after a short delay.
    std::thread platform([&] {
        double shown = 0;
        while (!isOver) {
            for (auto& gateway : gateways) {
                if (gateway.hasEnded()) {
                    sleepFor(0.5);
                    gateway.start();
                    continue;
                }
                const double used = anonymousMemory(gateway.pid);
                if (used > gateway.memoryMb) {
                    ++kills;
                    ++killsOf[gateway.node];
                    record.line(
                        "platform: %s holds %.1f MB of memory, more than memory_mb = %d, and is killed (time %d)",
                        gateway.node.c_str(), used, gateway.memoryMb, killsOf[gateway.node]);
                    gateway.signal(SIGKILL);
                } else if (now() - shown > 5) {
                    record.line("platform: %s holds %.1f MB of memory", gateway.node.c_str(), used);
                    shown = &gateway == &gateways.back() ? now() : shown;
                }
            }
            sleepFor(0.05);
        }
    });
    std::atomic<int> lost = 0;
    std::atomic<int> sent = 0;
    std::vector<std::thread> consumers;
    for (auto& gateway : gateways) {
        for (int n = 0; n < 3; ++n) {
            consumers.emplace_back([&] {
                while (!isOver) {
                    const auto id = "r-" + std::to_string(++sent);
                    const auto answer
                        = send(gateway.front, bookingText(id, "/booking/x", "key1000001abcdefghij", "book"), 3);
                    const bool hasRun = !runs.of(id).empty();
                    if (answer.status == 0 && hasRun && !isOver) {
                        ++lost;
                        record.line("consumer: %s to %s has run and got no answer", id.c_str(), gateway.node.c_str());
                    }
                    sleepFor(0.05);
                }
            });
        }
    }
    const double begin = now();
    while (now() - begin < seconds) {
        if (!hasTrouble()) {
            sleepFor(1);
            continue;
        }
        for (const double until = now() + stormSeconds; now() < until;) {
            const double next = now() + stormGap;
            write();
            sleepFor(std::max(0.0, next - now()));
        }
        sleepFor(stormPause);
    }
    isOver = true;
    platform.join();
    for (auto& consumer : consumers) {
        consumer.join();
    }
    record.line("%d requests sent, %d desired states", sent.load(), version);
    finish(record, kills > 0,
        "processes exceeded memory_mb " + std::to_string(kills) + " times and were killed, with no other disturbance; "
            + std::to_string(lost) + " requests had run and got no answer");
}
