// A machine is frozen while large desired states come in quick succession, and goes on with the old one for many
// seconds.
#include "scenario.h"

using namespace stand;

int main(int, char** argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    const auto net = ownNetwork();
    const auto folder = temporaryFolder();
    constexpr double freezeSeconds = 4;
    constexpr double stormSeconds = 4;
    constexpr double stormGap = 0.33;
    constexpr double contactSeconds = 3;
    constexpr double applySeconds = 2;
    Store store;
    Runs runs;
    Runner before(store, "i-1", "workshop-app", "z-a");
    Runner after(store, "i-2", "workshop-app-new", "z-a");
    const auto serve = [&](Runner& self, const Request& request, Channel& channel) {
        const auto id = request.header("X-Request-Id");
        runs.add(id, self.id, self.service);
        record.line("runner %s of %s runs %s", self.id.c_str(), self.service.c_str(), id.c_str());
        return channel.write(answerText(200, self.stamped(id), self.service));
    };
    if (!store.listen(net + "1") || !before.start(net + "2", serve) || !after.start(net + "2", serve)) {
        cannotRun(record, "no loopback addresses");
    }
    const Json services = Json::array({ service("workshop-app"), service("workshop-app-new") });
    const Json tenants = manyTenants(900'000);
    int version = 0;
    const auto write = [&](const std::string& target) {
        const Json routes = Json::array(
            { route("booking-commit", "/booking/", target), route("stock-read", "/stock/", target, true) });
        const auto text = desiredState(++version, routes, services, tenants);
        store.put("op/config", text);
        record.line("operator: desired state %d of %zu bytes confirmed, routes lead to %s", version, text.size(),
            target.c_str());
        return now();
    };
    write("workshop-app");
    Gateway frozen("edge-1", "z-a", net + "11", folder, store.address());
    Gateway other("edge-2", "z-a", net + "12", folder, store.address());
    frozen.start();
    other.start();
    if (!frozen.waitReady(15) || !other.waitReady(15)) {
        cannotRun(record, "a gateway is not ready");
    }
    sleepFor(2);
    double thawedAt = now() - contactSeconds;
    double confirmedAt = 0;
    if (hasTrouble()) {
        frozen.signal(SIGSTOP);
        record.line("edge-1 freezes");
        const double frozenAt = now();
        bool isThawed = false;
        const auto thawIfDue = [&] {
            if (!isThawed && now() - frozenAt >= freezeSeconds) {
                frozen.signal(SIGCONT);
                thawedAt = now();
                isThawed = true;
                record.line("edge-1 wakes again");
            }
        };
        for (const double until = now() + stormSeconds; now() < until; thawIfDue()) {
            const double next = now() + stormGap;
            // The routes move in the middle of the storm.
            const bool isMoved = until - now() < stormSeconds / 2;
            const double at = write(isMoved ? "workshop-app-new" : "workshop-app");
            confirmedAt = isMoved && confirmedAt == 0 ? at : confirmedAt;
            sleepFor(std::max(0.0, next - now()));
        }
        while (!isThawed) {
            sleepFor(0.01);
            thawIfDue();
        }
    } else {
        confirmedAt = write("workshop-app-new");
        sleepFor(freezeSeconds);
    }
    int sent = 0;
    int broken = 0;
    int brokenAtOther = 0;
    for (const double until = now() + 24; now() < until; sleepFor(0.25)) {
        for (auto* gateway : { &frozen, &other }) {
            const auto id = "r-" + std::to_string(++sent);
            const double sentAt = now();
            const auto answer = send(gateway->front, bookingText(id, "/stock/x", "", "read"), 3);
            const auto ran = runs.of(id);
            const bool isOld = !ran.empty() && ran.front().service == "workshop-app";
            const bool isInTouch = gateway == &other || sentAt - thawedAt >= contactSeconds;
            const bool isBroken = isOld && isInTouch && sentAt > confirmedAt + applySeconds;
            record.line("consumer: %s to %s answered %d by %s%s", id.c_str(), gateway->node.c_str(), answer.status,
                answer.body.substr(0, 40).c_str(), isBroken ? ": the old desired state" : "");
            (gateway == &frozen ? broken : brokenAtOther) += isBroken;
        }
    }
    finish(record, broken + brokenAtOther > 0,
        std::to_string(broken)
            + " requests at edge-1, in touch, were run by the service of a desired state that was replaced more than "
              "config_apply_ms before; at edge-2 "
            + std::to_string(brokenAtOther));
}
