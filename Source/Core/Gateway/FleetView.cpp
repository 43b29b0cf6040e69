#include "Gateway/FleetView.h"

#include "Common/JsonFields.h"
#include "Timeline/Log.h"

#include <xxhash.h>

#include <algorithm>

namespace Pollenwind {

namespace {

    // Records expire while the store is unavailable, and a VM that is cut off continues to use its share of the rates.
    constexpr std::chrono::seconds endedRecordRetention { 15 };

    constexpr std::string_view relayIdPrefix = "zone/";

} // namespace

std::string FleetView::encodeRecord(const Endpoint& reports, const ZoneId& zone)
{
    return JsonFields::Json { { "reports", reports.toString() }, { "zone", zone.value() } }.dump();
}

void FleetView::updateRecord(const VmId& vm, const std::string& value)
{
    const auto record = JsonFields::parseObject(value);
    const auto endpoint = parseEndpoint(record ? JsonFields::readString(*record, "reports") : "");
    if (!endpoint) {
        if (m_unreadableRecords.insert(vm).second) {
            logStateChange("vm-record-unreadable", { { "vm", vm.value() } });
        }
        return;
    }
    m_unreadableRecords.erase(vm);
    auto& known = m_vms[vm];
    if (!known.hasRecord) {
        m_timeline.record(EventKind::MemberJoined, { { "vm", vm.value() }, { "reports", endpoint->toString() } });
    }
    known.reports = *endpoint;
    known.zone = ZoneId(JsonFields::readString(*record, "zone"));
    known.hasRecord = true;
}

void FleetView::markRecordEnded(const VmId& vm)
{
    m_unreadableRecords.erase(vm);
    const auto it = m_vms.find(vm);
    if (it != m_vms.end() && it->second.hasRecord) {
        it->second.hasRecord = false;
        it->second.recordEndedAt = m_clock.now();
        m_timeline.record(EventKind::MemberGone, { { "vm", vm.value() } });
    }
}

std::size_t FleetView::markOtherRecordsEnded(const std::set<VmId>& vms)
{
    std::erase_if(m_unreadableRecords, [&vms](const VmId& vm) { return !vms.contains(vm); });
    std::size_t ended = 0;
    for (const auto& [vm, known] : m_vms) {
        if (known.hasRecord && !vms.contains(vm)) {
            markRecordEnded(vm);
            ++ended;
        }
    }
    return ended;
}

bool FleetView::recordReport(const VmId& vm, Incarnation incarnation, std::uint64_t sequence, unsigned members)
{
    auto& known = m_vms[vm];
    if (known.incarnation == incarnation && sequence <= known.sequence) {
        return false;
    }
    known.incarnation = incarnation;
    known.sequence = sequence;
    known.members = members;
    known.lastReportAt = m_clock.now();
    known.isReporting = true;
    return true;
}

bool FleetView::isInContact(const Vm& vm) const
{
    return vm.lastReportAt.count() > 0 && m_clock.now() - vm.lastReportAt < silenceLimit;
}

bool FleetView::isInContact(const VmId& vm, Incarnation incarnation) const
{
    const auto it = m_vms.find(vm);
    return it != m_vms.end() && it->second.incarnation == incarnation && isInContact(it->second);
}

bool FleetView::isCounted(const Vm& vm) const
{
    const auto now = m_clock.now();
    if (vm.members > 0) {
        return false;
    }
    return vm.hasRecord || isInContact(vm)
        || (vm.recordEndedAt.count() > 0 && now - vm.recordEndedAt < endedRecordRetention);
}

template <typename Accept> std::vector<Endpoint> FleetView::endpointsOf(Accept accept) const
{
    std::vector<Endpoint> endpoints;
    for (const auto& [id, vm] : m_vms) {
        if (id != m_ownVm && isCounted(vm) && vm.reports.port != 0 && accept(vm)) {
            endpoints.push_back(vm.reports);
        }
    }
    return endpoints;
}

std::vector<Endpoint> FleetView::others() const
{
    return endpointsOf([](const Vm&) { return true; });
}

std::vector<Endpoint> FleetView::othersOfOwnZone() const
{
    return endpointsOf([this](const Vm& vm) { return vm.zone == m_ownZone; });
}

VmId FleetView::relayId(const ZoneId& zone, const VmId& vm)
{
    return VmId(std::string(relayIdPrefix) + zone.value() + "/" + vm.value());
}

bool FleetView::isRelayId(const VmId& vm) { return vm.value().starts_with(relayIdPrefix); }

std::optional<ZoneId> FleetView::zoneOfRelay(const VmId& relay)
{
    const auto& text = relay.value();
    const auto end = text.find('/', relayIdPrefix.size());
    if (!isRelayId(relay) || end == std::string::npos) {
        return std::nullopt;
    }
    return ZoneId(text.substr(relayIdPrefix.size(), end - relayIdPrefix.size()));
}

std::vector<VmId> FleetView::vmsOf(const ZoneId& zone) const
{
    std::vector<VmId> vms;
    for (const auto& [id, vm] : m_vms) {
        if (id != m_ownVm && vm.members == 0 && vm.zone == zone) {
            vms.push_back(id);
        }
    }
    return vms;
}

std::vector<Endpoint> FleetView::entryPointsOfOtherZones(std::uint64_t round) const
{
    std::vector<Endpoint> endpoints;
    std::map<ZoneId, std::vector<Endpoint>> others;
    for (const auto& [id, vm] : m_vms) {
        if (!isCounted(vm) || vm.zone == m_ownZone || vm.reports.port == 0) {
            continue;
        }
        const auto relay = m_vms.find(relayId(vm.zone, id));
        const bool isRelay = relay != m_vms.end() && isInContact(relay->second);
        (isRelay ? endpoints : others[vm.zone]).push_back(vm.reports);
    }
    for (const auto& [zone, candidates] : others) {
        endpoints.push_back(candidates[round % candidates.size()]);
    }
    return endpoints;
}

bool FleetView::isOfOwnZone(const VmId& vm) const
{
    const auto it = m_vms.find(vm);
    return it != m_vms.end() && it->second.members == 0 && it->second.zone == m_ownZone;
}

std::optional<Endpoint> FleetView::endpointOf(const VmId& vm) const
{
    const auto it = m_vms.find(vm);
    return it == m_vms.end() || it->second.reports.port == 0 ? std::nullopt : std::optional(it->second.reports);
}

bool FleetView::isMemberAddress(std::string_view address) const
{
    return std::ranges::any_of(m_vms, [&](const auto& it) {
        return it.second.zone == m_ownZone && isCounted(it.second) && it.second.reports.address == address;
    });
}

bool FleetView::isFleetAddress(std::string_view address) const
{
    return std::ranges::any_of(
        m_vms, [&](const auto& it) { return isCounted(it.second) && it.second.reports.address == address; });
}

std::vector<VmId> FleetView::reachableOfOwnZone() const
{
    std::vector<VmId> vms { m_ownVm };
    for (const auto& [id, vm] : m_vms) {
        if (id != m_ownVm && vm.members == 0 && vm.zone == m_ownZone && isInContact(vm)) {
            vms.push_back(id);
        }
    }
    return vms;
}

std::size_t FleetView::size() const
{
    std::size_t count = 1;
    for (const auto& [id, vm] : m_vms) {
        count += id != m_ownVm && isCounted(vm) ? 1 : 0;
    }
    return count;
}

std::size_t FleetView::ownRank() const
{
    std::size_t rank = 0;
    for (const auto& [id, vm] : m_vms) {
        rank += id < m_ownVm && isCounted(vm) ? 1 : 0;
    }
    return rank;
}

bool FleetView::isOwnTurn(std::uint64_t subject) const
{
    // Rendezvous hashing: the VM with the highest hash. VMs of other zones do not report in a large fleet.
    const auto rank
        = [subject](const VmId& vm) { return XXH3_64bits_withSeed(vm.value().data(), vm.value().size(), subject); };
    const auto own = rank(m_ownVm);
    const bool isLargeFleet = isLarge();
    return std::ranges::none_of(m_vms, [&](const auto& it) {
        const auto& [id, vm] = it;
        const bool isCandidate = id != m_ownVm && vm.members == 0
            && (isInContact(vm) || (isLargeFleet && vm.zone != m_ownZone && isCounted(vm)));
        return isCandidate && rank(id) > own;
    });
}

double FleetView::reachableShare() const
{
    std::size_t reachable = 1;
    for (const auto& [id, vm] : m_vms) {
        if (id != m_ownVm && isInContact(vm)) {
            reachable += std::max(1U, vm.members);
        }
    }
    return static_cast<double>(reachable) / static_cast<double>(std::max(size(), reachable));
}

double FleetView::knownWorkShare() const
{
    if (!isLarge()) {
        return reachableShare();
    }
    const auto known = reachableOfOwnZone().size();
    return static_cast<double>(known) / static_cast<double>(std::max(size(), known));
}

double FleetView::shareOf(const VmId& vm) const
{
    const auto it = m_vms.find(vm);
    const auto represented = it == m_vms.end() ? 1U : std::max(1U, it->second.members);
    return std::min(1.0, static_cast<double>(represented) / static_cast<double>(size()));
}

std::vector<VmId> FleetView::takeSilent()
{
    std::vector<VmId> silent;
    for (auto& [id, vm] : m_vms) {
        if (vm.isReporting && m_clock.now() - vm.lastReportAt >= silenceLimit) {
            vm.isReporting = false;
            silent.push_back(id);
        }
    }
    return silent;
}

} // namespace Pollenwind
