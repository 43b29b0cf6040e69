// One part of a prompt crashes each runner that begins to write an answer on it. Requests with that part come at both
// machines, no two alike, beside sound ones of the same caller.
//
// Usage: crashing-part RECORD MODE
//   first-event  the runner has written the first event of its answer when it ends
//   long         the runner ends before it has written anything; the prompts are long conversations, and the part is
//                their second one

#include "Runner.h"

#include <random>

using namespace Review;

namespace {

constexpr Milliseconds contactTime { 3000 };
constexpr std::size_t crashesBeforeLimit = 5;
constexpr unsigned maxRequestsAfter = 3;
constexpr Milliseconds downTime { 2000 };
constexpr const char* crashingPart = "c0ffee";

struct Mode {
    const char* name;
    Milliseconds playTime;
    /// Threads of sound consumers at each machine, and the time from an answer to the next request.
    int consumers;
    Milliseconds pause;
    /// Time until a runner begins its answer.
    Milliseconds workTime;
    Milliseconds crashingPause;
    /// Earlier turns of a conversation, as parts that only this conversation has.
    int turns;
    int events;
};

constexpr std::array modes {
    Mode { "first-event", Milliseconds(45'000), 8, Milliseconds(400), Milliseconds(60), Milliseconds(2000), 1, 4 },
    Mode { "long", Milliseconds(45'000), 8, Milliseconds(400), Milliseconds(60), Milliseconds(2000), 18, 2 },
};

/// Counts crashes, and the requests that come after them.
class Tally {
public:
    explicit Tally(Record& record)
        : m_record(record)
    {
    }

    void recordCrash(const std::string& runner)
    {
        const std::scoped_lock lock(m_mutex);
        m_crashes.push_back(Clock::now());
        m_record.write("crash " + std::to_string(m_crashes.size()) + " of " + runner);
    }

    void recordArrival(const std::string& id, const std::string& runner)
    {
        const std::scoped_lock lock(m_mutex);
        m_record.write("crashing request " + id + " reaches " + runner);
        const bool isLate
            = m_crashes.size() >= crashesBeforeLimit && Clock::now() > m_crashes[crashesBeforeLimit - 1] + contactTime;
        m_late += isLate ? 1 : 0;
        ++m_crashing;
    }

    /// @param hasBegun Whether the answer began.
    void recordSound(Clock::time_point sentAt, bool hasBegun, bool isComplete)
    {
        const std::scoped_lock lock(m_mutex);
        const bool isAfter
            = m_crashes.size() >= crashesBeforeLimit && sentAt > m_crashes[crashesBeforeLimit - 1] + 2 * contactTime;
        auto& counts = m_crashes.empty() ? m_before : isAfter ? m_after : m_between;
        ++counts.sent;
        counts.begun += hasBegun ? 1 : 0;
        counts.complete += isComplete ? 1 : 0;
    }

    unsigned late() const { return m_late; }
    std::size_t crashes() const { return m_crashes.size(); }

    std::string summary() const
    {
        const auto text = [](const Counts& it) {
            return std::to_string(it.sent) + " sent, " + std::to_string(it.begun) + " begun, "
                + std::to_string(it.complete) + " complete";
        };
        return "crashes " + std::to_string(m_crashes.size()) + ", requests with the part at runners "
            + std::to_string(m_crashing) + ", later than contact_ms after the fifth crash " + std::to_string(m_late)
            + "; sound requests before the first crash: " + text(m_before)
            + "; until 2 x contact_ms after the fifth: " + text(m_between) + "; later: " + text(m_after);
    }

private:
    struct Counts {
        unsigned sent = 0;
        unsigned begun = 0;
        unsigned complete = 0;
    };

    Record& m_record;
    mutable std::mutex m_mutex;
    std::vector<Clock::time_point> m_crashes;
    unsigned m_late = 0;
    unsigned m_crashing = 0;
    Counts m_before;
    Counts m_between;
    Counts m_after;
};

} // namespace

int main(int argc, char** argv)
{
    const auto* mode = argc < 3 ? modes.end() : std::ranges::find(modes, std::string_view(argv[2]), &Mode::name);
    if (mode == modes.end()) {
        return 2;
    }
    guardProcesses(std::chrono::seconds(110));
    Record record(argv[1]);
    Tally tally(record);
    const bool trouble = hasTrouble();
    const bool writesFirst = std::string_view(mode->name) == "first-event";
    const WorkFolder folder;
    const auto net = loopbackNet();
    Store store(net + "1");
    const auto serve = [&](Runner& runner, Stream& stream, const Message& request) {
        const auto id = request.header("X-Request-Id");
        const bool isCrashing = request.header("X-Prompt-Prefix").find(crashingPart) != std::string::npos;
        const int start = runner.starts();
        if (isCrashing) {
            tally.recordArrival(id, runner.id());
        }
        std::this_thread::sleep_for(mode->workTime);
        if (!runner.isUp() || start != runner.starts()) {
            return false;
        }
        record.write("run " + id + " at " + runner.id());
        if (isCrashing && trouble) {
            if (writesFirst) {
                Runner::beginEvents(stream, id);
                stream.writeChunk(Runner::event(id, 1));
                std::this_thread::sleep_for(Milliseconds(10));
            }
            if (runner.crash(downTime)) {
                tally.recordCrash(runner.id());
            }
            // The end of the process closes the channels in any order.
            std::this_thread::sleep_for(Milliseconds(200));
            return false;
        }
        if (!Runner::beginEvents(stream, id)) {
            return false;
        }
        for (int n = 1; n <= mode->events; ++n) {
            if (!stream.writeChunk(Runner::event(id, n))) {
                return false;
            }
            std::this_thread::sleep_for(Milliseconds(20));
        }
        return stream.write("0\r\n\r\n");
    };
    std::vector<std::unique_ptr<Runner>> runners;
    for (int i = 0; i < 3; ++i) {
        runners.push_back(std::make_unique<Runner>(
            store, "i-" + std::to_string(i), "llm", "zone-a", 64, net + std::to_string(100 + i), serve));
    }
    DesiredState state;
    state.routes.push_back(DesiredState::route("lookup", "streaming", "llm", 6000, 1600, 1, false));
    state.services.push_back(DesiredState::engineService("llm", 64));
    state.tenants.push_back(DesiredState::tenant("tenant-1", "key-1"));
    store.put("op/config", state.text(1));
    std::vector<std::unique_ptr<Machine>> machines;
    for (int i = 0; i < 2; ++i) {
        const auto name = "edge-a-" + std::to_string(i + 1);
        machines.push_back(std::make_unique<Machine>(
            name, "zone-a", net + std::to_string(11 + i), store.addressFor(name), folder.path()));
        if (!machines.back()->start()) {
            return 2;
        }
    }
    for (const auto& machine : machines) {
        if (!machine->waitUntilReady(Milliseconds(10'000))) {
            record.write("not ready: " + machine->name());
            return 2;
        }
    }
    std::atomic<bool> isOver { false };
    std::atomic<int> lastId { 0 };
    // Each conversation has parts of its own: its earlier turns and its last message.
    const auto send = [&](const Machine& machine, bool isCrashing) {
        const int number = ++lastId;
        const auto id = (isCrashing ? "crash-" : "sound-") + std::to_string(number);
        std::string parts = "5c1e07a2:400";
        parts += isCrashing ? "," + std::string(crashingPart) + ":200" : "";
        char part[32];
        for (int turn = 0; turn < mode->turns; ++turn) {
            std::snprintf(part, sizeof part, ",%x:60", 0x10000 + 64 * number + turn);
            parts += part;
        }
        std::snprintf(part, sizeof part, ",%x:40", 0x10000 + 64 * number + 63);
        parts += part;
        record.write("send " + id + " to " + machine.name());
        const auto sentAt = Clock::now();
        const auto answer = request(machine.front(), "/lookup/x", id,
            { { "Authorization", "Token key-1" }, { "X-Model", "m" },
                { "X-Token-Count", std::to_string(640 + 60 * mode->turns) + ",10" }, { "X-Prompt-Prefix", parts } },
            6000);
        record.write("answer " + id + " " + std::to_string(answer.status) + (answer.isComplete ? "" : " incomplete"));
        if (!isCrashing) {
            tally.recordSound(sentAt, answer.status == 200, answer.status == 200 && answer.isComplete);
        }
    };
    std::vector<std::thread> consumers;
    for (const auto& machine : machines) {
        for (int n = 0; n < mode->consumers; ++n) {
            consumers.emplace_back([&, n] {
                std::this_thread::sleep_for(mode->workTime * n / mode->consumers);
                while (!isOver) {
                    send(*machine, false);
                    std::this_thread::sleep_for(mode->pause);
                }
            });
        }
    }
    std::this_thread::sleep_for(Milliseconds(5000));
    for (std::size_t n = 0; n < machines.size(); ++n) {
        consumers.emplace_back([&, n] {
            std::this_thread::sleep_for(mode->crashingPause * n / machines.size());
            while (!isOver) {
                send(*machines[n], true);
                std::this_thread::sleep_for(mode->crashingPause);
            }
        });
    }
    std::this_thread::sleep_for(mode->playTime - Milliseconds(5000));
    isOver = true;
    for (auto& consumer : consumers) {
        consumer.join();
    }
    for (const auto& machine : machines) {
        machine->kill();
    }
    const bool isBroken = tally.crashes() >= crashesBeforeLimit && tally.late() > maxRequestsAfter;
    record.write(tally.summary());
    std::cout << tally.summary() << (isBroken ? "\nBROKEN BUDGET" : "") << "\n";
    return isBroken ? 1 : 0;
}
