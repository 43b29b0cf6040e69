#include "Http/CallerCodec.h"

#include <criterion/criterion.h>

using namespace Pollenwind;
using CallerCodec::CompletionForm;
using namespace std::string_literals;

namespace {

struct Case {
    std::string body;
    std::string message;
};

void checkCases(CompletionForm form, const std::vector<Case>& cases)
{
    for (const auto& it : cases) {
        const auto decoded = CallerCodec::decodeCompletion(it.body, form);
        const auto message = decoded ? std::string("accepted") : decoded.error().message;
        cr_expect(message == it.message, "\nbody:   %.80s\nwanted: %s\ngot:    %s", it.body.c_str(), it.message.c_str(),
            message.c_str());
        cr_expect(decoded || decoded.error().code == ErrorCode::Malformed);
        cr_expect(decoded || decoded.error().runState == RunState::NotRun);
    }
}

std::string textBody(const std::string& field) { return R"({"model": "m", "prompt": "p", )" + field + "}"; }

} // namespace

// Guards against malformed bodies that are accepted, or whose error message names the wrong field.
Test(CallerCodec, refusesMalformedBodies)
{
    const std::string notObject = "the body must be a JSON object";
    checkCases(CompletionForm::Text,
        { { "", notObject }, { "[]", notObject }, { "{", notObject }, { "{} {}", notObject },
            { "{\"model\": \"m\", \"prompt\": \"\xff\"}", notObject },
            { "{\"model\": \"m\", \"prompt\": \"\\ud800\"}", notObject }, { "{/**/}", notObject },
            { "{\"model\": \"m\", \"prompt\": \"p\"}\0x"s, "the body holds a NUL byte" },
            { "{}", "\"model\" must be a string" }, { R"({"model": 1})", "\"model\" must be a string" },
            { R"({"model": ""})", "\"model\" must have 1 to 64 characters" },
            { "{\"model\": \"" + std::string(65, 'm') + "\"}", "\"model\" must have 1 to 64 characters" },
            { R"({"model": "m"})", "\"prompt\" must be a string" },
            { R"({"model": "m", "prompt": ["p"]})", "\"prompt\" must be a string" },
            { textBody(R"("stream": 1)"), "\"stream\" must be true or false" },
            { textBody(R"("stream": null, "max_tokens": null, "priority": null)"), "accepted" } });
    checkCases(CompletionForm::Chat,
        { { R"({"model": "m"})", "\"messages\" must be a non-empty array" },
            { R"({"model": "m", "messages": []})", "\"messages\" must be a non-empty array" },
            { R"({"model": "m", "messages": ["hello"]})", "each message needs the strings \"role\" and \"content\"" },
            { R"({"model": "m", "messages": [{"role": "user", "content": 1}]})",
                "each message needs the strings \"role\" and \"content\"" } });
}

// Guards against numbers that overflow, wrap around or lose their fraction: abs(-2^63) is undefined behaviour, and a
// conversion to a signed type reads 2^64-1 as -1.
Test(CallerCodec, refusesNumbersOutOfRange)
{
    const std::string priority = "\"priority\" must be a whole number from -100 to 100";
    const std::string tokens = "\"max_tokens\" must be a whole number from 1 to 1000000";
    checkCases(CompletionForm::Text,
        { { textBody(R"("priority": 18446744073709551615)"), priority },
            { textBody(R"("priority": -9223372036854775808)"), priority }, { textBody(R"("priority": 101)"), priority },
            { textBody(R"("priority": 1.5)"), priority }, { textBody(R"("priority": "1")"), priority },
            { textBody(R"("priority": -100)"), "accepted" }, { textBody(R"("max_tokens": 0)"), tokens },
            { textBody(R"("max_tokens": -1)"), tokens }, { textBody(R"("max_tokens": 4294967297)"), tokens },
            { textBody(R"("max_tokens": 1e3)"), tokens },
            { textBody(R"("max_tokens": 1e999)"), "the body must be a JSON object" },
            { textBody(R"("max_completion_tokens": 1000001)"),
                "\"max_completion_tokens\" must be a whole number from 1 to 1000000" } });
}

// Guards against bodies whose parsed tree takes a multiple of their size in memory.
Test(CallerCodec, refusesDeepNesting)
{
    const std::string refused = "the body is nested deeper than 64 levels";
    checkCases(CompletionForm::Text,
        { { std::string(1'000'000, '['), refused },
            { textBody("\"x\": " + std::string(64, '[') + std::string(64, ']')), refused },
            { textBody("\"x\": " + std::string(63, '[') + std::string(63, ']')), "accepted" },
            { textBody("\"x\": \"\\\"" + std::string(100, '{') + "\""), "accepted" } });
}

// Guards against duplicate keys that the router and an upstream interpret differently: the router uses the last value
// and sends only that one upstream.
Test(CallerCodec, takesTheLastOfDuplicateKeys)
{
    const auto decoded
        = CallerCodec::decodeCompletion(R"({"model": "a", "prompt": "p", "model": "b"})", CompletionForm::Text);
    cr_assert(decoded);
    cr_assert(decoded->model == "b");
}
