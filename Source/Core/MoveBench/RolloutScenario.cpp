#include "MoveBench/RolloutScenario.h"

#include "Moves/ExposureRamp.h"
#include "Moves/Queries/VersionEvaluator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <random>

namespace Pollenwind {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::nanoseconds;
    using std::chrono::seconds;

    constexpr std::size_t vmCount = 9;
    constexpr milliseconds tick { 10 };
    constexpr milliseconds reportInterval { 250 };
    constexpr milliseconds decisionInterval { 250 };
    // A decision reaches a VM after 20 to 200 ms.
    constexpr std::uint64_t minDelay = 20;
    constexpr std::uint64_t maxDelay = 200;
    // Requests after the time limit count for the time from the 50th bad answer to the last request.
    constexpr seconds observedAfterLimit { 10 };
    constexpr std::uint64_t tolerableBadAnswers = 50;
    constexpr seconds rateWindow { 2 };
    // A VM counts requests as sent under full load from this share on.
    constexpr double fullLoadShare = 0.3;

    nanoseconds fromMilliseconds(double time)
    {
        return nanoseconds(static_cast<std::int64_t>(std::clamp(time, 0.01, 60'000.0) * 1e6));
    }

    struct Request {
        OutstandingRequest outstanding;
        nanoseconds sentAt { 0 };
        nanoseconds firstToken { 0 };
        nanoseconds betweenTokens { 0 };
        nanoseconds total { 0 };
        bool isComplete = true;
        bool isBad = false;
    };

    struct SimulatedVm {
        MoveEvidence counts;
        FinishedRequests finished;
        std::vector<Request> outstanding;
        std::uint64_t requests = 0;
        std::uint64_t newRequests = 0;
        nanoseconds nextReport { 0 };
        double share = 0;
        double nextShare = 0;
        nanoseconds nextShareAt { 0 };
        std::uint64_t reportedRequests = 0;
        std::uint64_t reportedNewRequests = 0;
    };

    class Simulation {
    public:
        explicit Simulation(const RolloutScenario& scenario)
            : m_scenario(scenario)
            , m_random(scenario.seed)
        {
            for (auto& vm : m_vms) {
                vm.nextReport = fromMilliseconds(uniform(0, 250));
            }
            const double length = std::chrono::duration<double>(scenario.duration).count();
            m_badFrom = scenario.form == RolloutForm::BadLater ? fraction(uniform(0.2, 0.5)) : nanoseconds(0);
            m_disturbanceStart = fraction(uniform(0.0, 0.95));
            m_disturbanceEnd = m_disturbanceStart + fromMilliseconds(1000 * std::min(length, uniform(1.0, 8.0)));
            m_disturbanceSlowness = uniform(2, 4);
            m_disturbanceFailures
                = scenario.form == RolloutForm::GoodBesideFault ? uniform(0.2, 0.6) : uniform(0.05, 0.25);
            m_slowness = uniform(3, 8);
            m_isBadBySlowness = uniform(0, 1) < 0.5;
            m_isOnlyFirstTokenSlow = uniform(0, 1) < 0.25;
            m_badRoute = uniform(0, 1) < 0.5 ? 0 : 1;
            m_wavePhase = uniform(0, 6.28);
        }

        RolloutResult run()
        {
            while (m_now < m_scenario.duration + observedAfterLimit) {
                m_now += tick;
                endRequests();
                sendRequests();
                if (!m_hasVerdict) {
                    sendReports();
                    decide();
                }
            }
            return m_result;
        }

    private:
        double uniform(double low, double high) { return std::uniform_real_distribution(low, high)(m_random); }
        bool happens(double probability) { return uniform(0, 1) < probability; }
        double spread(double sigma) { return std::lognormal_distribution<double>(0, sigma)(m_random); }

        nanoseconds fraction(double part) const
        {
            return fromMilliseconds(part * 1000 * std::chrono::duration<double>(m_scenario.duration).count());
        }

        void sendRequests()
        {
            const double phase = std::chrono::duration<double>(m_now).count() * 6.28 / 11 + m_wavePhase;
            const double rate = m_scenario.requestsPerSecond * (1 + 0.15 * std::sin(phase));
            const auto n = std::poisson_distribution<int>(rate * std::chrono::duration<double>(tick).count())(m_random);
            for (int i = 0; i < n; ++i) {
                sendRequest(m_vms.at(m_random() % vmCount));
            }
        }

        void sendRequest(SimulatedVm& vm)
        {
            if (m_now >= vm.nextShareAt) {
                vm.share = vm.nextShare;
            }
            const bool isNew = happens(vm.share);
            ++vm.requests;
            vm.newRequests += isNew ? 1 : 0;
            // The present share, smoothed over some requests.
            m_recentShare = 0.95 * m_recentShare + (isNew ? 0.05 : 0);
            if (m_now < m_scenario.duration) {
                ++m_result.requests;
                m_result.newRequests += isNew ? 1 : 0;
                const ExposureAllowance allowance;
                m_result.usedAllowance = static_cast<double>(m_result.newRequests)
                    / (allowance.share * static_cast<double>(m_result.requests) + allowance.slack);
            }
            if (isNew && m_fiftiethBadAt.count() > 0) {
                m_result.reaction = m_now - m_fiftiethBadAt;
            }
            vm.outstanding.push_back(makeRequest(isNew, vm.share));
        }

        Request makeRequest(bool isNew, double share)
        {
            Request request;
            request.sentAt = m_now;
            request.outstanding.isNewVersion = isNew;
            const std::size_t route = happens(0.3) ? 0 : 1;
            double firstToken = 0;
            double pieces = 1;
            double gap = 0;
            if (m_scenario.traffic == RolloutTraffic::Streams) {
                // A new version starts with an empty cache.
                const double hits = isNew ? 0.8 * (1 - std::exp(-static_cast<double>(m_newStarted++) / 60)) : 0.8;
                const double prompt = (route == 0 ? 6000 : 600) * spread(0.6);
                const double computed = happens(hits) ? prompt * uniform(0.02, 0.3) : prompt;
                request.outstanding.computedTokens = static_cast<std::uint32_t>(computed);
                firstToken = 6 + computed / 38.7 * spread(0.3) + 10 * spread(0.6);
                pieces = std::max(1.0, (route == 0 ? 4 : 18) * spread(0.7));
                gap = 24 * spread(0.25);
            } else {
                firstToken = 30 * spread(0.5) * (happens(0.01) ? 5 : 1);
            }
            applyBehaviour(request, route, firstToken, gap);
            request.outstanding.evidenceKey = encodeEvidenceClass({ route == 0 ? "first" : "second",
                sizeClassOf(request.outstanding.computedTokens), share > fullLoadShare });
            request.firstToken = fromMilliseconds(firstToken);
            request.betweenTokens = gap > 0 && pieces > 1 ? fromMilliseconds(gap) : nanoseconds(0);
            request.total = fromMilliseconds(firstToken + gap * (pieces - 1));
            return request;
        }

        void applyBehaviour(Request& request, std::size_t route, double& firstToken, double& gap)
        {
            double failures = m_scenario.traffic == RolloutTraffic::Plain && route == 0 ? 0.14 : 0.004;
            const bool hasDisturbance = m_scenario.form == RolloutForm::GoodWhileOverloaded
                || m_scenario.form == RolloutForm::GoodBesideFault;
            if (hasDisturbance && m_now >= m_disturbanceStart && m_now < m_disturbanceEnd) {
                failures += (1 - failures) * m_disturbanceFailures;
                if (m_scenario.form == RolloutForm::GoodWhileOverloaded) {
                    firstToken *= m_disturbanceSlowness;
                    gap *= m_disturbanceSlowness;
                }
            }
            request.isComplete = !happens(failures);
            if (!request.outstanding.isNewVersion || !happens(badShare(route))) {
                return;
            }
            request.isBad = true;
            if (isSlowForm()) {
                firstToken *= m_slowness;
                gap *= m_isOnlyFirstTokenSlow ? 1 : m_slowness;
            } else {
                request.isComplete = false;
            }
        }

        bool isSlowForm() const
        {
            switch (m_scenario.form) {
            case RolloutForm::SlowAlways:
            case RolloutForm::SlowHalf:
                return true;
            case RolloutForm::FailsHalf:
            case RolloutForm::FailsFifth:
                return false;
            default:
                return m_isBadBySlowness;
            }
        }

        double badShare(std::size_t route) const
        {
            switch (m_scenario.form) {
            case RolloutForm::SlowAlways:
                return 1;
            case RolloutForm::SlowHalf:
            case RolloutForm::FailsHalf:
                return 0.5;
            case RolloutForm::FailsFifth:
                return 0.2;
            case RolloutForm::BadOnOneRoute:
                return route == m_badRoute ? 0.5 : 0;
            case RolloutForm::BadLater:
                return m_now >= m_badFrom ? 0.5 : 0;
            case RolloutForm::BadUnderLoad:
                return m_recentShare > 0.5 ? 0.5 : 0;
            default:
                return 0;
            }
        }

        void endRequests()
        {
            for (auto& vm : m_vms) {
                std::erase_if(vm.outstanding, [&](const Request& it) {
                    if (m_now < it.sentAt + it.total) {
                        return false;
                    }
                    endRequest(vm, it);
                    return true;
                });
            }
        }

        void endRequest(SimulatedVm& vm, const Request& request)
        {
            const auto& outstanding = request.outstanding;
            vm.finished.add(request.sentAt, outstanding.evidenceKey, outstanding.isNewVersion,
                { request.isComplete, request.firstToken, request.betweenTokens, outstanding.computedTokens });
            if (request.isBad && ++m_badAnswers == tolerableBadAnswers) {
                m_fiftiethBadAt = m_now;
            }
        }

        void sendReports()
        {
            for (std::size_t i = 0; i < vmCount; ++i) {
                auto& vm = m_vms.at(i);
                if (m_now < vm.nextReport) {
                    continue;
                }
                vm.nextReport += reportInterval;
                vm.reportedRequests = vm.requests;
                vm.reportedNewRequests = vm.newRequests;
                vm.finished.moveTo(vm.counts, m_now);
                auto report = vm.counts;
                addOutstanding(report, agedRequests(vm));
                m_history.report(VmId(std::to_string(i)), 1, std::move(report));
            }
        }

        std::vector<OutstandingRequest> agedRequests(const SimulatedVm& vm) const
        {
            std::vector<OutstandingRequest> aged;
            for (const auto& request : vm.outstanding) {
                auto& it = aged.emplace_back(request.outstanding);
                const auto age = m_now - request.sentAt;
                it.age = age;
                it.firstToken = std::min(age, request.firstToken);
                if (age > request.firstToken) {
                    it.betweenTokens = std::min(age - request.firstToken, request.betweenTokens);
                }
            }
            return aged;
        }

        void decide()
        {
            if (m_now < m_nextDecision) {
                return;
            }
            m_nextDecision = m_now + decisionInterval;
            m_history.advance(m_now);
            const auto evaluation = m_evaluator.evaluate(m_history);
            RampState state;
            state.sinceOrder = m_now;
            state.duration = m_scenario.duration;
            for (const auto& vm : m_vms) {
                state.requests += vm.reportedRequests;
                state.newRequests += vm.reportedNewRequests;
            }
            state.requestsPerSecond = rateOf(state.requests);
            state.isSuspect = evaluation.isSuspect;
            state.isRejected = evaluation.fault != MoveReason::None;
            const auto decision = m_ramp.decide(state);
            for (auto& vm : m_vms) {
                vm.share = m_now >= vm.nextShareAt ? vm.nextShare : vm.share;
                vm.nextShare = decision.share;
                vm.nextShareAt = m_now + milliseconds(minDelay + m_random() % (maxDelay - minDelay));
            }
            if (decision.action == RampAction::Continue) {
                return;
            }
            m_hasVerdict = true;
            m_result.isComplete = decision.action == RampAction::Complete;
            m_result.verdictAfter = m_now;
            m_result.reason = evaluation.fault;
            m_result.evidence = evaluation.route + " " + evaluation.text;
            m_result.likelihoodRatio = evaluation.likelihoodRatio;
            m_result.badAnswers = m_badAnswers;
        }

        double rateOf(std::uint64_t requests)
        {
            m_rates.emplace_back(m_now, requests);
            while (m_rates.size() > 1 && m_rates.front().first < m_now - rateWindow) {
                m_rates.pop_front();
            }
            const double time = std::chrono::duration<double>(m_now - m_rates.front().first).count();
            return time <= 0 ? 0 : static_cast<double>(requests - m_rates.front().second) / time;
        }

        RolloutScenario m_scenario;
        std::mt19937_64 m_random;
        nanoseconds m_now { 0 };
        nanoseconds m_nextDecision { 0 };
        std::array<SimulatedVm, vmCount> m_vms;
        EvidenceHistory m_history;
        SequentialEvaluator m_evaluator;
        ExposureRamp m_ramp;
        std::deque<std::pair<nanoseconds, std::uint64_t>> m_rates;
        RolloutResult m_result;
        bool m_hasVerdict = false;
        std::uint64_t m_badAnswers = 0;
        std::uint64_t m_newStarted = 0;
        nanoseconds m_fiftiethBadAt { 0 };
        double m_recentShare = 0;

        nanoseconds m_badFrom { 0 };
        nanoseconds m_disturbanceStart { 0 };
        nanoseconds m_disturbanceEnd { 0 };
        double m_disturbanceSlowness = 1;
        double m_disturbanceFailures = 0;
        double m_slowness = 1;
        bool m_isBadBySlowness = false;
        bool m_isOnlyFirstTokenSlow = false;
        std::size_t m_badRoute = 0;
        double m_wavePhase = 0;
    };

} // namespace

RolloutResult simulateRollout(const RolloutScenario& scenario) { return Simulation(scenario).run(); }

} // namespace Pollenwind
