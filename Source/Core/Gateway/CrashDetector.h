#pragma once

#include "Common/Clock.h"
#include "Gateway/Commands/CrashCommands.h"
#include "Gateway/Commands/QuarantineCommands.h"
#include "Gateway/Commands/RunnerProbe.h"
#include "Gateway/Queries/RunnerQueries.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/container/flat_set.hpp>

#include <map>

namespace Pollenwind {

/// Tells crashes of runners from cut links, lost answers, reset connections and runners in trouble: after a request
/// has lost its connection before its answer was proven, a connection to the runner is refused, or another process has
/// the runner's id. Only then do the parts of the request count as evidence. A runner that was draining has not
/// crashed.
class CrashDetector final : public CrashCommands {
public:
    /// Runner processes whose losses are kept, the newest.
    static constexpr std::size_t maxRunners = 64;
    /// Parts that are kept for each of them: one prompt of the greatest length, with 4 bytes a part in headers of
    /// 16,384 bytes, or 64 requests with 64 parts each.
    static constexpr std::size_t maxParts = 4096;
    /// Time in which a loss waits for the runner's new incarnation.
    static constexpr std::chrono::seconds lossRetention { 5 };
    /// Smallest time between two connections to one runner process, for runners that reset many requests.
    static constexpr std::chrono::milliseconds minProbeInterval { 500 };

    CrashDetector(asio::any_io_executor executor, const Clock& clock, const RunnerQueries& runners, RunnerProbe& probe,
        QuarantineCommands& quarantine);

    void recordLoss(const UpstreamId& runner, Incarnation incarnation, const Endpoint& endpoint,
        std::span<const PartId> parts) override;

    /// Checks whether runners with losses have been replaced, and drops old losses.
    void checkReplaced();

private:
    /// Losses at one runner process.
    struct Losses {
        UpstreamId runner;
        Incarnation incarnation;
        /// Parts that have not been counted as evidence.
        boost::container::flat_set<PartId> parts;
        MonotonicTime lastAt { 0 };
        /// 0 before the first connection.
        MonotonicTime probedAt { 0 };
        bool isCrashed = false;
    };

    Task<> probe(std::uint64_t process, Endpoint endpoint);
    void confirm(Losses& losses, std::uint64_t process);
    bool isReplaced(const Losses& losses) const;

    asio::any_io_executor m_executor;
    const Clock& m_clock;
    const RunnerQueries& m_runners;
    RunnerProbe& m_probe;
    QuarantineCommands& m_quarantine;
    /// By hash of the runner process.
    std::map<std::uint64_t, Losses> m_losses;
};

} // namespace Pollenwind
