#include "Gateway/CrashDetector.h"

#include "Common/TaskFault.h"
#include "Gateway/Queries/PrefixQueries.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Pollenwind {

CrashDetector::CrashDetector(asio::any_io_executor executor, const Clock& clock, const RunnerQueries& runners,
    RunnerProbe& probe, QuarantineCommands& quarantine)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_runners(runners)
    , m_probe(probe)
    , m_quarantine(quarantine)
{
}

void CrashDetector::recordLoss(
    const UpstreamId& runner, Incarnation incarnation, const Endpoint& endpoint, std::span<const PartId> parts)
{
    const auto entry = m_runners.find(runner);
    if (parts.empty() || !entry || (entry->incarnation == incarnation && entry->state == RunnerState::Draining)) {
        return;
    }
    const auto now = m_clock.now();
    const auto process = holderHash(runner, incarnation);
    if (m_losses.size() >= maxRunners && !m_losses.contains(process)) {
        m_losses.erase(std::ranges::min_element(
            m_losses, [](const auto& a, const auto& b) { return a.second.lastAt < b.second.lastAt; }));
    }
    auto& losses = m_losses[process];
    losses.runner = runner;
    losses.incarnation = incarnation;
    losses.lastAt = now;
    for (const auto part : parts) {
        if (losses.parts.size() < maxParts) {
            losses.parts.insert(part);
        }
    }
    if (losses.isCrashed || isReplaced(losses)) {
        confirm(losses, process);
    } else if (losses.probedAt.count() == 0 || now - losses.probedAt >= minProbeInterval) {
        losses.probedAt = now;
        spawnTask(m_executor, TaskKind::UpstreamCall, probe(process, endpoint));
    }
}

Task<> CrashDetector::probe(std::uint64_t process, Endpoint endpoint)
{
    const bool isRefused = co_await m_probe.isRefused(endpoint);
    const auto it = m_losses.find(process);
    if (isRefused && it != m_losses.end()) {
        confirm(it->second, process);
    }
}

void CrashDetector::confirm(Losses& losses, std::uint64_t process)
{
    losses.isCrashed = true;
    const auto parts = std::exchange(losses.parts, {});
    if (!parts.empty()) {
        m_quarantine.recordCrash(losses.runner.value(), process, std::vector<PartId>(parts.begin(), parts.end()));
    }
}

bool CrashDetector::isReplaced(const Losses& losses) const
{
    const auto entry = m_runners.find(losses.runner);
    return entry && entry->state == RunnerState::Ready && entry->incarnation != losses.incarnation;
}

void CrashDetector::checkReplaced()
{
    const auto now = m_clock.now();
    for (auto& [process, losses] : m_losses) {
        if (!losses.isCrashed && isReplaced(losses)) {
            confirm(losses, process);
        }
    }
    std::erase_if(m_losses, [now](const auto& it) { return now - it.second.lastAt > lossRetention; });
}

} // namespace Pollenwind
