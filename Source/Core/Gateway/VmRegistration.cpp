#include "Gateway/VmRegistration.h"

#include "Common/Sleep.h"
#include "Gateway/GatewayKeys.h"

namespace Pollenwind {

namespace {

    // Long enough for a short outage of the store. A VM that stopped without a release counts as part of the fleet for
    // this time.
    constexpr std::chrono::seconds recordTimeToLive { 10 };
    constexpr std::chrono::milliseconds renewInterval { 3300 };
    constexpr std::chrono::milliseconds retryPause { 700 };

} // namespace

VmRegistration::VmRegistration(StoreCommands& store, VmId vm, std::string record)
    : m_store(store)
    , m_vm(std::move(vm))
    , m_record(std::move(record))
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
        co_await sleepFor(renewInterval);
        const auto left = co_await m_store.keepAlive(m_lease);
        if (!left && left.error().code == ErrorCode::NotFound && !m_isReleased) {
            m_lease = {};
        }
    }
}

Task<> VmRegistration::release()
{
    m_isReleased = true;
    if (m_lease != LeaseId()) {
        co_await m_store.revoke(std::exchange(m_lease, {}));
    }
}

} // namespace Pollenwind
