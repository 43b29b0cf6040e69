#include "Upstream/UpstreamTable.h"

#include <algorithm>

namespace Pollenwind {

UpstreamTable::UpstreamTable(const Clock& clock, const ConfigurationQueries& configuration, TimelineCommands& timeline,
    CacheCommands& cache, MetricCommands& metrics)
    : m_clock(clock)
    , m_configuration(configuration)
    , m_timeline(timeline)
    , m_cache(cache)
    , m_metrics(metrics)
{
}

void UpstreamTable::reconfigure()
{
    const auto configuration = m_configuration.current();
    std::map<UpstreamId, Entry> entries;
    for (const auto& [id, service] : configuration->document.services) {
        for (const auto& spec : service.upstreams) {
            const auto old = m_entries.find(spec.id);
            const bool isKept = old != m_entries.end() && old->second.spec.endpoint == spec.endpoint;
            auto entry = isKept ? std::move(old->second) : Entry { .breaker = CircuitBreaker(m_clock) };
            entry.service = id;
            entry.spec = spec;
            entries.emplace(spec.id, std::move(entry));
        }
    }
    m_entries = std::move(entries);
}

void UpstreamTable::recordHealth(const UpstreamId& upstream, const Outcome<HealthReport>& report)
{
    const auto it = m_entries.find(upstream);
    if (it == m_entries.end()) {
        return;
    }
    auto& entry = it->second;
    entry.breaker.refresh();
    recordBreakerState(upstream, entry);
    const auto previous = entry.report;
    if (!report) {
        entry.report.state = UpstreamState::Unreachable;
        return;
    }
    entry.report = *report;
    entry.reportedAt = m_clock.now();
    if (report->incarnation != previous.incarnation) {
        entry.breaker.recordRestart();
        recordBreakerState(upstream, entry);
        m_cache.setIncarnation(upstream, report->incarnation);
        m_timeline.record(EventKind::UpstreamIncarnation, { { "upstream", upstream.value() } });
    }
    if (report->state == UpstreamState::Leaving && previous.state != UpstreamState::Leaving) {
        m_timeline.record(EventKind::UpstreamLeaving, { { "upstream", upstream.value() } });
    }
}

void UpstreamTable::recordStarted(const UpstreamId& upstream, double tokens)
{
    const auto it = m_entries.find(upstream);
    if (it != m_entries.end()) {
        it->second.ownTokens += tokens;
        it->second.breaker.recordStarted();
        recordBreakerState(upstream, it->second);
    }
}

void UpstreamTable::recordEnded(const UpstreamId& upstream, double tokens, WorkResult result)
{
    const auto it = m_entries.find(upstream);
    if (it == m_entries.end()) {
        return;
    }
    auto& entry = it->second;
    entry.ownTokens = std::max(0.0, entry.ownTokens - tokens);
    switch (result) {
    case WorkResult::Succeeded:
        entry.breaker.recordSuccess();
        break;
    case WorkResult::Failed:
        entry.breaker.recordFailure();
        break;
    case WorkResult::Abandoned:
        entry.breaker.recordAbandoned();
        break;
    }
    recordBreakerState(upstream, entry);
}

void UpstreamTable::recordBreakerState(const UpstreamId& upstream, Entry& entry)
{
    const auto state = entry.breaker.state();
    if (state == entry.recordedBreakerState) {
        return;
    }
    entry.recordedBreakerState = state;
    const EventFields fields { { "upstream", upstream.value() } };
    if (state == BreakerState::Open) {
        m_metrics.count(Counter::BreakerOpenings);
        m_timeline.record(EventKind::BreakerOpened, fields);
    } else if (state == BreakerState::HalfOpen) {
        m_timeline.record(EventKind::BreakerHalfOpen, fields);
    } else if (state == BreakerState::Closed) {
        m_timeline.record(EventKind::BreakerClosed, fields);
    }
}

std::vector<PlacementCandidate> UpstreamTable::candidates(const ServiceId& service, const VersionId& version) const
{
    std::vector<PlacementCandidate> found;
    for (const auto& [id, entry] : m_entries) {
        const auto& versions = entry.report.versions;
        const bool isLoaded = std::find(versions.begin(), versions.end(), version) != versions.end();
        const double admission = entry.breaker.admission();
        if (entry.service == service && entry.report.state == UpstreamState::Ready && isLoaded && admission > 0) {
            found.push_back({ id, entry.report.incarnation, entry.spec.zone, entry.report.queuedTokens,
                entry.reportedAt, admission });
        }
    }
    return found;
}

std::optional<Endpoint> UpstreamTable::endpointOf(const UpstreamId& upstream) const
{
    const auto it = m_entries.find(upstream);
    return it == m_entries.end() ? std::nullopt : std::optional(it->second.spec.endpoint);
}

std::vector<UpstreamStatus> UpstreamTable::status() const
{
    std::vector<UpstreamStatus> all;
    for (const auto& [id, entry] : m_entries) {
        all.push_back({ id, entry.service, entry.spec.zone, entry.spec.endpoint, entry.report.state,
            entry.report.incarnation, entry.report.versions, std::string(nameOf(entry.breaker.state())),
            std::max(entry.report.queuedTokens, entry.ownTokens) });
    }
    return all;
}

} // namespace Pollenwind
