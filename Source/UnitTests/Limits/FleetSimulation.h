#pragma once

#include "Limits/LimitTable.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace Pollenwind {

/// Distribution of a simulation's load over the VMs.
enum class LoadShape {
    Even,
    OneVm,
    OneZone,
    Hopping,
    /// Overload in phases of different shapes, with idle time between them.
    Phases,
};

template <> struct EnumTable<LoadShape> {
    static constexpr std::array rows {
        EnumName { LoadShape::Even, "even" },
        EnumName { LoadShape::OneVm, "one VM" },
        EnumName { LoadShape::OneZone, "one zone" },
        EnumName { LoadShape::Hopping, "hopping" },
        EnumName { LoadShape::Phases, "phases" },
    };
};

struct SimulationOptions {
    std::uint64_t seed = 1;
    double durationSeconds = 30;
    double rate = 10'000;
    double burst = 40'000;
    /// Mean load in tokens actually used, as a multiple of the rate.
    double load = 0.9;
    LoadShape shape = LoadShape::Even;
    double meanRequest = 500;
    /// Smallest used part of a reservation, and the longest time until it is settled.
    double smallestUse = 1;
    double longestRequestSeconds = 0.2;
    /// Mean seconds between faults of a kind anywhere in the fleet; 0 for none.
    double restartEvery = 0;
    double pauseEvery = 0;
    double partitionEvery = 0;
    double rateChangeEvery = 0;
    double messageLoss = 0;
    double messageDelayed = 0;
    /// Zone that is partitioned for the whole run, or -1.
    int isolatedZone = -1;
    /// Zones with three VMs each that hold slots, and VMs without slots.
    std::size_t zones = 3;
    std::size_t vmsWithoutSlots = 0;
    /// VM that gets the load of LoadShape::OneVm.
    std::size_t loadedVm = 0;
    /// Disables grant expiry, to verify that the simulation detects it.
    bool ignoresExpiry = false;
};

struct SimulationResult {
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t messages = 0;
    double admittedTokens = 0;
    /// Largest excess of the admitted tokens over rate x t + burst in any window; at most 0 when the limit was kept.
    double excess = 0;

    double refusedPercent() const
    {
        return requests == 0 ? 0 : 100.0 * static_cast<double>(refused) / static_cast<double>(requests);
    }
};

/// A fleet (9 VMs in 3 zones unless the options say otherwise) with one organisation, in virtual time. Clocks drift by
/// up to 0.9%; a paused VM does nothing while its clock goes on. Faults and load come from the seed alone.
class FleetSimulation {
public:
    explicit FleetSimulation(SimulationOptions options);
    SimulationResult run();

private:
    struct Settings final : ConfigurationQueries {
        std::shared_ptr<const Configuration> configuration;
        std::shared_ptr<const Configuration> current() const override { return configuration; }
    };
    struct Waiting {
        WaiterId id;
        double used = 0;
    };
    struct Vm {
        ManualClock clock;
        double drift = 0;
        Settings settings;
        std::unique_ptr<LimitTable> table;
        std::deque<Waiting> waiting;
        std::uint64_t incarnation = 0;
        double pausedUntil = 0;
        bool isUp = true;
    };
    struct Event {
        double at = 0;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };
    struct Admitted {
        double at = 0;
        double tokens = 0;
    };
    struct RateChange {
        double at = 0;
        double rate = 0;
        double burst = 0;
    };

    double uniform(double low, double high) { return std::uniform_real_distribution<double>(low, high)(m_random); }
    double exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(m_random); }
    std::size_t anyVm() { return m_random() % m_vms.size(); }
    void at(double time, std::function<void()> action);
    void onVm(std::size_t vm, double time, std::function<void()> action);
    void repeatFault(double every, std::function<void()> fault);
    void syncClock(Vm& vm) const;
    bool isConnected(std::size_t a, std::size_t b) const;
    double messageDelay();

    void start(std::size_t vm);
    void adoptRecord(std::size_t vm);
    void restart(std::size_t vm);
    void changeRate();
    void sweep(std::size_t vm);
    void arrive();
    void request(std::size_t vm, double reserved, double used);
    void check(std::size_t vm);
    void sendOrders(std::size_t vm);
    void sendRequest(std::size_t vm, const BorrowOrder& order);
    void sendSettlement(std::size_t vm, const SettlementOrder& order);
    std::size_t chooseVm();
    double currentLoad() const;
    double rateAt(double time) const;
    double windowExcess(double from, double to, double burst) const;
    double largestExcess() const;

    SimulationOptions m_options;
    std::mt19937_64 m_random;
    double m_now = 0;
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<Vm> m_vms;
    ShareRecord m_record;
    std::vector<bool> m_isolated;
    std::vector<RateChange> m_rates;
    std::vector<Admitted> m_admitted;
    SimulationResult m_result;
};

} // namespace Pollenwind
