// A roll-out to a bad version: every second of its answers is a failure with status 504 or 404. It is declared
// complete.
#include "scenario.h"

using namespace stand;

int main(int, char** argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    const auto net = ownNetwork();
    const auto folder = temporaryFolder();
    constexpr double duration = 30;
    constexpr double rollbackSeconds = 5;
    constexpr int badAnswersAllowed = 50;
    const bool isBad = hasTrouble();
    Store store;
    std::mutex mutex;
    std::map<std::string, double> sentAt;
    int total = 0;
    int toTarget = 0;
    int bad = 0;
    int late = 0;
    double orderedAt = 0;
    double fiftiethAt = 0;
    std::deque<Runner> runners;
    const auto serve = [&](Runner& self, const Request& request, Channel& channel) {
        const auto id = request.header("X-Request-Id");
        sleepFor(0.03);
        int status = 200;
        {
            const std::lock_guard lock(mutex);
            const bool isTarget = self.version == "v2";
            const double sent = sentAt[id];
            if (orderedAt > 0) {
                ++total;
                toTarget += isTarget;
                late += isTarget && fiftiethAt > 0 && sent > fiftiethAt + rollbackSeconds;
            }
            if (isTarget && isBad && toTarget % 2 == 0) {
                ++bad;
                status = bad % 2 == 0 ? 404 : 504;
                if (bad == badAnswersAllowed) {
                    fiftiethAt = now();
                    record.line("the new version gives its bad answer number %d", bad);
                }
            }
        }
        record.line("runner %s (%s) runs %s and answers %d", self.id.c_str(), self.version.c_str(), id.c_str(), status);
        return channel.write(answerText(status, self.stamped(id), status == 200 ? "booked" : "failed"));
    };
    if (!store.listen(net + "1")) {
        cannotRun(record, "no loopback addresses");
    }
    const auto add = [&](int number, const std::string& version) {
        auto& runner = runners.emplace_back(store, "i-" + std::to_string(number), "workshop-app", "z-a");
        runner.version = version;
        runner.slots = 6;
        runner.start(net + "2", serve);
    };
    for (int n = 1; n <= 3; ++n) {
        add(n, "v1");
    }
    store.put("op/config",
        desiredState(1, Json::array({ route("booking-commit", "/booking/", "workshop-app") }),
            Json::array({ service("workshop-app") }), Json::array({ tenant("garage", { "key" }) })));
    std::deque<Gateway> gateways;
    for (int n = 1; n <= 3; ++n) {
        gateways.emplace_back("edge-" + std::to_string(n), "z-a", net + std::to_string(10 + n), folder, store.address())
            .start();
    }
    for (auto& gateway : gateways) {
        if (!gateway.waitReady(10)) {
            cannotRun(record, gateway.node + " is not ready");
        }
    }
    std::atomic<bool> isOver = false;
    std::atomic<int> sent = 0;
    std::map<int, int> answers;
    std::vector<std::thread> consumers;
    for (auto& gateway : gateways) {
        for (int n = 0; n < 4; ++n) {
            consumers.emplace_back([&] {
                while (!isOver) {
                    const auto id = "r-" + std::to_string(++sent);
                    {
                        const std::lock_guard lock(mutex);
                        sentAt[id] = now();
                    }
                    const auto answer = send(gateway.front, bookingText(id, "/booking/x", "key", "book"), 3);
                    {
                        const std::lock_guard lock(mutex);
                        ++answers[answer.status];
                    }
                    sleepFor(0.1);
                }
            });
        }
    }
    sleepFor(6);
    for (int n = 4; n <= 6; ++n) {
        add(n, "v2");
    }
    sleepFor(2);
    store.put("op/rollout/workshop-app",
        Json { { "service", "workshop-app" }, { "target", "v2" }, { "duration_s", duration } }.dump());
    {
        const std::lock_guard lock(mutex);
        orderedAt = now();
    }
    record.line("operator: roll-out of workshop-app to v2 within %.0f s confirmed", duration);
    std::string status;
    for (const double until = now() + duration + 15; now() < until; sleepFor(0.05)) {
        const auto written = store.get("status/rollout/workshop-app").value_or("");
        if (written != status) {
            status = written;
            record.line("status/rollout/workshop-app = %s", status.c_str());
        }
    }
    isOver = true;
    for (auto& consumer : consumers) {
        consumer.join();
    }
    record.line("%d requests reached the service since the order, %d of them v2, which gave %d bad answers", total,
        toTarget, bad);
    for (const auto& [code, count] : answers) {
        record.line("consumers got %d answers with status %d", count, code);
    }
    finish(record, late > 0,
        std::to_string(late)
            + " requests, sent more than rollback_ms after the 50th bad answer of the new version, reached it; the "
              "last status is "
            + status);
}
