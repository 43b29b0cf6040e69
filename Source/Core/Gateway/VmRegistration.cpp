#include "Gateway/VmRegistration.h"

#include "Common/Sleep.h"
#include "Gateway/GatewayKeys.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Pollenwind {

namespace {

    // Long enough for a short outage of the store. A VM that stopped without a release counts as part of the fleet for
    // this time.
    constexpr std::chrono::seconds recordTimeToLive { 10 };
    constexpr std::chrono::milliseconds retryPause { 700 };

    // VMs that register in one second after a restore, two or three calls each. A fleet of 300 VMs takes 6 s, less than
    // the retention of ended records.
    constexpr std::size_t registrationsPerSecond = 50;

} // namespace

VmRegistration::VmRegistration(StoreCommands& store, VmId vm, std::string record, VmRegistrationOptions options)
    : m_store(store)
    , m_vm(std::move(vm))
    , m_record(std::move(record))
    , m_options(options)
{
}

Task<bool> VmRegistration::registerVm()
{
    const auto lease = co_await m_store.grantLease(recordTimeToLive);
    if (!lease) {
        co_return false;
    }
    const auto key = std::string(vmRecordPrefix) + m_vm.value();
    auto swapped = co_await m_store.compareAndSwap(key, 0, m_record, *lease);
    if (swapped && !swapped->isSwapped && swapped->found) {
        // Replaces the record of an earlier process on this VM.
        const auto revision = swapped->found->modRevision;
        swapped = co_await m_store.compareAndSwap(key, revision, m_record, *lease);
    }
    if (!swapped || !swapped->isSwapped) {
        co_return false;
    }
    m_lease = *lease;
    co_return true;
}

Task<> VmRegistration::run()
{
    while (!m_isReleased) {
        if (m_lease == LeaseId()) {
            if (!co_await registerVm()) {
                co_await sleepFor(retryPause);
            }
            continue;
        }
        if (!m_restoreDelay) {
            co_await m_waiting.waitFor(m_options.renewInterval);
        }
        if (const auto delay = std::exchange(m_restoreDelay, std::nullopt)) {
            co_await sleepFor(*delay);
        }
        const auto left = co_await m_store.keepAlive(m_lease);
        if (!left && left.error().code == ErrorCode::NotFound && !m_isReleased) {
            m_lease = {};
        }
    }
}

std::chrono::milliseconds VmRegistration::restoreDelay(const VmId& vm, std::size_t fleetSize)
{
    const auto spread = std::max<std::uint64_t>(1, 1000 * fleetSize / registrationsPerSecond);
    return std::chrono::milliseconds(XXH3_64bits(vm.value().data(), vm.value().size()) % spread);
}

void VmRegistration::onStoreRestored(std::size_t fleetSize)
{
    m_restoreDelay = restoreDelay(m_vm, fleetSize);
    m_waiting.notifyAll();
}

Task<> VmRegistration::release()
{
    m_isReleased = true;
    if (m_lease != LeaseId()) {
        co_await m_store.revoke(std::exchange(m_lease, {}));
    }
}

} // namespace Pollenwind
