#include "Gateway/ZoneEvacuations.h"

#include <string>

namespace Pollenwind {

namespace {

    constexpr std::string_view lostKeyCause = "missing after a restore";

    std::string toMilliseconds(std::chrono::nanoseconds time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    }

} // namespace

void ZoneEvacuations::begin(const ZoneId& zone)
{
    const auto now = m_clock.now();
    const auto it = m_evacuations.find(zone);
    if (it != m_evacuations.end() && !it->second.isOver(now)) {
        it->second.endsAt = MonotonicTime(0);
        return;
    }
    if (it != m_evacuations.end()) {
        finish(it, it->second.endsAt, lostKeyCause);
    }
    m_evacuations[zone] = { now };
    m_ended.erase(zone);
    m_timeline.record(EventKind::EvacuationStarted, { { "zone", zone.value() } });
}

void ZoneEvacuations::end(const ZoneId& zone)
{
    if (const auto it = m_evacuations.find(zone); it != m_evacuations.end()) {
        finish(it, m_clock.now(), "deleted");
    }
}

void ZoneEvacuations::replaceAll(const std::set<ZoneId>& zones, bool isRestored)
{
    const auto now = m_clock.now();
    for (auto it = m_evacuations.begin(); it != m_evacuations.end();) {
        const auto current = it++;
        if (zones.contains(current->first)) {
            continue;
        }
        auto& endsAt = current->second.endsAt;
        if (isRestored && endsAt.count() == 0) {
            endsAt = now + lostKeyRetention;
        } else if (endsAt.count() == 0) {
            finish(current, now, "deleted");
        }
    }
    for (const auto& zone : zones) {
        begin(zone);
    }
}

void ZoneEvacuations::finish(std::map<ZoneId, Evacuation>::iterator it, MonotonicTime at, std::string_view cause)
{
    m_timeline.record(EventKind::EvacuationEnded,
        { { "zone", it->first.value() }, { "cause", std::string(cause) },
            { "ms", toMilliseconds(at - it->second.startedAt) } });
    m_ended[it->first] = at;
    m_evacuations.erase(it);
}

bool ZoneEvacuations::isEvacuated(const ZoneId& zone) const
{
    const auto it = m_evacuations.find(zone);
    return it != m_evacuations.end() && !it->second.isOver(m_clock.now());
}

std::optional<std::chrono::nanoseconds> ZoneEvacuations::timeSinceEnd(const ZoneId& zone) const
{
    const auto now = m_clock.now();
    if (const auto it = m_evacuations.find(zone); it != m_evacuations.end()) {
        return it->second.isOver(now) ? std::optional(now - it->second.endsAt) : std::nullopt;
    }
    const auto it = m_ended.find(zone);
    return it != m_ended.end() && now - it->second < endRetention ? std::optional(now - it->second) : std::nullopt;
}

EvacuationProgress ZoneEvacuations::update(const std::map<ZoneId, unsigned>& requests)
{
    const auto now = m_clock.now();
    EvacuationProgress progress;
    for (auto it = m_evacuations.begin(); it != m_evacuations.end();) {
        const auto current = it++;
        auto& [zone, evacuation] = *current;
        if (evacuation.isOver(now)) {
            finish(current, evacuation.endsAt, lostKeyCause);
            continue;
        }
        const auto running = requests.find(zone);
        const unsigned count = running == requests.end() ? 0 : running->second;
        ++progress.zones;
        progress.requests += count;
        if (count == 0 && !evacuation.isComplete) {
            evacuation.isComplete = true;
            m_timeline.record(EventKind::EvacuationCompleted,
                { { "zone", zone.value() }, { "ms", toMilliseconds(now - evacuation.startedAt) } });
        }
    }
    std::erase_if(m_ended, [now](const auto& it) { return now - it.second >= endRetention; });
    return progress;
}

} // namespace Pollenwind
