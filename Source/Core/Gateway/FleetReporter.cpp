#include "Gateway/FleetReporter.h"

#include "Common/Sleep.h"
#include "Gateway/FleetReportCodec.h"
#include "Timeline/Log.h"

#include <array>

namespace Pollenwind {

using udp = asio::ip::udp;

namespace {

    // Bounds the debt of the quota, which is at most what the VMs take between two reports.
    constexpr std::chrono::milliseconds reportInterval { 250 };

    // Number of intervals between reports while nothing changes. They only show that the VM is in contact.
    constexpr unsigned keepAliveTicks = 3;

    // Time to handle the reports that waited while this VM was suspended or slow.
    constexpr std::chrono::milliseconds receiveTime { 60 };

    // A relay's sums over 240 runners with their work, their pace and 256 prefixes take about 16 KB.
    constexpr std::size_t maxReportBytes = 48UL * 1024;

} // namespace

FleetReporter::FleetReporter(
    const asio::any_io_executor& executor, FleetReporterContext context, VmId vm, ZoneId zone, Incarnation incarnation)
    : m_context(context)
    , m_vm(std::move(vm))
    , m_zone(std::move(zone))
    , m_incarnation(incarnation)
    , m_relay(m_vm)
    , m_zoneWork(m_zone)
    , m_socket(executor)
    , m_timer(executor)
{
}

Outcome<void> FleetReporter::listen(const Endpoint& endpoint)
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(endpoint.address, ec);
    const udp::endpoint local(address, endpoint.port);
    if (!ec) {
        m_socket.open(local.protocol(), ec);
    }
    if (!ec) {
        m_socket.bind(local, ec);
    }
    if (ec) {
        return fail(ErrorCode::Unavailable, "cannot receive reports on " + endpoint.toString() + ": " + ec.message());
    }
    return {};
}

Task<> FleetReporter::send()
{
    FleetReport last;
    unsigned unchanged = 0;
    bool isLoading = false;
    auto lookedAt = uptime();
    for (;;) {
        m_timer.expires_after(reportInterval);
        co_await m_timer.async_wait(asTuple);
        if (FleetView::mustReceiveFirst(uptime() - lookedAt)) {
            co_await sleepFor(receiveTime);
        }
        lookedAt = uptime();
        recordSilentVms();
        m_context.quota.setLargeFleet(m_context.fleet.isLarge());
        m_context.quota.setFleetSize(m_context.fleet.size());
        m_context.metrics.set(Gauge::QuotaReserveAdmissions, m_context.quota.reserveAdmissions());
        m_context.quota.setReachableShare(m_context.fleet.reachableShare());
        updateRelay();
        FleetReport report { m_vm, m_incarnation, 0, m_context.quota.ownTotals(), m_context.runners.ownLoads(),
            m_context.weights.loading(), m_context.directory.takeUpdates(), m_context.runners.targetWeightsAges(), 0,
            m_context.weights.loaded(), m_context.runners.recentFailures(), m_context.quota.lowLevels() };
        report.quarantine = m_context.quarantine.takeReport();
        report.rollouts = m_context.rollouts.reports();
        report.term = m_relay.term();
        const bool isChanged = report.usage != last.usage || report.loading != last.loading || report.work != last.work
            || !report.cachedPrefixes.empty() || !report.loaded.empty() || !report.failures.isEmpty()
            || !report.quarantine.isEmpty() || !report.rollouts.empty() || report.term != last.term
            || (m_sharesZoneWork && report.term > 0);
        unchanged = isChanged ? 0 : unchanged + 1;
        if (!isChanged && unchanged % keepAliveTicks != 0) {
            continue;
        }
        last = report;
        auto paces = m_context.pace.takeReport();
        if (m_sharesZoneWork || m_context.fleet.isLarge()) {
            report.paces = std::move(paces);
        }
        auto zoneUpdates = m_context.directory.takeZoneUpdates();
        if (!m_context.fleet.isLarge()) {
            m_context.pace.takeZoneReport();
            for (const auto& workId : m_zoneWork.clear()) {
                dropZoneWork(workId);
            }
            co_await sendTo(m_context.fleet.others(), std::move(report));
            continue;
        }
        if (!report.loading.empty() || !report.loaded.empty() || isLoading) {
            // Without usage, which the other zones receive in the relay's sum.
            co_await sendToOtherZones(
                { m_vm, m_incarnation, 0, {}, {}, report.loading, {}, report.targetAges, 0, report.loaded });
        }
        if (report.quarantine.isNews) {
            FleetReport news { m_vm, m_incarnation };
            // A report replaces the set of loading runners that the receivers know.
            news.loading = report.loading;
            news.quarantine = report.quarantine;
            co_await sendToOtherZones(std::move(news));
        }
        isLoading = !report.loading.empty() || !report.loaded.empty();
        auto targetAges = report.targetAges;
        // The relay sends no failed connections, which tell little about the connections of another zone.
        RunnerFailures failures { {}, report.failures.replaced, report.failures.leaving };
        co_await sendTo(m_context.fleet.othersOfOwnZone(), std::move(report));
        co_await relayZone(std::move(zoneUpdates), std::move(targetAges), std::move(failures));
    }
}

