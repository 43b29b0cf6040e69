#include "Gateway/RunnerPace.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <unordered_set>

namespace Pollenwind {

namespace {

    // Decaying by e in this time gives values the same mean age as a window of 1.5 s.
    constexpr std::chrono::milliseconds ratioDecayTime { 750 };

    // The usual pause of a route changes with the load. One VM sees a few streams of a route at a time.
    constexpr std::chrono::seconds pauseDecayTime { 5 };

    // Runners with values from which a median is taken. The median of two runners says nothing about either.
    constexpr std::size_t minRunners = 3;

    // Values of one runner from which its mean is used.
    constexpr double minValues = 3;

    // Ratios outside this range are not the speed of a runner but a stalled stream, a stalled VM or a faulty report.
    constexpr double smallestRatio = 0.1;
    constexpr double largestRatio = 10;

    // Values of one report and runner that count. At full load all VMs together have about 60 in the time between two
    // reports; the limit keeps a faulty report from replacing all others for long.
    constexpr std::uint32_t maxReportedValues = 64;

    // Entries of one report, which must fit into a datagram.
    constexpr std::size_t maxReportedRunners = 256;

    // Bounds of the memory for reports that name runners which do not exist.
    constexpr std::size_t maxRunners = 2048;
    constexpr std::size_t maxRoutes = 64;

    // Bounds of the effect of measured speeds on the placement.
    constexpr double slowestSpeed = 0.3;
    constexpr double fastestSpeed = 2.5;

