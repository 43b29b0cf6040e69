#pragma once

#include "Common/Ids.h"
#include "Gateway/Commands/QuotaCommands.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace Pollenwind {

/// Tokens that the VMs of a zone took during a relay's term.
struct RelaySums {
    std::uint64_t term = 0;
    /// Time for which the sums count.
    std::chrono::nanoseconds age { 0 };
    UsageTotals usage;
};

/// Decides which VM of a zone sends the sums of the zone to the other zones, and since when its sums count.
///
/// A relay serves a term. Its sums begin at zero with what its predecessor had not sent, so receivers add up the terms
/// and no tokens count twice, whichever VMs follow each other and however often. The VMs of a zone announce a term in
/// their reports to each other:
/// - The relay remains the relay while it is in contact. A VM with a smaller id that is back after a pause does not
///   take over.
/// - After it has become silent, the VM with the smallest id among those that report begins the next term.
/// - A relay that learns of a later term, e.g. after it was suspended, ends its own one. Of two equal terms that begin
/// at
///   the same time, the one of the smaller id remains.
class ZoneRelay {
public:
    /// Time after the start of a process in which it does not become the relay, so that VMs that start together know
    /// each other before the first term begins.
    static constexpr std::chrono::milliseconds settlingTime { 500 };

    /// Time without a report after which another VM follows the relay. It ends before the relay is out of contact
    /// (`FleetView::silenceLimit`), so that the other zones need not do without the zone's share of the rates
    /// meanwhile.
    static constexpr std::chrono::milliseconds takeoverTime { 1000 };

    explicit ZoneRelay(VmId ownVm)
        : m_ownVm(std::move(ownVm))
    {
    }

    /// Records a report of another VM of the zone.
    /// @param term Term that the VM serves as the relay; 0 if it is not the relay.
    /// @param vmUptime Time since the process of that VM started.
    /// @param zoneTotals Totals of the zone after this report.
    /// @param uptime Time since this process started.
    void recordReport(const VmId& vm, std::uint64_t term, std::chrono::nanoseconds vmUptime,
        const UsageTotals& zoneTotals, std::chrono::nanoseconds uptime);

    /// Records that the VMs report to the other zones themselves, as in a small fleet. Nothing of the totals remains
    /// for a relay.
    void recordDirectReports(const UsageTotals& zoneTotals, std::chrono::nanoseconds uptime);

    /// Begins or ends a term.
    /// @param zoneTotals Tokens that the zone took, as far as this VM knows. They never decrease.
    /// @param uptime Time since this process started.
    void update(const UsageTotals& zoneTotals, std::chrono::nanoseconds uptime);

    /// Term that this VM serves; 0 if it is not the relay.
    std::uint64_t term() const { return m_term; }

    /// Sums of the present term.
    RelaySums sums(const UsageTotals& zoneTotals, std::chrono::nanoseconds uptime) const;

    /// Identifies the sums of one term: they restart at zero with the next one, as totals do with a new process.
    static Incarnation incarnationOfTerm(Incarnation process, std::uint64_t term);

private:
    /// What another VM of the zone last reported.
    struct Announcement {
        std::uint64_t term = 0;
        /// Uptime of that VM.
        std::chrono::nanoseconds uptime { 0 };
        /// Uptime of this VM when the report was received.
        std::chrono::nanoseconds receivedAt { 0 };
    };

    void markReported(const UsageTotals& zoneTotals, std::chrono::nanoseconds uptime);

    VmId m_ownVm;
    std::map<VmId, Announcement> m_announcements;
    std::uint64_t m_term = 0;
    std::uint64_t m_latestTerm = 0;
    /// Totals that other zones have received from an earlier relay, as far as known.
    UsageTotals m_reported;
    /// Uptime at which they were these.
    std::chrono::nanoseconds m_reportedAt { 0 };
};

} // namespace Pollenwind