void FleetReporter::recordSilentVms()
{
    for (const auto& vm : m_context.fleet.takeSilent()) {
        m_context.runnerCommands.clearRemoteLoad(vm);
        if (const auto workId = m_zoneWork.markSilent(vm)) {
            dropZoneWork(*workId);
        }
        m_context.quota.markSilent(vm, m_context.fleet.shareOf(vm));
        // The totals of a VM that has stopped remain, those of a relay are in its successor's.
        if (FleetView::isRelayId(vm)) {
            m_context.rolloutCommands.clearRemote(vm);
        }
        logStateChange("vm-silent", { { "vm", vm.value() } });
    }
}

void FleetReporter::updateRelay()
{
    const auto& zoneTotals = m_context.quota.zoneTotals();
    if (!m_context.fleet.isLarge()) {
        m_relay.recordDirectReports(zoneTotals, uptime());
        return;
    }
    const auto termBefore = m_relay.term();
    m_relay.update(zoneTotals, uptime());
    if (m_relay.term() != termBefore) {
        logStateChange("zone-relay", { { "term", std::to_string(m_relay.term()) } });
    }
}

Task<> FleetReporter::relayZone(
    std::vector<CachedPrefix> zoneUpdates, std::vector<TargetWeightsAge> targetAges, RunnerFailures failures)
{
    auto answers = m_context.quarantine.takeZoneAnswers();
    auto paces = m_context.pace.takeZoneReport();
    if (m_relay.term() == 0) {
        co_return;
    }
    auto termSums = m_relay.sums(m_context.quota.zoneTotals(), uptime());
    const auto zone = m_context.fleet.reachableOfOwnZone();
    FleetReport sums { FleetView::relayId(m_zone, m_vm), m_incarnation, 0, std::move(termSums.usage), {}, {},
        std::move(zoneUpdates), std::move(targetAges), static_cast<unsigned>(zone.size()), {}, std::move(failures) };
    sums.quarantine.answers = std::move(answers);
    if (m_sharesZoneWork) {
        sums.work = m_context.zoneWork.sumOfLoads(zone);
        sums.paces = std::move(paces);
    }
    sums.rollouts = m_context.rollouts.reportsOfZone(zone);
    sums.term = termSums.term;
    sums.uptime = std::chrono::ceil<std::chrono::milliseconds>(termSums.age);
    co_await sendToOtherZones(std::move(sums));
}

Task<> FleetReporter::sendToOtherZones(FleetReport report)
{
    report.isForZone = true;
    co_await sendTo(m_context.fleet.entryPointsOfOtherZones(m_round++), std::move(report));
}

Task<> FleetReporter::sendTo(std::vector<Endpoint> endpoints, FleetReport report)
{
    report.sequence = ++m_sequence;
    if (report.members == 0) {
        report.uptime = std::chrono::ceil<std::chrono::milliseconds>(uptime());
    }
    co_await sendBytes(std::move(endpoints), FleetReportCodec::encode(report));
}

Task<> FleetReporter::sendBytes(std::vector<Endpoint> endpoints, std::string bytes)
{
    for (const auto& endpoint : endpoints) {
        boost::system::error_code ec;
        const udp::endpoint to(asio::ip::make_address(endpoint.address, ec), endpoint.port);
        if (!ec) {
            const auto [sendError, n] = co_await m_socket.async_send_to(asio::buffer(bytes), to, asTuple);
            // A report that cannot be sent counts as lost. The receiver notices missing reports.
            m_context.metrics.count(Counter::PeerBytesSent, sendError ? 0 : n);
        }
    }
}

