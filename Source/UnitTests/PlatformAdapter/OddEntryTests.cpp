#include "platform/PlatformRecords.h"

#include <criterion/criterion.h>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

Outcome<DecodedRecord> decode(const std::string& key, const std::string& value)
{
    return PlatformRecords().decode({ key, value, 1, LeaseId() });
}

} // namespace

// Guards against undefined conversions and overflowing times when a number of the operator's records is out of range.
Test(PlatformRecords, readsRecordsWithNumbersOutOfRange)
{
    for (const auto* number :
        { "1e300", "-1e300", "1e18", "-1", "1.5", "99999999999999999999", "18446744073709551615", "\"7\"", "null" }) {
        const std::string value = number;
        const auto configuration = decode("op/config",
            R"({"version":)" + value + R"(,"routes":[{"name":"r","prefix":"/","service":"a","timeout_ms":)" + value
                + R"(,"goal_ms":)" + value + R"(,"priority":)" + value + R"(,"max_attempts":)" + value
                + R"(}],"services":[{"name":"a","max_conns":)" + value + R"(,"engine":{"slots":)" + value
                + R"(,"kv_capacity":)" + value + R"(}}],"tenants":[{"name":"t","priority":)" + value
                + R"(}],"limits":{"max_header_bytes":)" + value + R"(,"max_body_bytes":)" + value
                + R"(,"header_timeout_ms":)" + value + R"(,"idle_timeout_ms":)" + value + "}}");
        cr_assert(configuration.has_value(), "%s", number);
        const auto& routing = std::get<RoutingConfiguration>(*configuration);
        const auto& route = routing.routes.at(0);
        for (const auto time :
            { route.timeout, route.objective, routing.limits.headerTimeout, routing.limits.idleTimeout }) {
            cr_assert(time >= 0ms && time <= 24h * 366, "%s: %lld ms", number, static_cast<long long>(time.count()));
        }
        cr_assert(route.maxAttempts >= 1 && route.maxAttempts <= 1000 && routing.limits.bodyBytes > 0, "%s", number);
        const auto order = decode("op/rollout/a", R"({"service":"a","target":"v2","duration_s":)" + value + "}");
        if (order) {
            const auto duration = std::get<RolloutOrder>(*order).duration;
            cr_assert(duration > 0ms && duration <= 24h * 366, "%s", number);
        }
        cr_assert(
            !decode("op/version/m", R"({"model":"m","version":)" + value + "}") || value == "\"7\"", "%s", number);
    }
}
