#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Gateway/Queries/TurnQueries.h"
#include "Timeline/Commands/TimelineCommands.h"
#include "Transport/Endpoint.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Pollenwind {

/// The VMs of the fleet: their records in the store and the time of the last report from each.
class FleetView final : public TurnQueries {
public:
    /// Largest fleet in which each VM reports to all others.
    static constexpr std::size_t maxFullMeshSize = 16;
    /// Time without a report after which a VM counts as out of contact. VMs report every 250 ms while there are
    /// changes, otherwise every 750 ms.
    static constexpr std::chrono::milliseconds silenceLimit { 1400 };

    /// Whether a VM has paused for so long that it must handle the reports that wait in its socket before it takes
    /// other VMs for silent.
    /// @param sinceLastReport Time since this VM last sent a report or looked for silent VMs.
    static constexpr bool mustReceiveFirst(std::chrono::nanoseconds sinceLastReport)
    {
        return sinceLastReport > silenceLimit / 3;
    }

    FleetView(const Clock& clock, TimelineCommands& timeline, VmId ownVm, ZoneId ownZone)
        : m_clock(clock)
        , m_timeline(timeline)
        , m_ownVm(std::move(ownVm))
        , m_ownZone(std::move(ownZone))
    {
    }

    /// Encodes a VM's record.
    /// @param reports Where the VM receives reports.
    static std::string encodeRecord(const Endpoint& reports, const ZoneId& zone);

    /// Adds or updates a VM's record. An unreadable record is ignored, and logged once.
    void updateRecord(const VmId& vm, const std::string& value);
    void markRecordEnded(const VmId& vm);
    /// Marks the records of all other VMs as ended.
    /// @return Number of VMs that had a record.
    std::size_t markOtherRecordsEnded(const std::set<VmId>& vms);
    /// Records that a report was received.
    /// @param members Number of VMs that a relay's report represents; 0 for a VM's own report.
    /// @return False for a report that is not newer than the last one of the same incarnation.
    bool recordReport(const VmId& vm, Incarnation incarnation, std::uint64_t sequence, unsigned members = 0);

    /// Where the other VMs of the fleet receive reports.
    std::vector<Endpoint> others() const;
    std::vector<Endpoint> othersOfOwnZone() const;
    /// Whether a process of a VM has reported within silenceLimit.
    bool isInContact(const VmId& vm, Incarnation incarnation) const;
    /// Where reports for the other zones are sent; the receivers pass them on in their zones. For each zone these are
    /// its relay and another VM, which differs from round to round, so that a relay that has just stopped does not hide
    /// the reports from its zone.
    /// @param round Number of the report.
    std::vector<Endpoint> entryPointsOfOtherZones(std::uint64_t round) const;
    /// Id under which a VM sends the sums of its zone.
    static VmId relayId(const ZoneId& zone, const VmId& vm);
    static bool isRelayId(const VmId& vm);
    /// Zone of a relay; nothing for the id of a VM.
    static std::optional<ZoneId> zoneOfRelay(const VmId& relay);
    bool isOfOwnZone(const VmId& vm) const;
    /// Where a VM receives reports and passes on the store's records; nothing while its record is not known.
    std::optional<Endpoint> endpointOf(const VmId& vm) const;
    /// Whether a VM of this zone has the address.
    bool isMemberAddress(std::string_view address) const;
    /// Whether a VM of any zone has the address.
    bool isFleetAddress(std::string_view address) const;
    /// VMs of a zone that are known, in contact or not, without this one.
    std::vector<VmId> vmsOf(const ZoneId& zone) const;
    /// VMs of this zone that are in contact with this one, including itself.
    std::vector<VmId> reachableOfOwnZone() const;
    /// Share of the fleet that is in contact with this VM, including itself, from 0 to 1.
    double reachableShare() const;
    /// Share of the fleet, including this VM, whose work at the runners this VM knows, from 0 to 1.
    double knownWorkShare() const;
    /// Share of the fleet that a VM's reports represent, from 0 to 1: its own or, for a relay, its zone's.
    double shareOf(const VmId& vm) const;
    bool isOwnTurn(std::uint64_t subject) const override;
    /// VMs whose reports have stopped. Each is returned once, until it reports again.
    std::vector<VmId> takeSilent();
    /// Number of VMs in the fleet: those with a record, with a recent report or whose record ended recently.
    std::size_t size() const;
    /// Number of VMs of the fleet whose ids are less than this one's.
    std::size_t ownRank() const;
    /// Whether the fleet is too large for every VM to report to every other.
    bool isLarge() const { return size() > maxFullMeshSize; }

private:
    struct Vm {
        /// Where the VM receives reports.
        Endpoint reports;
        ZoneId zone;
        /// Number of VMs that a relay represents; 0 for a VM.
        unsigned members = 0;
        bool hasRecord = false;
        /// 0 if no record has ended.
        MonotonicTime recordEndedAt { 0 };
        /// 0 before the first report.
        MonotonicTime lastReportAt { 0 };
        /// Cleared when takeSilent() returns the VM.
        bool isReporting = false;
        Incarnation incarnation;
        std::uint64_t sequence = 0;
    };

    /// Whether the VM counts as part of the fleet.
    bool isCounted(const Vm& vm) const;
    bool isInContact(const Vm& vm) const;
    template <typename Accept> std::vector<Endpoint> endpointsOf(Accept accept) const;

    const Clock& m_clock;
    TimelineCommands& m_timeline;
    VmId m_ownVm;
    ZoneId m_ownZone;
    std::map<VmId, Vm> m_vms;
    /// VMs whose records cannot be read.
    std::set<VmId> m_unreadableRecords;
};

} // namespace Pollenwind
