#include "Limits/FleetSimulation.h"

#include <algorithm>
#include <cmath>

namespace Pollenwind {

namespace {

    constexpr double sweepSeconds = 0.1;
    constexpr double waitSeconds = 1;
    constexpr double largestDrift = 0.009;
    /// Seconds in which VMs adopt a changed rate.
    constexpr double adoptSeconds = 0.5;
    constexpr double warmUpSeconds = 8;
    /// Longer than the lifetime of a grant, so that responses may also arrive after the grant has expired.
    constexpr double transportTimeoutSeconds = 3;

    const OrganisationId organisation("lodge");

    VmId vmName(std::size_t vm) { return VmId("vm" + std::to_string(vm)); }
    ZoneId zoneName(std::size_t zone) { return ZoneId("zone" + std::to_string(zone)); }

    std::shared_ptr<const Configuration> makeConfiguration(double rate, double burst)
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->document.organisations[organisation] = { organisation, rate, burst };
        return configuration;
    }

    /// Deliberately broken: borrowed tokens practically never expire.
    class NoExpiryTable final : public LimitTable {
        using LimitTable::LimitTable;
        MonotonicTime expiryOf(MonotonicTime sentAt) const override { return sentAt + std::chrono::hours(1); }
    };

} // namespace

FleetSimulation::FleetSimulation(SimulationOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_vms(options.zones * ShareLayout::slotsPerGroup + options.vmsWithoutSlots)
    , m_isolated(options.zones)
{
    for (std::size_t i = 0; i < options.zones; ++i) {
        m_record.layout.zones.push_back(zoneName(i));
    }
    m_rates.push_back({ 0, options.rate, options.burst });
    if (options.isolatedZone >= 0) {
        m_isolated.at(static_cast<std::size_t>(options.isolatedZone)) = true;
    }
    for (std::size_t i = 0; i < options.zones * ShareLayout::slotsPerGroup; ++i) {
        m_record.holders[{ zoneName(i % options.zones), 0, static_cast<std::uint32_t>(i / options.zones) }].vm
            = vmName(i);
    }
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        m_vms[i].drift = uniform(-largestDrift, largestDrift);
        m_vms[i].settings.configuration = makeConfiguration(options.rate, options.burst);
        m_vms[i].clock.advance(std::chrono::milliseconds(static_cast<int>(uniform(0, 5000))));
        start(i);
        adoptRecord(i);
    }
}

void FleetSimulation::at(double time, std::function<void()> action)
{
    m_events.push({ time, m_order++, std::move(action) });
}

void FleetSimulation::onVm(std::size_t vm, double time, std::function<void()> action)
{
    at(time, [this, vm, incarnation = m_vms[vm].incarnation, action = std::move(action)] {
        auto& target = m_vms[vm];
        if (target.incarnation != incarnation || !target.isUp) {
            return;
        }
        if (m_now < target.pausedUntil) {
            // Sockets and timers that became ready during the pause are served in any order.
            onVm(vm, target.pausedUntil + uniform(0, 0.1), action);
            return;
        }
        syncClock(target);
        action();
    });
}

void FleetSimulation::repeatFault(double every, std::function<void()> fault)
{
    if (every > 0) {
        at(m_now + exponential(every), [this, every, fault] {
            fault();
            repeatFault(every, fault);
        });
    }
}

void FleetSimulation::syncClock(Vm& vm) const
{
    const auto time = MonotonicTime(std::chrono::seconds(2000))
        + MonotonicTime(static_cast<std::int64_t>(1e9 * m_now * (1 + vm.drift)));
    if (time > vm.clock.now()) {
        vm.clock.advance(time - vm.clock.now());
    }
}

bool FleetSimulation::isConnected(std::size_t a, std::size_t b) const
{
    return a % m_options.zones == b % m_options.zones
        || (!m_isolated[a % m_options.zones] && !m_isolated[b % m_options.zones]);
}

double FleetSimulation::messageDelay()
{
    return uniform(0, 1) < m_options.messageDelayed ? uniform(0.1, 3) : uniform(0.0003, 0.0015);
}

void FleetSimulation::start(std::size_t vm)
{
    auto& it = m_vms[vm];
    syncClock(it);
    const auto make = [&]<typename Table>() {
        it.table = std::make_unique<Table>(it.clock, it.settings, vmName(vm), zoneName(vm % m_options.zones));
    };
    m_options.ignoresExpiry ? make.operator()<NoExpiryTable>() : make.operator()<LimitTable>();
    it.waiting.clear();
    sweep(vm);
}

void FleetSimulation::adoptRecord(std::size_t vm)
{
    std::set<ShareSlotId> used;
    for (const auto& [slot, holder] : m_record.holders) {
        if (holder.vm == vmName(vm)) {
            used.insert(slot);
        }
    }
    m_vms[vm].table->adoptShares(m_record, used);
}

