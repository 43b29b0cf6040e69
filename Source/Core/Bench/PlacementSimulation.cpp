#include "Bench/PlacementSimulation.h"

#include "Placement/ComparisonPolicies.h"

#include <algorithm>
#include <cmath>

namespace Pollenwind::Bench {

namespace {

    constexpr std::size_t routerCount = 9;
    constexpr std::size_t zoneCount = 3;
    constexpr double crossZoneSeconds = 0.001;

    // Load reports are taken once per second and arrive after the lag.
    constexpr double reportInterval = 1.0;
    constexpr double reportLag = 0.2;

    // Cache events are delivered in batches after half a second. One batch in 200 is lost, which causes a gap about
    // every 20 s for each pair of router and engine.
    constexpr double eventInterval = 0.1;
    constexpr double eventLag = 0.5;
    constexpr double eventLoss = 0.005;

    ZoneId zoneName(std::size_t zone) { return ZoneId("z" + std::to_string(zone)); }

    double quantile(std::vector<double>& values, double q)
    {
        if (values.empty()) {
            return 0;
        }
        const auto n = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
        return values[n];
    }

} // namespace

struct PlacementSimulation::RequestRecord {
    WorkloadRequest request;
    std::size_t router = 0;
    PlacementChoice choice;
    double arrivedAt = 0;
    double networkSeconds = 0;
    double firstTokenAt = 0;
    /// Uncached tokens on arrival at the engine.
    std::uint32_t missedTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t wastedTokens = 0;
    bool isStarted = false;
    bool isCrossZone = false;
};

struct PlacementSimulation::RouterModel {
    explicit RouterModel(const Clock& clock, const PlacementIndexOptions& options)
        : index(clock, options)
    {
    }

    PlacementIndex index;
    std::unique_ptr<PlacementPolicy> policy;
    ZoneId zone;
    std::size_t zoneNumber = 0;
    std::vector<PlacementCandidate> candidates;
    /// Number of cache events delivered so far, for each engine.
    std::vector<std::size_t> delivered;
};

/// Reads all caches and queues without delay; the reference for the other policies.
class PlacementSimulation::OraclePolicy final : public PlacementPolicy {
public:
    OraclePolicy(const PlacementSimulation& simulation)
        : m_simulation(simulation)
    {
    }

    std::optional<PlacementChoice> choose(
        const PlacementRequest& request, std::span<const PlacementCandidate> candidates) const override
    {
        std::size_t best = 0;
        double least = 1e300;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const auto& engine = m_simulation.m_engines[i];
            const double missed = request.chain.promptTokens
                - engine.cache.countCachedBlocks(request.chain) * request.chain.blockTokens;
            const double slowdown = 1 + decodeSlowdown * static_cast<double>(engine.decoding);
            const double zone = candidates[i].zone == request.ownZone ? 0 : 2 * crossZoneSeconds;
            const double weight = m_simulation.m_options.cost.missedWeight;
            const double cost = missed * prefillPerToken * slowdown * weight + m_simulation.backlog(i) + zone;
            if (cost < least) {
                least = cost;
                best = i;
            }
        }
        return PlacementChoice { candidates[best].upstream, candidates[best].incarnation };
    }

private:
    const PlacementSimulation& m_simulation;
};

PlacementSimulation::PlacementSimulation(SimulationOptions options)
    : m_options(options)
    , m_random(m_options.seed)
    , m_workload(m_options.shape, m_options.seed + 1000)
{
    for (std::size_t i = 0; i < m_options.shape.engines; ++i) {
        m_engines.push_back({ .id = UpstreamId("engine-" + std::to_string(100 + i)),
            .zone = i % zoneCount,
            .cache = CacheModel(m_options.shape.cacheBlocks) });
    }
    for (std::size_t i = 0; i < routerCount; ++i) {
        auto& router = *m_routers.emplace_back(std::make_unique<RouterModel>(m_clock, m_options.index));
        router.zoneNumber = i % zoneCount;
        router.zone = zoneName(router.zoneNumber);
        router.delivered.resize(m_engines.size());
        for (const auto& it : m_engines) {
            router.index.setIncarnation(it.id, it.incarnation);
            router.candidates.push_back({ it.id, it.incarnation, zoneName(it.zone), 0, m_clock.now(), 1 });
        }
        router.policy = makePolicy(router, i);
    }
}

PlacementSimulation::~PlacementSimulation() = default;

