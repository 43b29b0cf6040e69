#include "Gateway/RunnerRace.h"

#include "Common/TaskFault.h"
#include "Gateway/EventSplitter.h"

#include <algorithm>
#include <utility>

namespace Pollenwind {

namespace {

    // Time after which a lane looks whether it is alone. Then the dispatcher goes on with it, which may look for
    // another runner.
    constexpr std::chrono::milliseconds checkInterval { 250 };

    // Longer than any race. The lanes have time limits of their own.
    constexpr std::chrono::hours laneEndWait { 24 };

} // namespace

RunnerRace::RunnerRace(
    const Clock& clock, RaceLane& first, RaceLane& copy, Limits limits, std::function<void(RaceLane&)> onEnded)
    : m_clock(clock)
    , m_lanes { &first, &copy }
    , m_limits(limits)
    , m_onEnded(std::move(onEnded))
{
}

Task<RaceLane*> RunnerRace::run()
{
    const auto executor = co_await asio::this_coro::executor;
    m_running = static_cast<unsigned>(m_lanes.size());
    for (auto* lane : m_lanes) {
        spawnTask(executor, TaskKind::Attempt, drive(*lane));
    }
    while (m_running > 0) {
        co_await m_laneEnds.waitFor(laneEndWait);
    }
    co_return m_winner;
}

void RunnerRace::cancel()
{
    m_isCancelled = true;
    for (auto* lane : m_lanes) {
        lane->exchange.cancel();
    }
}

Task<> RunnerRace::drive(RaceLane& lane)
{
    auto result = co_await withoutExceptions(TaskKind::Attempt, read(lane));
    const bool isSuccess = result && lane.head && lane.head->kind == ReplyKind::Answer && lane.head->isSuccess();
    if (isSuccess && !isOver()) {
        lane.state = RaceLane::State::Won;
        m_winner = &lane;
        otherThan(lane).exchange.cancel();
    } else if (!result && result.error().code == ErrorCode::DeadlineExceeded && !isOver()) {
        lane.state = RaceLane::State::Silent;
    } else {
        lane.state = RaceLane::State::Ended;
        if (!result) {
            lane.error = std::move(result.error());
        }
        if (!isOver() && otherThan(lane).state == RaceLane::State::Running) {
            m_onEnded(lane);
        }
    }
    --m_running;
    m_laneEnds.notifyAll();
}

bool RunnerRace::mayGoOn(const RaceLane& lane, const Error& error) const
{
    const bool isAlone = otherThan(lane).state != RaceLane::State::Running;
    return error.code == ErrorCode::DeadlineExceeded && m_clock.now() < m_limits.until && !isOver()
        && (!isAlone || lane.head);
}

std::chrono::nanoseconds RunnerRace::nextLimit() const
{
    return std::min<std::chrono::nanoseconds>(m_limits.until - m_clock.now(), checkInterval);
}

Task<Outcome<void>> RunnerRace::read(RaceLane& lane)
{
    if (!lane.head) {
        auto head = lane.start ? co_await lane.start(nextLimit()) : co_await lane.exchange.awaitHead(nextLimit());
        while (!head && mayGoOn(lane, head.error())) {
            head = co_await lane.exchange.awaitHead(nextLimit());
        }
        if (!head) {
            co_return std::unexpected(head.error());
        }
        lane.head = std::move(*head);
        lane.headAt = m_clock.now();
    }
    if (lane.head->kind != ReplyKind::Answer) {
        co_return Outcome<void> {};
    }
    const bool isStream = lane.head->isEventStream && lane.head->isSuccess();
    const auto maxBytes = isStream ? m_limits.eventBytes : m_limits.bodyBytes;
    EventSplitter events(std::nullopt);
    for (;;) {
        auto part = co_await lane.exchange.readSome(nextLimit());
        if (!part && mayGoOn(lane, part.error())) {
            continue;
        }
        if (!part) {
            co_return std::unexpected(part.error());
        }
        if (part->empty()) {
            lane.isWhole = true;
            if (isStream) {
                co_return fail(ErrorCode::ConnectionLost, "the stream ended before its first event", RunState::Unknown);
            }
            co_return Outcome<void> {};
        }
        if (lane.body.size() + part->size() > maxBytes || !appendWithin(lane.body, *part, lane.held)) {
            co_return fail(ErrorCode::ProtocolError,
                "the runner's response is too large after " + std::to_string(lane.body.size()) + " bytes",
                RunState::Unknown);
        }
        if (isStream) {
            events.append(*part);
            if (!events.takeCompleteEvents().empty()) {
                co_return Outcome<void> {};
            }
        }
    }
}

Task<Outcome<std::string>> PrereadExchange::readSome(std::chrono::nanoseconds timeout)
{
    if (!m_lane.body.empty()) {
        // The reader counts the bytes from now on.
        m_lane.held.resize(0);
        co_return std::exchange(m_lane.body, {});
    }
    if (m_lane.isWhole) {
        co_return std::string();
    }
    co_return co_await m_lane.exchange.readSome(timeout);
}

} // namespace Pollenwind