void FleetSimulation::restart(std::size_t vm)
{
    auto& it = m_vms[vm];
    if (!it.isUp) {
        return;
    }
    it.isUp = false;
    ++it.incarnation;
    it.table.reset();
    at(m_now + uniform(0.2, 1), [this, vm] {
        m_vms[vm].isUp = true;
        m_vms[vm].pausedUntil = 0;
        start(vm);
        onVm(vm, m_now + uniform(0.05, 0.5), [this, vm] { adoptRecord(vm); });
    });
}

void FleetSimulation::changeRate()
{
    const double factor = uniform(0.3, 2);
    m_rates.push_back({ m_now, m_options.rate * factor, m_options.burst * factor });
    const auto next = makeConfiguration(m_options.rate * factor, m_options.burst * factor);
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        // Also for VMs that are down or paused: they start with the latest configuration.
        at(m_now + uniform(0, adoptSeconds), [this, i, next] { m_vms[i].settings.configuration = next; });
    }
}

void FleetSimulation::sweep(std::size_t vm)
{
    m_vms[vm].table->sweep();
    sendOrders(vm);
    check(vm);
    onVm(vm, m_now + sweepSeconds, [this, vm] { sweep(vm); });
}

/// Phases: one VM borrows at a moderate load; idle time, in which the buckets fill; overload everywhere; idle time.
double FleetSimulation::currentLoad() const
{
    if (m_options.shape != LoadShape::Phases) {
        return m_options.load;
    }
    const double time = std::fmod(m_now, 8);
    return time < 1.2 ? 0.8 : time >= 4 && time < 6 ? m_options.load : 0;
}

std::size_t FleetSimulation::chooseVm()
{
    auto shape = m_options.shape;
    if (shape == LoadShape::Phases) {
        shape = std::fmod(m_now, 8) < 4 ? LoadShape::OneVm : m_now < 16 ? LoadShape::Even : LoadShape::OneZone;
    }
    auto vm = m_options.loadedVm;
    if (shape == LoadShape::Even) {
        vm = anyVm();
    } else if (shape == LoadShape::OneZone) {
        vm = m_options.zones * (m_random() % (m_vms.size() / m_options.zones)) + m_options.loadedVm % m_options.zones;
    } else if (shape == LoadShape::Hopping) {
        vm = (static_cast<std::size_t>(m_now) * 4) % m_vms.size();
    }
    while (!m_vms[vm].isUp) {
        vm = anyVm();
    }
    return vm;
}

void FleetSimulation::arrive()
{
    const double load = currentLoad();
    if (load <= 0) {
        at(m_now + 0.01, [this] { arrive(); });
        return;
    }
    const double meanUse = (1 + m_options.smallestUse) / 2;
    const double reserved = uniform(0.2, 1.8) * m_options.meanRequest;
    request(chooseVm(), reserved, reserved * uniform(m_options.smallestUse, 1));
    at(m_now + exponential(m_options.meanRequest * meanUse / (m_options.rate * load)), [this] { arrive(); });
}

void FleetSimulation::request(std::size_t vm, double reserved, double used)
{
    onVm(vm, m_now, [this, vm, reserved, used] {
        auto& it = m_vms[vm];
        const auto wait = std::chrono::milliseconds(static_cast<int>(1000 * waitSeconds));
        const auto waiter = it.table->enqueue(organisation, reserved, it.clock.now() + wait);
        const bool isCounted = m_now > warmUpSeconds;
        m_result.requests += isCounted ? 1 : 0;
        m_result.refused += isCounted && !waiter ? 1 : 0;
        if (waiter) {
            it.waiting.push_back({ *waiter, used });
            check(vm);
        }
    });
}

void FleetSimulation::check(std::size_t vm)
{
    auto& it = m_vms[vm];
    // All requests wait equally long, so that the first is also the first to reach its deadline.
    while (!it.waiting.empty()) {
        const auto used = it.waiting.front().used;
        const auto admitted = it.table->poll(organisation, it.waiting.front().id);
        if (admitted && !*admitted) {
            break;
        }
        it.waiting.pop_front();
        if (!admitted) {
            m_result.refused += m_now > warmUpSeconds ? 1 : 0;
            continue;
        }
        m_admitted.push_back({ m_now, used });
        onVm(vm, m_now + uniform(0.02, m_options.longestRequestSeconds), [this, vm, id = **admitted, used] {
            m_vms[vm].table->settleReservation(id, used);
            check(vm);
        });
    }
    sendOrders(vm);
    const auto first = it.table->firstWaiter(organisation);
    if (first) {
        const auto wait = it.table->nextCheck(organisation, *first) - it.clock.now();
        onVm(vm, m_now + std::chrono::duration<double>(wait).count(), [this, vm, first] {
            if (m_vms[vm].table->firstWaiter(organisation) == first) {
                check(vm);
            }
        });
    }
}