Task<> FleetReporter::receive()
{
    std::string buf(maxReportBytes, '\0');
    for (;;) {
        udp::endpoint from;
        const auto [ec, n] = co_await m_socket.async_receive_from(asio::buffer(buf), from, asTuple);
        if (ec == asio::error::operation_aborted) {
            co_return;
        }
        if (ec) {
            // For example because an earlier datagram was rejected by its receiver.
            co_await sleepFor(reportInterval);
            continue;
        }
        m_context.metrics.count(Counter::PeerBytesReceived, n);
        co_await handleReport(std::string_view(buf).substr(0, n));
    }
}

Task<> FleetReporter::handleReport(std::string_view bytes)
{
    auto report = FleetReportCodec::decode(bytes);
    if (!report) {
        m_context.metrics.count(Counter::PeerBadFrames);
        co_return;
    }
    const bool wasInContact = m_context.fleet.isInContact(report->vm, report->incarnation);
    if (report->vm == m_vm
        || !m_context.fleet.recordReport(report->vm, report->incarnation, report->sequence, report->members)) {
        co_return;
    }
    if (std::exchange(report->isForZone, false)) {
        co_await sendBytes(m_context.fleet.othersOfOwnZone(), FleetReportCodec::encode(*report));
    }
    const bool isOfOwnZone = m_context.fleet.isOfOwnZone(report->vm);
    const auto source
        = report->members > 0 ? ZoneRelay::incarnationOfTerm(report->incarnation, report->term) : report->incarnation;
    m_context.quota.recordRemoteUsage(report->vm, source, report->usage, isOfOwnZone, report->uptime);
    if (isOfOwnZone) {
        m_relay.recordReport(report->vm, report->term, report->uptime, m_context.quota.zoneTotals(), uptime());
    }
    m_context.quota.recordRemoteLevels(report->lowLevels);
    recordWork(*report);
    m_context.pace.recordRemote(report->paces, isOfOwnZone);
    m_context.directory.recordRemoteRead(report->cachedPrefixes, isOfOwnZone);
    for (const auto& it : report->targetAges) {
        m_context.runnerCommands.setTargetWeightsAge(it.model, it.version, it.age);
    }
    m_context.runnerCommands.recordLoadedWeights(report->loaded);
    m_context.runnerCommands.recordRemoteFailures(report->vm, report->failures);
    m_context.quarantine.mergeReport(report->quarantine, isOfOwnZone);
    // VMs of other zones of a large fleet seldom report themselves, and get the list in their own zone.
    if (!wasInContact && (isOfOwnZone || !m_context.fleet.isLarge())) {
        m_context.quarantine.repeatParts();
    }
    m_context.runnerCommands.setLoadingRunners(report->vm, std::move(report->loading));
    m_context.rolloutCommands.recordRemote(report->vm, std::move(report->rollouts));
}

void FleetReporter::recordWork(const FleetReport& report)
{
    if (report.members == 0) {
        m_context.runnerCommands.setRemoteLoad(report.vm, report.work);
        return;
    }
    if (!m_context.fleet.isLarge()) {
        return;
    }
    const auto zonesBefore = m_zoneWork.zones();
    if (const auto workId = m_zoneWork.accept(report.vm, report.term, !report.work.empty())) {
        if (m_zoneWork.zones() != zonesBefore) {
            logStateChange("zone-work-known", { { "work", workId->value() }, { "relay", report.vm.value() } });
        }
        // VMs that take the fleet for a small one report their work to all zones. It is in the sum.
        for (const auto& vm : m_context.fleet.vmsOf(*FleetView::zoneOfRelay(report.vm))) {
            m_context.runnerCommands.setRemoteLoad(vm, {});
        }
        m_context.runnerCommands.setRemoteLoad(*workId, report.work);
    }
}

void FleetReporter::dropZoneWork(const VmId& workId)
{
    m_context.runnerCommands.clearRemoteLoad(workId);
    logStateChange("zone-work-unknown", { { "work", workId.value() } });
}

} // namespace Pollenwind
