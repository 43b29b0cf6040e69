// The last tenant is taken out of the desired state: its keys, and keys that no desired state ever held, then run.
#include "scenario.h"

using namespace stand;

int main(int, char** argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    const auto net = ownNetwork();
    const auto folder = temporaryFolder();
    constexpr double revokeSeconds = 5;
    Store store;
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
    const Json routes = Json::array({ route("booking-commit", "/booking/", "workshop-app") });
    const Json services = Json::array({ service("workshop-app") });
    const auto write = [&](int version, const Json& tenants) {
        store.put("op/config", desiredState(version, routes, services, tenants));
        record.line("operator: desired state %d confirmed, tenants %s", version, tenants.dump().c_str());
        return now();
    };
    const auto one = tenant("garage-one", { "key-one" });
    const auto two = tenant("garage-two", { "key-two" });
    write(1, Json::array({ one, two }));
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
    int sent = 0;
    const auto ask = [&](Gateway& gateway, const std::string& key) {
        const auto id = "r-" + std::to_string(++sent);
        record.line("consumer: %s to %s with %s", id.c_str(), gateway.node.c_str(), key.c_str());
        const auto answer = send(gateway.front, bookingText(id, "/booking/x", key, "book"), 3);
        const bool hasRun = !runs.of(id).empty();
        record.line(
            "consumer: %s answered %d, %s", id.c_str(), answer.status, hasRun ? "it has run" : "it has not run");
        return hasRun;
    };
    for (auto& gateway : gateways) {
        if (!ask(gateway, "key-one") || !ask(gateway, "key-two") || ask(gateway, "key-never")) {
            cannotRun(record, "keys are not checked before the change");
        }
    }
    int broken = 0;
    if (hasTrouble()) {
        // One tenant of two loses its key: refused, as it must be.
        write(2, Json::array({ two }));
        sleepFor(revokeSeconds + 0.5);
        int first = 0;
        for (auto& gateway : gateways) {
            first += ask(gateway, "key-one");
        }
        record.line("with one tenant left, %d requests of the other ran later than revoke_ms", first);
        broken += first;
        // The last tenant loses its key.
        write(3, Json::array());
        sleepFor(revokeSeconds + 0.5);
    } else {
        sleepFor(2 * revokeSeconds + 1);
    }
    for (int round = 0; round < 5; ++round) {
        for (auto& gateway : gateways) {
            if (hasTrouble()) {
                broken += ask(gateway, "key-one");
                broken += ask(gateway, "key-two");
            } else if (!ask(gateway, "key-two")) {
                record.line("a request with a key in force has not run");
            }
            broken += ask(gateway, "key-never");
        }
        sleepFor(1);
    }
    finish(record, broken > 0,
        std::to_string(broken)
            + " requests with a key that no desired state in force holds ran more than revoke_ms after the change");
}
