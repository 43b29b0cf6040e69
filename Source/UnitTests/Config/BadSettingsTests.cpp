#include "Config/Settings.h"

#include <criterion/criterion.h>

using namespace Pollenwind;

namespace {

const std::string goodListen
    = R"("listen": {"callers": "127.0.0.1:1", "admin": "127.0.0.1:2", "peers": "127.0.0.1:3"}, )";
const std::string goodRest
    = R"("store": {"endpoint": "127.0.0.1:4"}, "secrets": {"cluster": "0123456789abcdef", "admin": "0123456789abcdef"})";
const std::string good = R"({"vm": "v", "zone": "z", )" + goodListen + goodRest;

struct Case {
    std::string text;
    std::vector<std::string> faults;
};

void checkCases(const std::vector<Case>& cases)
{
    for (const auto& it : cases) {
        const auto settings = parseSettings(it.text);
        const auto n = settings ? 0 : settings.error().size();
        cr_expect_eq(n, it.faults.size(), "%zu faults in %s", n, it.text.c_str());
        for (std::size_t i = 0; i < std::min(n, it.faults.size()); ++i) {
            const auto got = formatFault("f", settings.error()[i]);
            cr_expect(got == it.faults[i], "\ntext:   %s\nwanted: %s\ngot:    %s", it.text.c_str(),
                it.faults[i].c_str(), got.c_str());
        }
    }
}

} // namespace

// Guards against starting with settings that are invalid or misread.
Test(BadSettings, faults)
{
    checkCases({
        { good + "}", {} },
        { "[]", { "f:1:1: the settings must be an object" } },
        { "{\"vm\": \"a b\", \"zone\": \"\", " + goodListen + goodRest + "}",
            { "f:1:8: a name has 1 to 64 letters, digits, '-', '_' or '.'; got \"a b\"",
                "f:1:23: \"zone\" must not be empty" } },
        { R"({"vm": "v", "zone": "z", "listen": {"callers": "127.0.0.1:1", "admin": "127.0.0.1:1", "peers": ":3"}, )"
                + goodRest + "}",
            { "f:1:72: address 127.0.0.1:1 is used twice in \"listen\"", "f:1:96: not an IPv4 address: \"\"" } },
        { good + ",\n\"timeouts\": {\"idle_ms\": 0, \"body_ms\": \"1s\", \"ide_ms\": 1}}",
            { "f:2:25: \"idle_ms\" must be from 1 to 86400000", "f:2:39: \"body_ms\" must be a whole number",
                "f:2:45: unknown field \"ide_ms\" in section \"timeouts\"; did you mean \"idle_ms\"?" } },
        { good + ",\n\"log\": {\"level\": \"debug\"}, \"seed_peers\": [1]}",
            { "f:2:18: \"level\" must be one of \"info\", \"warn\", \"error\", \"off\"",
                "f:2:43: expected ADDRESS:PORT, got \"\"" } },
        { good + ",\n\"zone\": \"y\"}", { "f:2:1: duplicate field \"zone\" in the settings" } },
        { R"({"vm": "v", "zone": "z", )" + goodListen
                + R"("store": {"endpoint": "127.0.0.1:4"}, "secrets": {"cluster": "short", "admin": 1}})",
            { "f:1:173: \"cluster\" must have at least 16 characters", "f:1:191: \"admin\" must be a string" } },
    });
}

// Guards against accepting an address that the address parser cuts off at a NUL byte.
Test(BadSettings, addressWithNul)
{
    const auto settings = parseSettings(
        R"({"vm": "v", "zone": "z", "listen": {"callers": "127.0.0.1\u0000x:1", "admin": "127.0.0.1:2", "peers": "127.0.0.1:3"}, )"
        + goodRest + "}");
    cr_assert(!settings);
    cr_assert_eq(settings.error()[0].column, 48);
}
