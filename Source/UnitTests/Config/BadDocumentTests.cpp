#include "Config/Queries/CheckDocument.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace Pollenwind;
using namespace std::string_literals;

namespace {

struct Case {
    std::string text;
    /// All faults, formatted, in order.
    std::vector<std::string> faults;
};

std::vector<std::string> faultsOf(const std::string& text)
{
    std::vector<std::string> lines;
    const auto document = checkDocument(text);
    if (!document) {
        for (const auto& it : document.error()) {
            lines.push_back(formatFault("f", it));
        }
    }
    return lines;
}

void checkCases(const std::vector<Case>& cases)
{
    for (const auto& it : cases) {
        const auto found = faultsOf(it.text);
        for (std::size_t i = 0; i < std::max(found.size(), it.faults.size()); ++i) {
            const auto wanted = i < it.faults.size() ? it.faults[i] : "(no fault)";
            const auto got = i < found.size() ? found[i] : "(no fault)";
            cr_expect(
                got == wanted, "\ntext:   %s\nwanted: %s\ngot:    %s", it.text.c_str(), wanted.c_str(), got.c_str());
        }
    }
}

} // namespace

// Guards against syntax faults that are accepted, or reported at another position than the offending token.
Test(BadDocument, syntax)
{
    checkCases({
        { "",
            { "f:1:1: JSON syntax error while parsing value - unexpected end of input; expected '[', '{', or a "
              "literal" } },
        { "[1,,2]",
            { "f:1:4: JSON syntax error while parsing value - unexpected ','; expected '[', '{', or a literal" } },
        { "{\"a\" 1}",
            { "f:1:6: JSON syntax error while parsing object separator - unexpected number literal; expected ':'" } },
        { "{\"a\": 1\n \"b\": 2}",
            { "f:2:2: JSON syntax error while parsing object - unexpected string literal; expected '}'" } },
        { "{\"zones\": [\"a\"],}",
            { "f:1:17: JSON syntax error while parsing object key - unexpected '}'; expected string literal" } },
        { "{\"a\": tru}", { "f:1:7: JSON syntax error while parsing value - invalid literal" } },
        { "{\"a\": \"b", { "f:1:7: JSON syntax error while parsing value - invalid string: missing closing quote" } },
        { "{\"a\": \"\\ud800\"}",
            { "f:1:7: JSON syntax error while parsing value - invalid string: surrogate U+D800..U+DBFF must be "
              "followed "
              "by U+DC00..U+DFFF" } },
        { "{\"zones\": [\"a\"]} x", { "f:1:18: JSON syntax error while parsing value - invalid literal" } },
        { "{\"zones\": [\"a\"]}\n/* x",
            { "f:2:5: JSON syntax error while parsing value - invalid comment; missing closing '*/'" } },
        { "{\"zones\": [\"a\"], \"x\": 1e999}", { "f:1:23: JSON number overflow parsing '1e999'" } },
    });
}

// Guards against accepting NUL bytes and invalid UTF-8: the JSON parser ends the text at a NUL byte and does not check
// comments.
Test(BadDocument, bytes)
{
    checkCases({
        { "{\"zones\": [\"a\"]}\n\0garbage"s, { "f:2:1: NUL byte" } },
        { "{\"zones\": [\"a\\u0000\"]}",
            { "f:1:12: a name has 1 to 64 letters, digits, '-', '_' or '.'; got \"a\\x00\"" } },
        { "// \xff\n{\"zones\": [\"a\"]}", { "f:1:4: invalid UTF-8" } },
        { "{\"zones\": [\"\xc0\xaf\"]}", { "f:1:13: invalid UTF-8" } },
        { "{\"zones\": [\"\xed\xa0\x80\"]}", { "f:1:13: invalid UTF-8" } },
        { "{\"zones\": [\"\xf4\x90\x80\x80\"]}", { "f:1:13: invalid UTF-8" } },
        { "{\"zones\": [\"\xe2\x82", { "f:1:13: invalid UTF-8" } },
        { "// \xe2\x82\xac \xf0\x9f\x9a\x90 \xc3\xb3\n{\"zones\": [\"a\"]}", {} },
        { "\xef\xbb\xbf{\"zones\": [\"a\"]}", {} },
        { "{\"zones\": [\"a\"], \"\\u001b[2J\": 1}", { "f:1:18: unknown field \"\\x1b[2J\" in the service document" } },
    });
}

// Guards against wrong positions after comments, escapes, numbers and line ends.
Test(BadDocument, positions)
{
    checkCases({
        { "/* a\n*/ {\"zones\": [\"a\", /*,*/ 1.5e3 // \"x\"\n , null]}",
            { "f:2:26: a zone must be a string", "f:3:4: a zone must be a string" } },
        { "{\"zo\\u006ees\": [\"a\"],\r\n \"\\\"\\\\\": [-0, {\"]\": 1}], \"zones\": 2}",
            { "f:2:2: unknown field \"\"\\\" in the service document",
                "f:2:26: duplicate field \"zones\" in the service document" } },
    });
}

