#include "MoveBench/MoveScenario.h"

#include "Moves/MoveTable.h"
#include "Moves/Queries/MovePlanner.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>

namespace Pollenwind {

namespace {

    constexpr std::size_t routerCount = 9;
    constexpr std::size_t zoneCount = 3;
    constexpr std::chrono::milliseconds tick { 50 };
    constexpr std::chrono::milliseconds planInterval { 500 };
    constexpr std::chrono::milliseconds evidenceInterval { 2000 };
    constexpr std::chrono::milliseconds recordDelay { 200 };
    constexpr std::chrono::milliseconds loadTime { 500 };
    constexpr double ordinaryFailureRate = 0.002;

    const ServiceId service { "model" };
    const VersionId oldVersion { "v1" };
    const VersionId newVersion { "v2" };

    class NoTimeline final : public TimelineCommands {
    public:
        void record(EventKind, EventFields) override { }
        void observe(HybridTime) override { }
        HybridTime stamp() override { return {}; }
    };

    class SettableFreshness final : public RecordFreshness {
    public:
        std::chrono::nanoseconds age() const override { return m_age; }
        void setAge(std::chrono::nanoseconds age) { m_age = age; }

    private:
        std::chrono::nanoseconds m_age { 0 };
    };

    struct SimulatedRouter {
        SettableFreshness freshness;
        std::unique_ptr<MoveTable> table;
        MonotonicTime lastContact { 0 };
    };

    struct SimulatedEngine {
        MoveUpstream upstream;
        WallTime loadEnds { 0 };
        VersionId loadingVersion;
    };

    class Simulation {
    public:
        explicit Simulation(const MoveScenario& scenario)
            : m_scenario(scenario)
            , m_random(scenario.seed)
        {
            for (std::size_t i = 0; i < routerCount; ++i) {
                auto& router = m_routers.emplace_back();
                router.lastContact = m_clock.now();
                resetTable(router);
            }
            for (std::uint32_t i = 0; i < scenario.engines; ++i) {
                auto& engine = m_engines.emplace_back();
                engine.upstream.id = UpstreamId("engine-" + std::to_string(i));
                engine.upstream.zone = ZoneId(std::to_string(i % zoneCount));
                engine.upstream.isReachable = true;
                engine.upstream.versions = { oldVersion };
            }
            // The disturbance starts after 5% to 50% of the time until the deadline and lasts 2% to 10% of it.
            const auto deadline = static_cast<double>(scenario.deadline.count());
            m_disturbanceStart = std::chrono::seconds(static_cast<std::int64_t>(uniform(0.05, 0.5) * deadline));
            m_disturbanceEnd
                = m_disturbanceStart + std::chrono::seconds(static_cast<std::int64_t>(uniform(0.02, 0.1) * deadline));
        }

        MoveResult run()
        {
            // The move is ordered at the start of the simulation.
            const auto start = m_clock.wallNow();
            m_record
                = { MoveId("order"), service, oldVersion, newVersion, "operator", start, start + m_scenario.deadline };
            m_record.stepSince = start;
            publish();
            const auto latest = start + m_scenario.deadline + std::chrono::seconds(60);
            while (m_clock.wallNow() < latest && !isFinal(m_record.state)) {
                step(m_clock.wallNow() - start);
            }
            m_result.isDone = m_record.state == MoveState::Done;
            m_result.isRolledBack = m_record.state == MoveState::RolledBack;
            m_result.reason = nameOf(m_record.reason);
            m_result.evidence = m_record.evidence;
            if (m_firstFailure.count() > 0 && m_lastNewRequest > m_firstFailure) {
                m_result.exposure = m_lastNewRequest - m_firstFailure;
            }
            for (int i = 0; i < 200; ++i) {
                step(m_clock.wallNow() - start);
            }
            return m_result;
        }

    private:
        double uniform(double low, double high) { return std::uniform_real_distribution(low, high)(m_random); }

        void resetTable(SimulatedRouter& router)
        {
            router.table = std::make_unique<MoveTable>(m_clock, router.freshness, m_evaluator, m_timeline);
        }

        bool isDisturbed(MoveDisturbance kind, std::chrono::nanoseconds elapsed) const
        {
            return m_scenario.disturbance == kind && elapsed >= m_disturbanceStart && elapsed < m_disturbanceEnd;
        }

