#include "Gateway/HedgePolicy.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // Share of the responses of a route that begin before a copy is sent.
    constexpr double hedgeQuantile = 0.95;
    constexpr std::chrono::seconds sampleAge { 10 };
    // With fewer responses, the slowest two or three of them would decide.
    constexpr std::size_t minSamples = 50;
    // Latest responses that count. A busy route has more in ten seconds, but these give 25 above the quantile.
    constexpr std::size_t maxSamples = 512;
    // Computing the quantile takes some microseconds, too much for each request.
    constexpr std::chrono::milliseconds quantileLifetime { 100 };

    // A response that begins within this share of the objective is in time, so a copy would be of no use.
    constexpr double minObjectiveShare = 0.5;

    // Copies that a service may save up. When all runners become slow at once, they are sent within a moment.
    constexpr double maxSavedCopies = 3;

    // Time after a rejection for lack of capacity in which no request is copied.
    constexpr std::chrono::seconds rejectionPause { 1 };

    // Routes with a sample. Those of earlier configurations are removed beyond it.
    constexpr std::size_t maxRoutes = 256;

} // namespace

// The comparison is false for a share that is not a number.
HedgePolicy::HedgePolicy(const Clock& clock, double share)
    : m_clock(clock)
    , m_share(share > 0 ? std::min(share, maxShare) : 0)
{
}

void HedgePolicy::recordRequest(const ServiceId& service)
{
    if (isOn()) {
        auto& copies = m_services[service].copies;
        copies = std::min(maxSavedCopies, copies + m_share);
    }
}

void HedgePolicy::recordBegin(const std::string& route, std::chrono::nanoseconds time)
{
    if (!isOn()) {
        return;
    }
    if (!m_routes.contains(route) && m_routes.size() >= maxRoutes) {
        removeUnusedRoutes();
    }
    auto& times = m_routes[route];
    const Sample sample { m_clock.now(), time };
    if (times.samples.size() < maxSamples) {
        times.samples.push_back(sample);
        return;
    }
    times.samples[times.next] = sample;
    times.next = (times.next + 1) % maxSamples;
}

void HedgePolicy::recordRejection(const ServiceId& service)
{
    if (isOn()) {
        m_services[service].rejectedAt = m_clock.now();
    }
}

void HedgePolicy::removeUnusedRoutes()
{
    const auto oldest = m_clock.now() - sampleAge;
    std::erase_if(m_routes, [oldest](const auto& it) {
        return std::ranges::none_of(it.second.samples, [oldest](const Sample& sample) { return sample.at >= oldest; });
    });
}

std::optional<std::chrono::nanoseconds> HedgePolicy::quantileOf(const BeginTimes& times) const
{
    const auto oldest = m_clock.now() - sampleAge;
    std::vector<std::chrono::nanoseconds> recent;
    recent.reserve(times.samples.size());
    for (const auto& sample : times.samples) {
        if (sample.at >= oldest) {
            recent.push_back(sample.time);
        }
    }
    if (recent.size() < minSamples) {
        return std::nullopt;
    }
    const auto rank = static_cast<std::ptrdiff_t>(hedgeQuantile * static_cast<double>(recent.size() - 1));
    std::ranges::nth_element(recent, recent.begin() + rank);
    return recent[static_cast<std::size_t>(rank)];
}

std::optional<std::chrono::nanoseconds> HedgePolicy::delayFor(
    const std::string& route, std::chrono::nanoseconds objective)
{
    const auto it = m_routes.find(route);
    if (!isOn() || it == m_routes.end()) {
        return std::nullopt;
    }
    auto& times = it->second;
    const auto now = m_clock.now();
    if (times.computedAt.count() == 0 || now - times.computedAt >= quantileLifetime) {
        times.quantile = quantileOf(times);
        times.computedAt = now;
    }
    if (!times.quantile) {
        return std::nullopt;
    }
    const auto least = std::chrono::duration_cast<std::chrono::nanoseconds>(objective * minObjectiveShare);
    return std::max(*times.quantile, least);
}

HedgeDecision HedgePolicy::decide(const HedgeInputs& inputs) const
{
    const auto it = m_services.find(inputs.service);
    if (!inputs.hasAttempt) {
        return HedgeDecision::NoAttempt;
    }
    if (inputs.isQuarantined) {
        return HedgeDecision::Quarantine;
    }
    if (!inputs.hasRunner) {
        return HedgeDecision::NoRunner;
    }
    if (!inputs.hasFreeRunner) {
        return HedgeDecision::RunnerLoad;
    }
    if (it != m_services.end() && it->second.rejectedAt && m_clock.now() - *it->second.rejectedAt < rejectionPause) {
        return HedgeDecision::Rejections;
    }
    if (it == m_services.end() || it->second.copies < 1) {
        return HedgeDecision::Share;
    }
    return inputs.hasRetry ? HedgeDecision::Send : HedgeDecision::RetryBudget;
}

bool HedgePolicy::tryTake(const ServiceId& service)
{
    const auto it = m_services.find(service);
    if (it == m_services.end() || it->second.copies < 1) {
        return false;
    }
    it->second.copies -= 1;
    return true;
}

} // namespace Pollenwind