// Guards against deeply nested input, which could exhaust the stack of recursive readers.
Test(BadDocument, depth)
{
    const std::string deep(33, '[');
    checkCases({
        { "{\"zones\": " + std::string(31, '[') + std::string(31, ']') + "}",
            { "f:1:11: the service document needs at least one zone in \"zones\"",
                "f:1:12: a zone must be a string" } },
        { deep, { "f:1:33: nested deeper than 32 levels" } },
        { std::string(200'000, '['), { "f:1:33: nested deeper than 32 levels" } },
    });
}

// Guards against semantic faults that are accepted or reported at another position.
Test(BadDocument, meaning)
{
    checkCases({
        { "[]", { "f:1:1: the service document must be an object" } },
        { "{}", { "f:1:1: the service document needs at least one zone in \"zones\"" } },
        { R"({"zones": ["a", "a", "b c"]})",
            { "f:1:17: duplicate zone \"a\"",
                "f:1:22: a name has 1 to 64 letters, digits, '-', '_' or '.'; got \"b c\"" } },
        { R"({"zones": ["a"], "servces": {}})",
            { "f:1:18: unknown field \"servces\" in the service document; did you mean \"services\"?" } },
        { R"({"zones": ["a"], "services": {"s": {"version": 1, "kind": "modle", "piece_tokens": 1.5}}})",
            { "f:1:48: \"version\" must be a string",
                "f:1:59: \"kind\" must be one of \"model\", \"plain\", \"cache-store\"",
                "f:1:84: \"piece_tokens\" must be a whole number" } },
        { R"({"zones": ["a"], "services": {"s": {"version": "v"}, "s": {"version": "w"}}})",
            { "f:1:54: duplicate name \"s\" in \"services\"" } },
        { R"({"zones": ["a"], "services": {"p": {"version": "v", "kind": "plain"}}})",
            { "f:1:31: plain service \"p\" needs at least one route" } },
        { R"({"zones": ["a"], "organisations": {"o": {"rate": -1, "burst": "x", "rate": 2}}})",
            { "f:1:50: \"rate\" must be from 0 to 1000000000000", "f:1:63: \"burst\" must be a number",
                "f:1:68: duplicate field \"rate\" in organisation \"o\"" } },
        { R"({"zones": ["a"], "organisations": {"o": {"rate": 1}}})",
            { "f:1:41: organisation \"o\" lacks the field \"burst\"" } },
    });
}

// Guards against unresolved references, dependency cycles, and upstreams that two services share.
Test(BadDocument, references)
{
    checkCases({
        { R"({"zones": ["a"], "services": {"fitter": {"version": "v", "depends_on": ["fiter", 1, "fitter"]}}})",
            { "f:1:73: unknown service \"fiter\"; did you mean \"fitter\"?",
                "f:1:82: a dependency must be the name of a service", "f:1:85: dependency cycle: fitter -> fitter" } },
        { R"({"zones": ["a"], "services": {"a": {"version": "v", "depends_on": ["b"]},
 "b": {"version": "v", "depends_on": ["c"]}, "c": {"version": "v", "depends_on": ["a", "b"]}}})",
            { "f:2:83: dependency cycle: a -> b -> c -> a", "f:2:88: dependency cycle: b -> c -> b" } },
        { R"({"zones": ["a"], "services": {"s": {"version": "v", "upstreams": [
 {"name": "u", "address": "127.0.0.1:1", "zone": "b"}, {"name": "u", "address": "127.0.0.1:1", "zone": "a"},
 {"name": "w", "address": "localhost:1", "zone": "a"}, {"name": "x", "address": "127.0.0.1:0", "zone": "a"}]}}})",
            { "f:2:50: unknown zone \"b\"", "f:2:65: duplicate upstream \"u\"",
                "f:2:81: address 127.0.0.1:1 is used by another upstream", "f:3:27: not an IPv4 address: \"localhost\"",
                "f:3:81: not a port: \"0\"" } },
        { R"({"zones": ["a"], "services": {"p": {"version": "v", "kind": "plain", "routes": [
 {"method": "GET", "path": "/a"}, {"method": "GET", "path": "/a"}, {"method": "get", "path": "a?b"},
 {"method": "GET", "path": "/v1/x"}]}}})",
            { "f:2:61: duplicate route GET /a", "f:2:79: \"method\" must be GET, HEAD, POST, PUT, PATCH or DELETE",
                "f:2:94: \"path\" must not hold '?', '#' or white space", "f:2:94: \"path\" must start with '/'",
                "f:3:28: paths under /v1/ and /health belong to the router" } },
    });
}

// Guards against exhausting the call stack with a long chain of dependencies, and against documents that exceed the
// store's limit for one value.
Test(BadDocument, size)
{
    std::string chain = "{\"zones\":[\"a\"],\"services\":{";
    constexpr int n = 10'000;
    for (int i = 0; i < n; ++i) {
        chain += "\"s" + std::to_string(i) + "\":{\"version\":\"v\",\"depends_on\":[\"s" + std::to_string((i + 1) % n)
            + "\"]},";
    }
    chain.back() = '}';
    const auto faults = faultsOf(chain + "}");
    cr_assert_eq(faults.size(), 1);
    cr_assert(faults[0].find("dependency cycle: s0 -> s1 -> ") != std::string::npos);
    checkCases({ { "{\"zones\":[\"a\"]" + std::string(700'000, ' ') + "}",
        { "f:1:655361: the document has more than 655360 bytes" } } });
}

// Guards against quadratic time and unlimited output for a document full of faults.
Test(BadDocument, countsFaultsBeyondTheFirstHundred)
{
    std::string text = "{\"zones\": [";
    for (int i = 0; i < 20'000; ++i) {
        text += "1,\n";
    }
    const auto faults = faultsOf(text + "\"a\"]}");
    cr_assert_eq(faults.size(), 101);
    cr_assert(faults.back() == "f:101:1: 19900 more faults", "%s", faults.back().c_str());
}