std::unique_ptr<PlacementPolicy> PlacementSimulation::makePolicy(RouterModel& router, std::size_t number)
{
    switch (m_options.policy) {
    case PolicyKind::RoundRobin:
        return std::make_unique<RoundRobinPolicy>();
    case PolicyKind::LeastLoad:
        return std::make_unique<LeastLoadPolicy>(router.index);
    case PolicyKind::WholePrefix:
        return std::make_unique<WholePrefixPolicy>();
    case PolicyKind::Oracle:
        return std::make_unique<OraclePolicy>(*this);
    case PolicyKind::Cost:
        break;
    }
    auto options = m_options.cost;
    options.seed = m_options.seed * 100 + number;
    return std::make_unique<CostPolicy>(m_clock, router.index, router.index, options);
}

void PlacementSimulation::schedule(double at, std::function<void()> action)
{
    m_events.push({ at, m_nextEvent++, std::move(action) });
}

SimulationResult PlacementSimulation::run()
{
    for (std::size_t router = 0; router < routerCount; ++router) {
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
            // Random phases, since the tasks of the routers are not synchronised.
            const double phase = std::uniform_real_distribution<double>(0, 1)(m_random);
            schedule(phase * reportInterval, [=, this] { report(router, engine); });
            if (m_options.policy == PolicyKind::Cost && m_options.index.usesEvents) {
                schedule(phase * eventInterval, [=, this] { deliverEvents(router, engine); });
            }
        }
    }
    schedule(0, [this] { arrive(); });
    while (!m_events.empty() && m_events.top().at < m_options.seconds) {
        const auto event = m_events.top();
        m_events.pop();
        m_clock.advance(std::chrono::nanoseconds(static_cast<std::int64_t>((event.at - m_now) * 1e9)));
        m_now = event.at;
        event.action();
    }
    return summarise();
}

void PlacementSimulation::arrive()
{
    const std::size_t number = m_requests.size();
    auto& record = m_requests.emplace_back();
    record.request = m_workload.next(m_now);
    record.arrivedAt = m_now;
    record.router = std::uniform_int_distribution<std::size_t>(0, routerCount - 1)(m_random);
    auto& router = *m_routers[record.router];
    PlacementRequest request { ServiceId("model"), VersionId("v1"), record.request.chain, router.zone };
    record.choice = *router.policy->choose(request, router.candidates);
    router.index.recordPlacement(record.choice, record.request.chain);
    const auto engine = static_cast<std::size_t>(std::stoul(record.choice.upstream.value().substr(7))) - 100;
    record.isCrossZone = m_engines[engine].zone != router.zoneNumber;
    record.networkSeconds = record.isCrossZone ? crossZoneSeconds : 0;
    schedule(m_now + record.networkSeconds, [=, this] { enqueue(engine, number); });
    const double gap = std::exponential_distribution<double>(m_options.rate)(m_random);
    schedule(m_now + gap, [this] { arrive(); });
}

void PlacementSimulation::enqueue(std::size_t engine, std::size_t request)
{
    auto& model = m_engines[engine];
    auto& record = m_requests[request];
    const auto& chain = record.request.chain;
    record.missedTokens = chain.promptTokens - model.cache.countCachedBlocks(chain) * chain.blockTokens;
    model.waitingTokens += record.missedTokens;
    model.waiting.push_back(request);
    startPrefill(engine);
}

std::uint32_t PlacementSimulation::longestCachedPrefix(const PrefixChain& chain) const
{
    std::uint32_t longest = 0;
    for (const auto& it : m_engines) {
        longest = std::max(longest, it.cache.countCachedBlocks(chain));
    }
    return longest;
}

double PlacementSimulation::backlog(std::size_t engine) const
{
    const auto& model = m_engines[engine];
    const double slowdown = 1 + decodeSlowdown * static_cast<double>(model.decoding);
    double seconds = model.isPrefilling ? model.prefillEndsAt - m_now : 0;
    seconds += model.waitingTokens * prefillPerToken * slowdown;
    return seconds;
}