        /// A partition isolates the routers of zone 0.
        bool isCutOff(std::size_t router, std::chrono::nanoseconds elapsed) const
        {
            return router % zoneCount == 0 && isDisturbed(MoveDisturbance::Partition, elapsed);
        }

        void step(std::chrono::nanoseconds elapsed)
        {
            m_clock.advance(tick);
            if (m_scenario.disturbance == MoveDisturbance::HerdRestart && !m_isRestarted
                && elapsed >= m_disturbanceStart) {
                m_isRestarted = true;
                std::ranges::for_each(m_routers, [this](auto& it) { resetTable(it); });
                publish();
            }
            const bool isStoreUp = !isDisturbed(MoveDisturbance::StoreOutage, elapsed);
            for (std::size_t i = 0; i < routerCount; ++i) {
                auto& router = m_routers[i];
                // While the store is unavailable, peers in the other zones still confirm the shared records.
                if (!isCutOff(i, elapsed)) {
                    router.lastContact = m_clock.now();
                }
                router.freshness.setAge(m_clock.now() - router.lastContact);
            }
            deliverRecords(elapsed);
            finishLoads();
            sendRequests(elapsed);
            if (isStoreUp && elapsed / planInterval != (elapsed - tick) / planInterval) {
                plan(elapsed);
            }
        }

        void publish()
        {
            ++m_revision;
            m_deliveries.push_back({ m_clock.wallNow() + recordDelay, m_revision, m_record });
        }

        void deliverRecords(std::chrono::nanoseconds elapsed)
        {
            while (!m_deliveries.empty() && m_deliveries.front().at <= m_clock.wallNow()) {
                m_known = m_deliveries.front();
                m_deliveries.pop_front();
            }
            for (std::size_t i = 0; i < routerCount; ++i) {
                if (m_known.revision > 0 && !isCutOff(i, elapsed)) {
                    m_routers[i].table->adopt(m_known.revision, m_known.record);
                }
            }
        }

        void finishLoads()
        {
            for (auto& engine : m_engines) {
                if (engine.upstream.isLoading && m_clock.wallNow() >= engine.loadEnds) {
                    engine.upstream.isLoading = false;
                    engine.upstream.versions.insert(engine.loadingVersion);
                }
            }
        }

        void sendRequests(std::chrono::nanoseconds elapsed)
        {
            const double mean = m_scenario.requestRate * std::chrono::duration<double>(tick).count();
            const auto n = std::poisson_distribution<int>(mean)(m_random);
            for (int i = 0; i < n; ++i) {
                sendRequest(elapsed);
            }
        }

        void sendRequest(std::chrono::nanoseconds elapsed)
        {
            const auto index = static_cast<std::size_t>(m_random() % routerCount);
            auto& table = *m_routers[index].table;
            const RequestId id(std::to_string(m_random()));
            const auto version = table.versionFor(service, oldVersion, id, true);
            VersionOutcome outcome;
            outcome.service = service;
            outcome.version = version;
            outcome.route = uniform(0, 1) < 0.7 ? "chat" : "text";
            outcome.upstream = m_engines[m_random() % m_engines.size()].upstream.id;
            outcome.computedTokens = static_cast<std::uint32_t>(uniform(100, 4000));
            const bool isNew = version == newVersion;
            fillOutcome(outcome, isNew, elapsed);
            ++m_result.requests;
            if (isNew) {
                ++m_result.newRequests;
                m_lastNewRequest = m_clock.wallNow();
                if (!outcome.isComplete && m_firstFailure.count() == 0) {
                    m_firstFailure = m_clock.wallNow();
                }
                if (hasSeenRollback(table)) {
                    ++m_result.requestsAfterRollback;
                }
            }
            table.recordOutcome(outcome);
        }

        static bool hasSeenRollback(const MoveTable& table)
        {
            const auto moves = table.moves();
            return !moves.empty() && moves.front().record.state == MoveState::RolledBack;
        }

        void fillOutcome(VersionOutcome& outcome, bool isNew, std::chrono::nanoseconds elapsed)
        {
            std::lognormal_distribution<double> noise(0, 0.35);
            double firstToken = 20'000 * noise(m_random);
            double gap = 20e6 * noise(m_random);
            double failureRate = ordinaryFailureRate;
            if (isNew) {
                firstToken *= m_scenario.behaviour == VersionBehaviour::SlowFirstToken ? 2 : 1;
                gap *= m_scenario.behaviour == VersionBehaviour::SlowTokens ? 1.7 : 1;
                failureRate = newFailureRate(outcome, elapsed);
            }
            outcome.isComplete = uniform(0, 1) >= failureRate;
            outcome.firstToken
                = std::chrono::nanoseconds(static_cast<std::int64_t>(firstToken * (outcome.computedTokens + 256)));
            outcome.betweenTokens = std::chrono::nanoseconds(static_cast<std::int64_t>(gap));
        }

