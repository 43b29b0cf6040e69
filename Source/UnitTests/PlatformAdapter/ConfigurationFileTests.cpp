#include "platform/ConfigurationFile.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace Pollenwind;

namespace {

const std::string soundDocument = R"({"version": 3,
    "routes": [{"name": "r", "host": "shop.example", "prefix": "/a/", "kind": "safe", "service": "app",
        "timeout_ms": 1200, "goal_ms": 150, "priority": 2, "max_attempts": 2}],
    "services": [{"name": "app", "health_path": "/health"}],
    "tenants": [{"name": "org", "api_keys": ["secret-1", "secret-2"], "rate_per_s": 10, "burst": 20}]})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    cr_assert(at != std::string::npos, "%s", from.c_str());
    return text.replace(at, from.size(), to);
}

/// A folder with documents, which is removed in the end.
struct Documents {
    Documents()
    {
        std::string name = std::filesystem::temp_directory_path() / "configuration-XXXXXX";
        folder = mkdtemp(name.data());
    }
    ~Documents() { std::filesystem::remove_all(folder); }

    std::string write(const std::string& name, const std::string& text) const
    {
        std::ofstream(folder / name) << text;
        return folder / name;
    }

    int check(const std::string& path, const std::optional<std::string>& inForce = {})
    {
        std::ostringstream written;
        std::ostringstream errors;
        const auto code = checkConfigurationFile(path, inForce, written, errors);
        out = written.str();
        err = errors.str();
        return code;
    }

    std::filesystem::path folder;
    std::string out;
    std::string err;
};

} // namespace

// Exit codes: 0 without findings, 1 with findings, 2 for a file that cannot be read. Differences alone are 0.
Test(ConfigurationFile, tellsFindingsFromFilesThatCannotBeRead)
{
    Documents documents;
    const auto sound = documents.write("sound", soundDocument);
    cr_assert_eq(documents.check(sound), 0, "%s", documents.out.c_str());
    cr_assert(documents.out.empty() && documents.err.empty(), "%s", documents.out.c_str());
    const auto bad = documents.write("bad", replaced(soundDocument, "\"app\",", "\"gone\","));
    cr_assert_eq(documents.check(bad), 1);
    cr_assert_eq(documents.out, "never matches: route \"r\": the service \"gone\" is not defined\n", "%s",
        documents.out.c_str());
    for (const auto& text :
        { std::string(), std::string("[]"), std::string("{"), std::string("7"), std::string(100'000, '[') }) {
        cr_assert_eq(documents.check(documents.write("unreadable", text)), 2, "%s", text.substr(0, 9).c_str());
        cr_assert_eq(documents.check(sound, documents.folder / "unreadable"), 2, "%s", text.substr(0, 9).c_str());
    }
    cr_assert_eq(documents.check(documents.folder / "missing"), 2);
    cr_assert(documents.err.find("missing") != std::string::npos);
    cr_assert_eq(documents.check(documents.folder), 2, "a folder was read");
    const auto next = documents.write("next", replaced(soundDocument, "\"version\": 3", "\"version\": 4"));
    cr_assert_eq(documents.check(next, sound), 0);
    cr_assert_eq(documents.check(sound, next), 1);
    cr_assert(documents.out.find("3 does not follow 4") != std::string::npos, "%s", documents.out.c_str());
}

// Guards against fields that gateways silently read as missing, such as a kind with a typing error, which makes its
// requests run at most once.
Test(ConfigurationFile, findsFieldsThatGatewaysIgnore)
{
    struct Case {
        const char* from;
        const char* to;
        const char* line;
    };
    Documents documents;
    for (const auto& it : {
             Case { "\"safe\"", "\"save\"", "error: routes[0]: \"kind\" has an unknown kind" },
             Case { "1200", "\"1200\"", "error: routes[0]: \"timeout_ms\" has another type" },
             Case { "1200", "-1", "error: routes[0]: \"timeout_ms\" has another type or is out of range" },
             Case { "\"max_attempts\": 2", "\"max_attempts\": 1.5", "error: routes[0]: \"max_attempts\"" },
             Case { "\"host\": \"shop.example\", ", "", "error: routes[0]: \"host\" is missing" },
             Case { "\"version\": 3", "\"version\": \"3\"", "error: document: \"version\"" },
             Case { "[{\"name\": \"app\"", "[7, {\"name\": \"app\"", "error: services[0]: is not an object" },
             Case { "[{\"name\": \"app\"", "[{\"name\": \"app\"}, {\"name\": \"app\"",
                 "error: services[1]: the service \"app\" is there more than once" },
             Case { "\"/health\"", "\"/health\", \"kv_store_addr\": \"x\"",
                 "error: services[0]: \"kv_store_addr\" is not ADDRESS:PORT" },
             Case {
                 "\"/health\"", "\"/health\", \"engine\": {\"slots\": \"8\"}", "error: services[0].engine: \"slots\"" },
             Case { "\"secret-2\"", "7", "error: tenants[0].api_keys[1]: is not a text" },
             Case { "\"burst\": 20", "\"burst\": true", "error: tenants[0]: \"burst\"" },
             Case { "\"version\": 3", "\"version\": 3, \"limits\": {\"max_body_bytes\": -1}",
                 "error: limits: \"max_body_bytes\"" },
         }) {
        cr_assert_eq(documents.check(documents.write("odd", replaced(soundDocument, it.from, it.to))), 1, "%s", it.to);
        cr_assert(documents.out.find(it.line) != std::string::npos, "%s: %s", it.to, documents.out.c_str());
    }
}

// Guards against a key in the output of a check, which is kept in logs of deployments.
Test(ConfigurationFile, writesNoKey)
{
    Documents documents;
    const auto sound = documents.write("sound", soundDocument);
    const auto next = replaced(soundDocument, "\"secret-2\"", "\"secret-3\", \"secret-1\"");
    cr_assert_eq(documents.check(documents.write("next", next), sound), 1);
    cr_assert(documents.out.find("keys: 1 added, 1 withdrawn") != std::string::npos, "%s", documents.out.c_str());
    cr_assert(documents.out.find("key 3 is also key 1 of organisation \"org\"") != std::string::npos, "%s",
        documents.out.c_str());
    documents.check(documents.write("cut", next.substr(0, next.find("secret-3") + 8)), sound);
    cr_assert_eq((documents.out + documents.err).find("secret"), std::string::npos, "%s", documents.err.c_str());
    documents.check(documents.folder / "next", sound);
    cr_assert_eq((documents.out + documents.err).find("secret"), std::string::npos, "%s", documents.out.c_str());
}
