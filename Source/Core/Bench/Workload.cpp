#include "Bench/Workload.h"

#include <cmath>

namespace Pollenwind::Bench {

namespace {

    constexpr std::uint32_t blockTokens = 2048;

    std::uint64_t mix(std::uint64_t x)
    {
        // Finaliser of SplitMix64.
        x += 0x9e3779b97f4a7c15ULL;
        x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
        x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
        return x ^ (x >> 31);
    }

} // namespace

WorkloadShape shapeOf(WorkloadKind kind)
{
    WorkloadShape shape;
    if (kind == WorkloadKind::Kutpenz) {
        shape.engines = 18;
        shape.manuals = 4;
        shape.ranges = 20;
        shape.vehicles = 12;
        shape.manualBlocks = 10;
        shape.rangeBlocks = 3;
        shape.vehicleBlocks = 2;
        shape.shiftSeconds = 30;
    }
    return shape;
}

Workload::Workload(const WorkloadShape& shape, std::uint64_t seed)
    : m_shape(shape)
    , m_random(seed)
{
}

std::size_t Workload::drawRank(std::size_t n)
{
    double sum = 0;
    for (std::size_t i = 0; i < n; ++i) {
        sum += std::pow(static_cast<double>(i + 1), -m_shape.zipf);
    }
    double draw = std::uniform_real_distribution<double>(0, sum)(m_random);
    for (std::size_t i = 0; i + 1 < n; ++i) {
        draw -= std::pow(static_cast<double>(i + 1), -m_shape.zipf);
        if (draw < 0) {
            return i;
        }
    }
    return n - 1;
}

void Workload::appendLevel(PrefixChain& chain, std::uint64_t name, std::uint32_t blocks) const
{
    for (std::uint32_t i = 0; i < blocks; ++i) {
        const auto parent = chain.hashes.empty() ? 0 : chain.hashes.back();
        chain.hashes.push_back(mix(parent ^ mix(name * 64 + i)));
    }
}

WorkloadRequest Workload::next(double seconds)
{
    WorkloadRequest request;
    std::discrete_distribution<std::size_t> organisation(organisationShares.begin(), organisationShares.end());
    request.organisation = organisation(m_random);
    // Each shift assigns the popularity ranks to other prefixes of the same organisation.
    const auto shift = static_cast<std::size_t>(seconds / m_shape.shiftSeconds);
    const auto manual = (drawRank(m_shape.manuals) + shift) % m_shape.manuals;
    const auto range = (drawRank(m_shape.ranges) + shift * 3) % m_shape.ranges;
    const auto vehicle = (drawRank(m_shape.vehicles) + shift * 5) % m_shape.vehicles;
    auto& chain = request.chain;
    chain.blockTokens = blockTokens;
    appendLevel(chain, 1 + request.organisation * 1000 + manual, m_shape.manualBlocks);
    appendLevel(chain, 10'000 + range, m_shape.rangeBlocks);
    appendLevel(chain, 20'000 + vehicle, m_shape.vehicleBlocks);
    const auto question = std::uniform_int_distribution<std::uint32_t>(200, 1600)(m_random);
    chain.promptTokens = static_cast<std::uint32_t>(chain.hashes.size()) * blockTokens + question;
    request.outputTokens = std::uniform_int_distribution<std::uint32_t>(40, 260)(m_random);
    return request;
}

} // namespace Pollenwind::Bench