        double newFailureRate(VersionOutcome& outcome, std::chrono::nanoseconds elapsed)
        {
            if (m_newSince.count() == 0) {
                m_newSince = elapsed;
            }
            switch (m_scenario.behaviour) {
            case VersionBehaviour::FailsAtOnce:
                return 0.25;
            case VersionBehaviour::CutsAnswers:
                return 0.15;
            case VersionBehaviour::FailsLater:
                return elapsed - m_newSince > std::chrono::seconds(60) ? 0.25 : ordinaryFailureRate;
            case VersionBehaviour::FailsUnderLoad:
                return moveShares()[m_record.step] >= 400 ? 0.25 : ordinaryFailureRate;
            case VersionBehaviour::FailsOnOneRoute:
                return outcome.route == "text" ? 0.3 : ordinaryFailureRate;
            case VersionBehaviour::GoodWithCrash: {
                // All connections to one engine are lost for ten seconds.
                const auto since = elapsed - m_newSince;
                const bool isCrash = since > std::chrono::seconds(30) && since < std::chrono::seconds(40)
                    && outcome.upstream == m_engines.front().upstream.id;
                outcome.isConnectionLost = isCrash;
                return isCrash ? 1 : ordinaryFailureRate;
            }
            default:
                return ordinaryFailureRate;
            }
        }

        void plan(std::chrono::nanoseconds elapsed)
        {
            // The router that drives the move is outside the partition.
            auto& driver = *m_routers[1].table;
            if (elapsed / evidenceInterval != (elapsed - planInterval) / evidenceInterval) {
                for (std::size_t i = 0; i < routerCount; ++i) {
                    const auto* evidence = m_routers[i].table->ownEvidence(service);
                    if (i != 1 && evidence && !isCutOff(i, elapsed)) {
                        driver.setPeerEvidence(VmId(std::to_string(i)), m_record.id, *evidence);
                    }
                }
            }
            MoveView view;
            view.now = m_clock.wallNow();
            view.concurrentLoads = m_scenario.concurrentLoads;
            for (const auto& engine : m_engines) {
                view.upstreams.push_back(engine.upstream);
            }
            const auto pooled = driver.pooledEvidence(service);
            view.evaluation = m_evaluator.evaluate(pooled);
            view.newRequests = pooled.newRequests();
            const auto plan = m_planner.plan(m_record, view);
            for (const auto& order : plan.orders) {
                executeOrder(order);
            }
            if (plan.next) {
                m_record = *plan.next;
                publish();
            }
        }

        void executeOrder(const UpstreamOrder& order)
        {
            for (auto& engine : m_engines) {
                if (engine.upstream.id != order.upstream) {
                    continue;
                }
                if (order.kind == UpstreamOrderKind::Unload) {
                    engine.upstream.versions.erase(order.version);
                } else {
                    engine.upstream.isLoading = true;
                    engine.loadEnds = m_clock.wallNow() + loadTime;
                    engine.loadingVersion = order.version;
                }
            }
        }

        struct Delivery {
            WallTime at { 0 };
            std::int64_t revision = 0;
            MoveRecord record;
        };

        MoveScenario m_scenario;
        std::mt19937_64 m_random;
        ManualClock m_clock;
        NoTimeline m_timeline;
        SequentialEvaluator m_evaluator;
        StepPlanner m_planner;
        std::deque<SimulatedRouter> m_routers;
        std::vector<SimulatedEngine> m_engines;
        std::deque<Delivery> m_deliveries;
        Delivery m_known;
        MoveRecord m_record;
        std::int64_t m_revision = 0;
        MoveResult m_result;
        std::chrono::nanoseconds m_disturbanceStart { 0 };
        std::chrono::nanoseconds m_disturbanceEnd { 0 };
        std::chrono::nanoseconds m_newSince { 0 };
        WallTime m_firstFailure { 0 };
        WallTime m_lastNewRequest { 0 };
        bool m_isRestarted = false;
    };

} // namespace

MoveResult simulateMove(const MoveScenario& scenario) { return Simulation(scenario).run(); }

} // namespace Pollenwind
