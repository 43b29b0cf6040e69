#pragma once

#include "Common/Clock.h"
#include "Common/MemoryBudget.h"
#include "Common/WaitList.h"
#include "Gateway/Commands/RunnerClient.h"

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace Pollenwind {

/// One of two attempts at the same request that run at the same time.
struct RaceLane {
    /// How far the lane is.
    enum class State {
        Running,
        /// The time of the race is up, and the response has not begun. The attempt may go on.
        Silent,
        /// The attempt failed, or its response is no success.
        Ended,
        /// Has the complete successful response, or the first event of a stream.
        Won,
    };

    explicit RaceLane(RunnerExchange& exchange)
        : exchange(exchange)
    {
    }

    RunnerExchange& exchange;
    /// Connects and sends the request, with the time limit for the head; empty if the request was sent before.
    std::function<Task<Outcome<ReplyHead>>(std::chrono::nanoseconds)> start = {};
    State state = State::Running;
    std::optional<ReplyHead> head = std::nullopt;
    /// When the head of the response arrived.
    MonotonicTime headAt { 0 };
    /// Bytes of the body that were read.
    std::string body = {};
    MemoryBudget::Share held { processMemory(), MemoryUse::RunnerResponse };
    /// The body was read to its end.
    bool isWhole = false;
    /// Why the attempt failed.
    std::optional<Error> error = std::nullopt;
};

/// Runs two attempts at one request until one of them has the response. A lane that ends in another way does not end
/// the other.
class RunnerRace {
public:
    struct Limits {
        /// End of the race.
        MonotonicTime until { 0 };
        /// Largest response that is not a stream.
        std::size_t bodyBytes = 0;
        /// Largest event of a stream.
        std::size_t eventBytes = 0;
    };

    /// @param onEnded Called when a lane has ended while the other one goes on.
    RunnerRace(
        const Clock& clock, RaceLane& first, RaceLane& copy, Limits limits, std::function<void(RaceLane&)> onEnded);

    /// Runs both lanes. When it returns, no operation of them is pending; the exchange of a lane that lost is
    /// cancelled.
    /// @return The lane that won, or null.
    Task<RaceLane*> run();

    /// Cancels both exchanges, e.g. because the caller has left.
    void cancel();

    /// Whether a lane has won or the race was cancelled.
    bool isOver() const { return m_winner || m_isCancelled; }

private:
    Task<> drive(RaceLane& lane);
    Task<Outcome<void>> read(RaceLane& lane);
    /// Whether a lane goes on after a read that failed.
    bool mayGoOn(const RaceLane& lane, const Error& error) const;
    std::chrono::nanoseconds nextLimit() const;
    RaceLane& otherThan(const RaceLane& lane) const { return *m_lanes[m_lanes[0] == &lane ? 1 : 0]; }

    const Clock& m_clock;
    std::array<RaceLane*, 2> m_lanes;
    Limits m_limits;
    std::function<void(RaceLane&)> m_onEnded;
    RaceLane* m_winner = nullptr;
    bool m_isCancelled = false;
    unsigned m_running = 0;
    WaitList m_laneEnds;
};

/// Exchange of which a part of the response was read before.
class PrereadExchange final : public RunnerExchange {
public:
    /// @param lane Lane with the bytes that were read; must outlive the object. Its exchange is used for the rest.
    explicit PrereadExchange(RaceLane& lane)
        : m_lane(lane)
    {
    }

    Task<Outcome<void>> connect(std::chrono::nanoseconds timeout) override { return m_lane.exchange.connect(timeout); }
    Task<Outcome<ReplyHead>> begin(std::chrono::nanoseconds timeout) override { return m_lane.exchange.begin(timeout); }
    Task<Outcome<ReplyHead>> awaitHead(std::chrono::nanoseconds timeout) override
    {
        return m_lane.exchange.awaitHead(timeout);
    }
    bool isRequestSent() const override { return m_lane.exchange.isRequestSent(); }
    Task<Outcome<std::string>> readSome(std::chrono::nanoseconds timeout) override;
    void cancel() override { m_lane.exchange.cancel(); }
    void finish() override { m_lane.exchange.finish(); }

private:
    RaceLane& m_lane;
};

} // namespace Pollenwind
