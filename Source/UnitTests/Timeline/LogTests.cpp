#include "Gateway/RequestLog.h"
#include "Timeline/LineWriter.h"
#include "Timeline/Log.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <array>
#include <fcntl.h>
#include <unistd.h>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

/// A pipe that is read only by readAll().
struct Pipe {
    Pipe()
    {
        cr_assert_eq(pipe2(ends.data(), 0), 0);
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }

    std::string readAll()
    {
        std::string text;
        std::array<char, 8192> buf {};
        for (auto n = read(ends[0], buf.data(), buf.size()); n > 0; n = read(ends[0], buf.data(), buf.size())) {
            text.append(buf.data(), static_cast<std::size_t>(n));
        }
        return text;
    }

    std::array<int, 2> ends {};
};

std::vector<std::string> linesOf(const std::string& text)
{
    std::vector<std::string> lines;
    for (std::size_t at = 0; at < text.size();) {
        const auto end = std::min(text.find('\n', at), text.size());
        lines.push_back(text.substr(at, end - at));
        at = end + 1;
    }
    return lines;
}

} // namespace

// Guards against blocking the process when the reader of the log stops reading, and against dropped lines that are not
// reported.
Test(LineWriter, doesNotBlockOnItsReader)
{
    Pipe pipe;
    LineWriter writer(pipe.ends[1], 10);
    for (int n = 0; n < 2000; ++n) {
        writer.write("{\"n\":\"" + std::string(200, 'x') + "\"}");
    }
    cr_assert(writer.dropped() > 1000);
    pipe.readAll();
    writer.write("{\"last\":\"1\"}");
    const auto lines = linesOf(pipe.readAll());
    cr_assert_eq(lines.back(), "{\"last\":\"1\"}");
    cr_assert_eq(lines.size(), 12);
    for (const auto& line : lines) {
        cr_assert(nlohmann::json::parse(line, nullptr, false).is_object(), "%s", line.c_str());
    }
}

// Guards against a long line that blocks the process or cannot be parsed.
Test(LineWriter, cutsLongLines)
{
    Pipe pipe;
    LineWriter writer(pipe.ends[1]);
    writer.write("{\"text\":\"" + std::string(10'000, 'x') + "\"}");
    const auto text = pipe.readAll();
    cr_assert(text.size() <= 4096);
    cr_assert(nlohmann::json::parse(text, nullptr, false).is_object());
}

// Guards against more request lines under load than the limit of their kind, against losing the lines of failed
// requests among those of successful ones, and against omitting lines without reporting their number.
Test(RequestLog, limitsLinesOfEachKind)
{
    Pipe pipe;
    dup2(pipe.ends[1], STDOUT_FILENO);
    configureLog(LogLevel::Info);
    ManualClock clock;
    RequestLog log(clock);
    for (int n = 0; n < 5000; ++n) {
        log.record(RequestEvent::Finished, RequestId("good"), {});
    }
    log.record(RequestEvent::Failed, RequestId("bad"), { { "cause", "reset \"by\" \xff" } });
    auto lines = linesOf(pipe.readAll());
    cr_assert(lines.size() <= 302, "%zu", lines.size());
    const auto last = nlohmann::json::parse(lines.back());
    cr_assert_eq(last.at("request"), "bad");
    cr_assert_eq(last.at("event"), "failed");
    clock.advance(1s);
    log.record(RequestEvent::Finished, RequestId("good"), {});
    lines = linesOf(pipe.readAll());
    cr_assert_eq(nlohmann::json::parse(lines.back()).at("lines_left_out"), "4700");
}