    /// Median of values; the list is reordered.
    double medianOf(std::vector<double>& values)
    {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::ranges::nth_element(values, middle);
        return *middle;
    }

} // namespace

void RunnerPace::DecayingMean::decayTo(MonotonicTime now, std::chrono::nanoseconds decayTime)
{
    if (now > at) {
        const double factor
            = std::exp(-std::chrono::duration<double>(now - at) / std::chrono::duration<double>(decayTime));
        sum *= factor;
        count *= factor;
        at = now;
    }
}

void RunnerPace::DecayingMean::add(double values, double number, MonotonicTime now, std::chrono::nanoseconds decayTime)
{
    decayTo(now, decayTime);
    sum += values;
    count += number;
    addedAt = now;
}

void RunnerPace::recordPause(const std::string& route, std::uint64_t runner, std::chrono::nanoseconds pause)
{
    auto it = m_routes.find(route);
    if (it == m_routes.end()) {
        if (m_routes.size() >= maxRoutes) {
            return;
        }
        it = m_routes.emplace(route, Route {}).first;
    }
    const double seconds = std::chrono::duration<double>(pause).count();
    if (it->second.pauses.size() < maxRunners || it->second.pauses.contains(runner)) {
        it->second.pauses[runner].add(seconds, 1, m_clock.now(), pauseDecayTime);
    }
    if (it->second.usualPause <= 0) {
        return;
    }
    const PaceSample sample { runner, std::clamp(seconds / it->second.usualPause, smallestRatio, largestRatio), 1 };
    addRatios(sample);
    addTo(m_unreported, sample);
    addTo(m_zoneUnreported, sample);
}

void RunnerPace::recordRemote(std::span<const PaceSample> samples, bool isOfOwnZone)
{
    for (const auto& it : samples) {
        const double mean = it.count > 0 ? it.ratios / it.count : 0;
        // Also false for a value that is not a number.
        if (!(mean >= smallestRatio && mean <= largestRatio)) {
            continue;
        }
        const auto count = std::min(it.count, maxReportedValues);
        const PaceSample sample { it.runner, mean * count, count };
        addRatios(sample);
        if (isOfOwnZone) {
            addTo(m_zoneUnreported, sample);
        }
    }
}

void RunnerPace::addRatios(const PaceSample& sample)
{
    if (m_ratios.size() < maxRunners || m_ratios.contains(sample.runner)) {
        m_ratios[sample.runner].add(sample.ratios, sample.count, m_clock.now(), ratioDecayTime);
    }
}

void RunnerPace::addTo(Samples& samples, const PaceSample& sample)
{
    if (samples.size() >= maxReportedRunners && !samples.contains(sample.runner)) {
        return;
    }
    auto& sum = samples[sample.runner];
    sum.runner = sample.runner;
    sum.ratios += sample.ratios;
    sum.count += sample.count;
}

std::vector<PaceSample> RunnerPace::take(Samples& samples)
{
    std::vector<PaceSample> list;
    list.reserve(samples.size());
    for (const auto& [runner, sample] : samples) {
        list.push_back(sample);
    }
    samples.clear();
    return list;
}

void RunnerPace::updateUsualPauses()
{
    const auto now = m_clock.now();
    for (auto& [name, route] : m_routes) {
        std::vector<double> means;
        for (auto& [runner, pauses] : route.pauses) {
            pauses.decayTo(now, pauseDecayTime);
            if (pauses.count >= minValues) {
                means.push_back(pauses.mean());
            }
        }
        std::erase_if(route.pauses, [](const auto& it) { return it.second.count < 0.01; });
        route.usualPause = means.size() >= minRunners ? medianOf(means) : 0;
    }
    std::erase_if(m_routes, [](const auto& it) { return it.second.pauses.empty(); });
}

void RunnerPace::updateSpeeds(std::span<const std::uint64_t> runners, std::unordered_map<std::uint64_t, Speed>& speeds)
{
    const auto now = m_clock.now();
    std::vector<std::pair<std::uint64_t, DecayingMean>> measured;
    std::vector<double> means;
    for (const auto runner : runners) {
        const auto it = m_ratios.find(runner);
        if (it == m_ratios.end() || now - it->second.addedAt > maxAge) {
            continue;
        }
        // Not decayed to the present time: the last values of a runner count until they are too old.
        if (it->second.count >= minValues) {
            measured.emplace_back(runner, it->second);
            means.push_back(it->second.mean());
        }
    }
    if (means.size() < minRunners) {
        return;
    }
    const double median = medianOf(means);
    std::size_t clearlyUneven = 0;
    for (const auto& [runner, ratios] : measured) {
        const double speed = std::clamp(median / ratios.mean(), slowestSpeed, fastestSpeed);
        if (speed < unevenFactor && speed > 1 / unevenFactor) {
            continue;
        }
        const auto before = m_speeds.find(runner);
        const auto since = before == m_speeds.end() ? now : before->second.since;
        speeds.emplace(runner, Speed { speed, since, ratios.addedAt });
        const bool isClear = speed >= clearlyUnevenFactor || speed <= 1 / clearlyUnevenFactor;
        clearlyUneven += isClear && now - since >= unevenDelay ? 1 : 0;
    }
    if (clearlyUneven > 0 && static_cast<double>(clearlyUneven) >= unevenShare * static_cast<double>(measured.size())) {
        m_unevenUntil = now + unevenRetention;
    }
}

void RunnerPace::update(std::span<const std::vector<std::uint64_t>> services)
{
    updateUsualPauses();
    std::unordered_map<std::uint64_t, Speed> speeds;
    std::unordered_set<std::uint64_t> known;
    for (const auto& runners : services) {
        updateSpeeds(runners, speeds);
        known.insert(runners.begin(), runners.end());
    }
    m_speeds = std::move(speeds);
    updateIndex();
    std::erase_if(m_ratios, [&known](const auto& it) { return !known.contains(it.first); });
}

double RunnerPace::speedOf(std::uint64_t runner) const
{
    double speed = 1;
    speedsOf({ &runner, 1 }, { &speed, 1 });
    return speed;
}

void RunnerPace::speedsOf(std::span<const std::uint64_t> runners, std::span<double> speeds) const
{
    std::ranges::fill(speeds, 1);
    if (m_index.empty()) {
        return;
    }
    const auto oldest = m_clock.now() - maxAge;
    const auto mask = m_index.size() - 1;
    for (std::size_t n = 0; n < runners.size(); ++n) {
        auto at = runners[n] & mask;
        while (m_index[at].speed != 0 && m_index[at].runner != runners[n]) {
            at = (at + 1) & mask;
        }
        if (m_index[at].speed != 0 && m_index[at].measuredAt >= oldest) {
            speeds[n] = m_index[at].speed;
        }
    }
}

void RunnerPace::updateIndex()
{
    m_index.assign(m_speeds.empty() ? 0 : std::bit_ceil(2 * m_speeds.size()), {});
    for (const auto& [runner, it] : m_speeds) {
        auto at = runner & (m_index.size() - 1);
        while (m_index[at].speed != 0) {
            at = (at + 1) & (m_index.size() - 1);
        }
        m_index[at] = { runner, it.speed, it.measuredAt };
    }
}

std::vector<RunnerSpeed> RunnerPace::speeds() const
{
    std::vector<RunnerSpeed> list;
    for (const auto& [runner, it] : m_speeds) {
        list.push_back({ runner, it.speed, m_clock.now() - it.measuredAt, m_clock.now() - it.since });
    }
    return list;
}

} // namespace Pollenwind
