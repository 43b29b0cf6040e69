#include "Gateway/GatewayFixture.h"
#include "Gateway/VmRegistration.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

/// A store whose leases can be voided.
class LeaseStore final : public StoreCommands {
public:
    Task<Outcome<SwapResult>> compareAndSwap(std::string, std::int64_t, std::string, LeaseId lease) override
    {
        recordLease = lease;
        co_return SwapResult { .isSwapped = true, .revision = 1 };
    }
    Task<Outcome<SwapResult>> compareAndErase(std::string, std::int64_t) override { co_return SwapResult {}; }
    Task<Outcome<LeaseId>> grantLease(std::chrono::seconds) override { co_return LeaseId(++m_lastLease); }
    Task<Outcome<std::chrono::seconds>> keepAlive(LeaseId lease) override
    {
        if (lease <= m_voidLease) {
            co_return fail(ErrorCode::NotFound, "no such lease");
        }
        co_return 10s;
    }
    Task<Outcome<void>> revoke(LeaseId) override { co_return Outcome<void> {}; }

    /// Ends all leases.
    void endLeases() { m_voidLease = LeaseId(m_lastLease); }

    /// Lease of the VM's record; 0 before the record is written.
    LeaseId recordLease;

private:
    std::int64_t m_lastLease = 0;
    LeaseId m_voidLease;
};

} // namespace

// A restored store has neither the record nor the lease. The VM must not wait for the next renewal: until then the
// other VMs count it among those that have left.
Test(VmRegistration, registersAgainSoonAfterARestore)
{
    asio::io_context context;
    LeaseStore store;
    VmRegistration registration(store, VmId("vm"), "record", { .renewInterval = 1h });
    asio::co_spawn(context, registration.run(), asio::detached);
    const auto limit = std::chrono::steady_clock::now() + 20s;
    const auto waitForLease = [&](LeaseId lease) {
        while (store.recordLease != lease) {
            cr_assert(std::chrono::steady_clock::now() < limit, "no record");
            context.run_for(1ms);
        }
    };
    for (int n = 1; n <= 3; ++n) {
        waitForLease(LeaseId(n));
        store.endLeases();
        registration.onStoreRestored(1);
    }
}

// 300 VMs must not write to a store that has just come back all at once.
Test(VmRegistration, spreadsTheVmsAfterARestore)
{
    constexpr std::size_t vms = 300;
    std::map<std::int64_t, unsigned> perSecond;
    for (std::size_t n = 0; n < vms; ++n) {
        const auto delay = VmRegistration::restoreDelay(VmId("vm-" + std::to_string(n)), vms);
        cr_assert(delay <= 6s);
        ++perSecond[delay / 1s];
    }
    for (const auto& [second, registered] : perSecond) {
        cr_assert(registered <= 75, "%u VMs in one second", registered);
    }
    cr_assert(VmRegistration::restoreDelay(VmId("vm"), 9) <= 200ms);
}
