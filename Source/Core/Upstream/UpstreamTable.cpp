#include "Upstream/UpstreamTable.h"

#include <algorithm>

namespace Pollenwind {

UpstreamTable::UpstreamTable(
    const Clock& clock, const ConfigurationQueries& configuration, TimelineCommands& timeline, CacheCommands& cache)
    : m_clock(clock)
    , m_configuration(configuration)
    , m_timeline(timeline)
    , m_cache(cache)
{
}

void UpstreamTable::reconfigure()
{
    const auto configuration = m_configuration.current();
    std::map<UpstreamId, Entry> entries;
    for (const auto& [id, service] : configuration->document.services) {
        for (const auto& spec : service.upstreams) {
            Entry entry;
            const auto old = m_entries.find(spec.id);
            if (old != m_entries.end() && old->second.spec.endpoint == spec.endpoint) {
                entry = old->second;
            }
            entry.service = id;
            entry.spec = spec;
            entries.emplace(spec.id, std::move(entry));
        }
    }
    m_entries = std::move(entries);
}

void UpstreamTable::noteHealth(const UpstreamId& upstream, const Outcome<HealthReport>& report)
{
    const auto it = m_entries.find(upstream);
    if (it == m_entries.end()) {
        return;
    }
    auto& entry = it->second;
    const auto previous = entry.report;
    if (!report) {
        entry.report.state = UpstreamState::Unreachable;
        return;
    }
    entry.report = *report;
    entry.reportedAt = m_clock.now();
    if (report->incarnation != previous.incarnation) {
        m_cache.noteIncarnation(upstream, report->incarnation);
        m_timeline.record(EventKind::UpstreamIncarnation, { { "upstream", upstream.value() } });
    }
    if (report->state == UpstreamState::Leaving && previous.state != UpstreamState::Leaving) {
        m_timeline.record(EventKind::UpstreamLeaving, { { "upstream", upstream.value() } });
    }
}

void UpstreamTable::noteStarted(const UpstreamId& upstream, double tokens)
{
    const auto it = m_entries.find(upstream);
    if (it != m_entries.end()) {
        it->second.ownTokens += tokens;
    }
}

void UpstreamTable::noteEnded(const UpstreamId& upstream, double tokens, bool)
{
    const auto it = m_entries.find(upstream);
    if (it != m_entries.end()) {
        it->second.ownTokens = std::max(0.0, it->second.ownTokens - tokens);
    }
}

std::vector<PlacementCandidate> UpstreamTable::candidates(const ServiceId& service, const VersionId& version) const
{
    std::vector<PlacementCandidate> found;
    for (const auto& [id, entry] : m_entries) {
        const auto& versions = entry.report.versions;
        const bool isLoaded = std::find(versions.begin(), versions.end(), version) != versions.end();
        if (entry.service == service && entry.report.state == UpstreamState::Ready && isLoaded) {
            found.push_back(
                { id, entry.report.incarnation, entry.spec.zone, entry.report.queuedTokens, entry.reportedAt, 1 });
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
        all.push_back(
            { id, entry.service, entry.spec.zone, entry.spec.endpoint, entry.report.state, entry.report.incarnation,
                entry.report.versions, "closed", std::max(entry.report.queuedTokens, entry.ownTokens) });
    }
    return all;
}

} // namespace Pollenwind