void PlacementSimulation::startPrefill(std::size_t engine)
{
    auto& model = m_engines[engine];
    if (model.isPrefilling || model.waiting.empty() || model.decoding >= maxDecoding) {
        return;
    }
    model.isPrefilling = true;
    auto& record = m_requests[model.waiting.front()];
    const auto& chain = record.request.chain;
    model.waitingTokens -= record.missedTokens;
    const auto cachedBlocks = model.cache.countCachedBlocks(chain);
    record.isStarted = true;
    record.cachedTokens = cachedBlocks * chain.blockTokens;
    record.wastedTokens = (longestCachedPrefix(chain) - cachedBlocks) * chain.blockTokens;
    const double slowdown = 1 + decodeSlowdown * static_cast<double>(model.decoding);
    const double seconds = (chain.promptTokens - record.cachedTokens) * prefillPerToken * slowdown;
    model.busySeconds += m_now > m_options.warmUp ? seconds : 0;
    model.prefillEndsAt = m_now + seconds;
    schedule(model.prefillEndsAt, [=, this] { endPrefill(engine); });
}

void PlacementSimulation::endPrefill(std::size_t engine)
{
    auto& model = m_engines[engine];
    const auto number = model.waiting.front();
    model.waiting.pop_front();
    model.isPrefilling = false;
    auto& record = m_requests[number];
    model.cache.use(record.request.chain, m_now);
    record.firstTokenAt = m_now + record.networkSeconds;
    ++model.decoding;
    schedule(m_now + record.request.outputTokens * decodePerToken, [=, this] {
        const auto& ended = m_requests[number];
        m_routers[ended.router]->index.recordCachedTokens(ended.choice, ended.request.chain, ended.cachedTokens);
        --m_engines[engine].decoding;
        startPrefill(engine);
    });
    startPrefill(engine);
}

void PlacementSimulation::report(std::size_t router, std::size_t engine)
{
    const double tokens = backlog(engine) / prefillPerToken;
    schedule(m_now + reportLag, [=, this] {
        auto& candidate = m_routers[router]->candidates[engine];
        candidate.queuedTokens = tokens;
        candidate.reportedAt = m_clock.now();
    });
    schedule(m_now + reportInterval, [=, this] { report(router, engine); });
}

void PlacementSimulation::deliverEvents(std::size_t router, std::size_t engine)
{
    auto& model = *m_routers[router];
    const auto& events = m_engines[engine].cache.events();
    const bool isLost = std::uniform_real_distribution<double>(0, 1)(m_random) < eventLoss;
    auto& next = model.delivered[engine];
    for (; next < events.size() && events[next].at + eventLag <= m_now; ++next) {
        if (!isLost) {
            model.index.onCacheEvent(m_engines[engine].id, events[next].event);
        }
    }
    schedule(m_now + eventInterval, [=, this] { deliverEvents(router, engine); });
}

SimulationResult PlacementSimulation::summarise() const
{
    SimulationResult result;
    std::vector<double> all;
    std::vector<std::vector<double>> perOrganisation(organisationShares.size());
    std::vector<double> prompt(organisationShares.size());
    std::vector<double> cached(organisationShares.size());
    double wasted = 0;
    double cross = 0;
    for (const auto& it : m_requests) {
        if (it.arrivedAt < m_options.warmUp) {
            continue;
        }
        // A request that is still waiting counts with its waiting time so far.
        const double end = it.firstTokenAt > 0 ? it.firstTokenAt : m_options.seconds;
        all.push_back(end - it.arrivedAt);
        perOrganisation[it.request.organisation].push_back(end - it.arrivedAt);
        cross += it.isCrossZone;
        if (it.isStarted) {
            prompt[it.request.organisation] += it.request.chain.promptTokens;
            cached[it.request.organisation] += it.cachedTokens;
            wasted += it.wastedTokens;
        }
    }
    double promptTotal = 0;
    double cachedTotal = 0;
    for (std::size_t i = 0; i < prompt.size(); ++i) {
        promptTotal += prompt[i];
        cachedTotal += cached[i];
        result.worstP99 = std::max(result.worstP99, quantile(perOrganisation[i], 0.99));
        result.worstHitRate = std::min(result.worstHitRate, cached[i] / std::max(1.0, prompt[i]));
    }
    for (const auto& it : m_engines) {
        result.busy += it.busySeconds / (m_options.seconds - m_options.warmUp) / static_cast<double>(m_engines.size());
    }
    result.requests = all.size();
    result.hitRate = cachedTotal / std::max(1.0, promptTotal);
    result.wasted = wasted / std::max(1.0, promptTotal);
    result.crossZone = cross / std::max(1.0, static_cast<double>(all.size()));
    result.p50 = quantile(all, 0.5);
    result.p99 = quantile(all, 0.99);
    return result;
}

} // namespace Pollenwind::Bench