void FleetSimulation::sendOrders(std::size_t vm)
{
    for (const auto& order : m_vms[vm].table->takeBorrowOrders(organisation)) {
        sendRequest(vm, order);
    }
    for (const auto& order : m_vms[vm].table->takeSettlements()) {
        sendSettlement(vm, order);
    }
}

void FleetSimulation::sendRequest(std::size_t vm, const BorrowOrder& order)
{
    m_result.messages += 2;
    const auto lender = static_cast<std::size_t>(std::stoul(order.lender.value().substr(2)));
    const auto isAnswered = std::make_shared<bool>(false);
    const auto answer = [this, vm, order, isAnswered](std::optional<GrantReply> reply) {
        if (!std::exchange(*isAnswered, true)) {
            m_vms[vm].table->onGrantReply(order, reply);
            check(vm);
        }
    };
    const bool isReachable = m_vms[lender].isUp && isConnected(vm, lender);
    onVm(vm, m_now + (isReachable ? transportTimeoutSeconds : 0.01), [answer] { answer(std::nullopt); });
    if (!isReachable || uniform(0, 1) < m_options.messageLoss) {
        return;
    }
    onVm(lender, m_now + messageDelay(), [this, vm, lender, order, answer] {
        const auto reply = m_vms[lender].table->lend(vmName(vm), order.request);
        if (isConnected(vm, lender) && uniform(0, 1) >= m_options.messageLoss) {
            onVm(vm, m_now + messageDelay(), [answer, reply] { answer(reply); });
        }
    });
}

void FleetSimulation::sendSettlement(std::size_t vm, const SettlementOrder& order)
{
    ++m_result.messages;
    const auto lender = static_cast<std::size_t>(std::stoul(order.lender.value().substr(2)));
    if (!isConnected(vm, lender) || uniform(0, 1) < m_options.messageLoss) {
        return;
    }
    onVm(lender, m_now + messageDelay(),
        [this, vm, lender, order] { m_vms[lender].table->settle(vmName(vm), order.settlement); });
}

SimulationResult FleetSimulation::run()
{
    repeatFault(m_options.restartEvery, [this] { restart(anyVm()); });
    repeatFault(m_options.pauseEvery, [this] {
        // The VM with the borrowed tokens is paused more often than the others.
        const auto vm = uniform(0, 1) < 0.6 ? m_options.loadedVm : anyVm();
        m_vms[vm].pausedUntil = m_now + uniform(0.3, 5);
    });
    repeatFault(m_options.partitionEvery, [this] {
        const auto zone = m_random() % m_options.zones;
        m_isolated[zone] = true;
        at(m_now + uniform(0.5, 8), [this, zone] { m_isolated[zone] = false; });
    });
    repeatFault(m_options.rateChangeEvery, [this] { changeRate(); });
    arrive();
    while (!m_events.empty() && m_events.top().at < m_options.durationSeconds) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    for (const auto& it : m_admitted) {
        m_result.admittedTokens += it.tokens;
    }
    m_result.excess = largestExcess();
    return m_result;
}

/// While VMs adopt a change, the higher rate counts.
double FleetSimulation::rateAt(double time) const
{
    double rate = 0;
    for (std::size_t i = 0; i < m_rates.size() && m_rates[i].at <= time; ++i) {
        const bool isCurrent = i + 1 == m_rates.size() || time < m_rates[i + 1].at + adoptSeconds;
        rate = isCurrent ? std::max(rate, m_rates[i].rate) : rate;
    }
    return rate;
}

/// Checks all windows in a span at once: the excess of the worst window that ends at an admission is a running sum that
/// decreases at the rate and never below zero.
double FleetSimulation::windowExcess(double from, double to, double burst) const
{
    constexpr double step = 0.01;
    double sum = 0;
    double worst = -burst;
    double last = from;
    for (const auto& it : m_admitted) {
        if (it.at < from || it.at >= to) {
            continue;
        }
        while (last < it.at) {
            const double next = std::min(it.at, last + step);
            sum = std::max(0.0, sum - std::max(rateAt(last), rateAt(next)) * (next - last));
            last = next;
        }
        sum += it.tokens;
        worst = std::max(worst, sum - burst);
    }
    return worst;
}

double FleetSimulation::largestExcess() const
{
    double largestBurst = 0;
    for (const auto& it : m_rates) {
        largestBurst = std::max(largestBurst, it.burst);
    }
    double worst = windowExcess(0, m_options.durationSeconds, largestBurst);
    // Between two changes the burst of that time holds, once all VMs adopted it and earlier grants have expired.
    for (std::size_t i = 0; i < m_rates.size(); ++i) {
        const double end = i + 1 < m_rates.size() ? m_rates[i + 1].at : m_options.durationSeconds;
        worst = std::max(worst, windowExcess(m_rates[i].at + adoptSeconds + 3, end, m_rates[i].burst));
    }
    return worst;
}

} // namespace Pollenwind
