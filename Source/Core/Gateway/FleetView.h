#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Timeline/Commands/TimelineCommands.h"
#include "Transport/Endpoint.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Pollenwind {

/// The VMs of the fleet: those with a record in the store, and when each was last heard.
class FleetView {
public:
    /// Up to this number of VMs each reports to all others.
    static constexpr std::size_t largestMesh = 16;

    FleetView(const Clock& clock, TimelineCommands& timeline, VmId ownVm, ZoneId ownZone)
        : m_clock(clock)
        , m_timeline(timeline)
        , m_ownVm(std::move(ownVm))
        , m_ownZone(std::move(ownZone))
    {
    }

    /// Text of a VM's record.
    static std::string encodeRecord(const Endpoint& reports, const ZoneId& zone);

    /// Takes a VM's record. One that cannot be read is logged and passed over.
    void updateRecord(const VmId& vm, const std::string& value);
    void markRecordEnded(const VmId& vm);
    /// Ends the records of all other VMs.
    void keepOnly(const std::set<VmId>& vms);
    /// Notes a report.
    /// @param members VMs for which a relay's report stands; 0 for a VM's own.
    /// @return False for a report that is not newer than the last one of the same process.
    bool recordReport(const VmId& vm, Incarnation incarnation, std::uint64_t sequence, unsigned members = 0);

    /// Where the other VMs take reports.
    std::vector<Endpoint> others() const;
    std::vector<Endpoint> othersOfOwnZone() const;
    std::vector<Endpoint> othersOfOtherZones() const;
    bool isOfOwnZone(const VmId& vm) const;
    /// VMs of the own zone in contact with this one, itself included.
    std::vector<VmId> reachableOfOwnZone() const;
    /// Tells whether this VM sends the sums of its zone to the other zones. The VMs of a zone agree on it by their
    /// names, without messages.
    bool isRelay() const;
    /// Part of the fleet that is in contact with this VM, itself included.
    double reachableShare() const;
    /// VMs that were not heard for a while since they were; each is returned once.
    std::vector<VmId> takeSilent();
    /// Number of VMs that are counted as parts of the fleet.
    std::size_t size() const;
    /// Tells whether the fleet is too large for every VM to report to every other.
    bool isLarge() const { return size() > largestMesh; }

private:
    struct Vm {
        Endpoint reports;
        ZoneId zone;
        /// VMs for which a relay speaks; 0 for a VM.
        unsigned members = 0;
        bool hasRecord = false;
        MonotonicTime recordEndedAt { 0 };
        MonotonicTime lastReportAt { 0 };
        bool isReporting = false;
        Incarnation incarnation;
        std::uint64_t sequence = 0;
    };

    bool isCounted(const Vm& vm) const;
    bool isInContact(const Vm& vm) const;
    template <typename Accept> std::vector<Endpoint> endpointsOf(Accept accept) const;

    const Clock& m_clock;
    TimelineCommands& m_timeline;
    VmId m_ownVm;
    ZoneId m_ownZone;
    std::map<VmId, Vm> m_vms;
};

} // namespace Pollenwind
