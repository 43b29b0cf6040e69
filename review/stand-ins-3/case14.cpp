// An entry of another writer, with fields missing, stands under a runner's id: requests go to the wrong service.
#include "scenario.h"

using namespace stand;

int main(int, char** argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    const auto net = ownNetwork();
    const auto folder = temporaryFolder();
    Store store;
    Runs runs;
    Runner booking(store, "i-1", "workshop-app", "z-a");
    Runner stock(store, "i-2", "stock-app", "z-a");
    const auto serve = [&](Runner& self, const Request& request, Channel& channel) {
        const auto id = request.header("X-Request-Id");
        runs.add(id, self.id, self.service);
        sleepFor(0.03);
        return channel.write(answerText(200, self.stamped(id), self.service));
    };
    if (!store.listen(net + "1") || !booking.start(net + "2", serve) || !stock.start(net + "2", serve)) {
        cannotRun(record, "no loopback addresses");
    }
    const Json routes = Json::array(
        { route("booking-commit", "/booking/", "workshop-app"), route("stock-order", "/stock/", "stock-app") });
    store.put("op/config",
        desiredState(1, routes, Json::array({ service("workshop-app"), service("stock-app") }),
            Json::array({ tenant("garage", { "key" }) })));
    std::deque<Gateway> gateways;
    for (int n = 1; n <= 2; ++n) {
        auto& gateway = gateways.emplace_back(
            "edge-" + std::to_string(n), "z-a", net + std::to_string(10 + n), folder, store.address());
        gateway.start();
    }
    for (auto& gateway : gateways) {
        if (!gateway.waitReady(10)) {
            cannotRun(record, gateway.node + " is not ready");
        }
    }
    std::atomic<bool> isOver = false;
    std::atomic<int> sent = 0;
    std::atomic<int> wrong = 0;
    std::vector<std::thread> consumers;
    for (auto& gateway : gateways) {
        for (int n = 0; n < 6; ++n) {
            consumers.emplace_back([&, isStock = n % 3 != 0] {
                while (!isOver) {
                    const auto id = "r-" + std::to_string(++sent);
                    const std::string expected = isStock ? "stock-app" : "workshop-app";
                    const auto answer
                        = send(gateway.front, bookingText(id, isStock ? "/stock/x" : "/booking/x", "key", "order"), 3);
                    for (const auto& run : runs.of(id)) {
                        if (run.service != expected) {
                            ++wrong;
                            record.line("%s, sent to %s on a route to %s, was run by %s (%s); the consumer got %d '%s'",
                                id.c_str(), gateway.node.c_str(), expected.c_str(), run.runner.c_str(),
                                run.service.c_str(), answer.status, answer.body.c_str());
                        }
                    }
                    sleepFor(0.05);
                }
            });
        }
    }
    // Without version, seq, cold_left_ms and born.
    const Json foreign { { "service", "stock-app" }, { "address", booking.address() }, { "zone", "z-a" },
        { "slots", 16 }, { "state", "ready" } };
    sleepFor(3);
    for (int n = 0; n < 10; ++n) {
        if (hasTrouble()) {
            store.put("servers/i-1", foreign.dump());
            record.line("another writer: servers/i-1 = %s", foreign.dump().c_str());
        }
        sleepFor(2);
    }
    isOver = true;
    for (auto& consumer : consumers) {
        consumer.join();
    }
    record.line("%d requests sent", sent.load());
    finish(record, wrong > 0,
        std::to_string(wrong) + " requests were run by a service to which no desired state leads them");
}
