#include "Gateway/MemoryMetrics.h"

#include <utility>

namespace Pollenwind {

namespace {

    Counter counterOf(MemoryUse use)
    {
        switch (use) {
        case MemoryUse::Request:
            return Counter::MemoryRefusalsRequest;
        case MemoryUse::UnparsedResponse:
            return Counter::MemoryRefusalsUnparsedResponse;
        case MemoryUse::RunnerResponse:
            return Counter::MemoryRefusalsRunnerResponse;
        case MemoryUse::RunnerStream:
            return Counter::MemoryRefusalsRunnerStream;
        case MemoryUse::RunnerReport:
            return Counter::MemoryRefusalsRunnerReport;
        case MemoryUse::StoreResponse:
            return Counter::MemoryRefusalsStoreResponse;
        case MemoryUse::PeerFeed:
            return Counter::MemoryRefusalsPeerFeed;
        case MemoryUse::OperatorResponse:
            break;
        }
        return Counter::MemoryRefusalsOperatorResponse;
    }

} // namespace

void MemoryMetrics::update()
{
    m_metrics.set(Gauge::MemoryHeld, m_budget.heldBytes());
    m_metrics.set(Gauge::MemoryBudget, m_budget.total());
    for (const auto& [use, name] : EnumTable<MemoryUse>::rows) {
        const auto total = m_budget.refusals(use);
        m_metrics.count(counterOf(use), total - std::exchange(m_counted[static_cast<std::size_t>(use)], total));
    }
}

} // namespace Pollenwind
