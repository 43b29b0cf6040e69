// The store comes back from a copy for the first time, and its first era was 0: a machine that starts meanwhile serves
// a withdrawn key.
#include "scenario.h"

using namespace stand;

int main(int, char** argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    const auto net = ownNetwork();
    const auto folder = temporaryFolder();
    constexpr double revokeSeconds = 5;
    constexpr double copyAge = 7;
    constexpr double awaySeconds = 2;
    constexpr double operatorDelay = 0.7;
    // With a first era of 1 the rule holds.
    const char* first = std::getenv("FIRST_ERA");
    Store store;
    store.era = first ? std::atoi(first) : 0;
    Runs runs;
    Runner runner(store, "i-1", "workshop-app", "z-a");
    const auto serve = [&](Runner& self, const Request& request, Channel& channel) {
        const auto id = request.header("X-Request-Id");
        runs.add(id, self.id, self.service);
        record.line(
            "runner %s runs %s, X-Tenant '%s'", self.id.c_str(), id.c_str(), request.header("X-Tenant").c_str());
        return channel.write(answerText(200, self.stamped(id), "booked"));
    };
    if (!store.listen(net + "1") || !runner.start(net + "2", serve)) {
        cannotRun(record, "no loopback addresses");
    }
    int version = 0;
    const auto write = [&](const std::vector<std::string>& keys) {
        const auto text = desiredState(++version, Json::array({ route("booking-commit", "/booking/", "workshop-app") }),
            Json::array({ service("workshop-app") }), Json::array({ tenant("garage", keys) }));
        store.put("op/config", text);
        record.line("operator: desired state %d confirmed with %zu keys", version, keys.size());
        return text;
    };
    write({ "key-old", "key-kept" });
    std::deque<Gateway> gateways;
    for (int n = 1; n <= 3; ++n) {
        auto& gateway = gateways.emplace_back(
            "edge-" + std::to_string(n), "z-a", net + std::to_string(10 + n), folder, store.address());
        gateway.start();
    }
    for (auto& gateway : gateways) {
        if (!gateway.waitReady(10)) {
            cannotRun(record, gateway.node + " is not ready");
        }
    }
    sleepFor(2);
    std::atomic<bool> isOver = false;
    std::atomic<double> withdrawnAt = 1e9;
    std::atomic<int> sent = 0;
    std::atomic<int> broken = 0;
    std::vector<std::thread> consumers;
    for (auto& gateway : gateways) {
        consumers.emplace_back([&] {
            while (!isOver) {
                const auto id = "r-" + std::to_string(++sent);
                const double sentAt = now();
                const auto answer = send(gateway.front, bookingText(id, "/booking/x", "key-old", "book"), 3);
                const bool isLate = sentAt > withdrawnAt + revokeSeconds;
                if (!runs.of(id).empty() && isLate) {
                    ++broken;
                    record.line("consumer: %s with the withdrawn key, sent to %s %.2f s after the confirmation, was "
                                "answered %d and has run",
                        id.c_str(), gateway.node.c_str(), sentAt - withdrawnAt, answer.status);
                }
                sleepFor(0.1);
            }
        });
    }
    const auto copy = store.copy();
    const double copiedAt = now();
    sleepFor(copyAge - revokeSeconds - 1.2);
    const auto newest = write({ "key-kept" });
    withdrawnAt = now();
    while (now() < copiedAt + copyAge) {
        sleepFor(0.01);
    }
    if (hasTrouble()) {
        record.line("the store goes away");
        store.isAway = true;
        gateways[0].signal(SIGKILL);
        record.line("edge-1 is killed");
        while (!gateways[0].hasEnded()) {
            sleepFor(0.01);
        }
        sleepFor(0.5);
        gateways[0].start();
        sleepFor(awaySeconds - 0.5);
        store.restore(*copy);
        record.line("the store is back from its copy of %.1f s ago, Store-Era %d", now() - copiedAt, store.era.load());
        runner.beat();
        sleepFor(operatorDelay);
        store.put("op/config", newest);
        record.line("operator: writes its desired state again");
    }
    sleepFor(6);
    isOver = true;
    for (auto& consumer : consumers) {
        consumer.join();
    }
    finish(record, broken > 0,
        std::to_string(broken)
            + " requests with the withdrawn key, sent later than revoke_ms after the confirmation, ran");
}
